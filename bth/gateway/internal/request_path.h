// Helpers shared by the source files of the request path.
#pragma once

#include <chrono>
#include <string_view>

#include <boost/beast/core/string_type.hpp>

namespace bth::gateway::internal {

// Time after the deadline for which a response is still accepted if the caller still waits: a
// target may respond just as its time runs out.
inline constexpr std::chrono::milliseconds late_response_wait{100};

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace bth::gateway::internal
