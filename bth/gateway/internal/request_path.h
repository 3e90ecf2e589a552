// What the parts of the request path share.
#pragma once

#include <chrono>
#include <string_view>

#include <boost/beast/core/string_type.hpp>

namespace bth::gateway::internal {

// A target that answers as its time runs out is heard out for so long, if the caller waits.
inline constexpr std::chrono::milliseconds late_answer_wait{100};

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace bth::gateway::internal
