// Helpers shared by the source files of the request path.
#pragma once

#include "bth/gateway/handoff.h"

#include <chrono>
#include <string_view>

#include <boost/beast/core/string_type.hpp>

namespace bth::gateway::internal {

// Time after the deadline for which a response is still accepted if the caller still waits: a
// target may respond just as its time runs out.
inline constexpr std::chrono::milliseconds late_response_wait{100};
// The same at a host that sends a request for another one. That host ends the request sooner if its
// caller stops waiting; a stopping host waits for longer than `late_response_wait`.
inline constexpr std::chrono::milliseconds forwarded_response_wait{300};

// How long a probe of a target waits whether a connection that was accepted is reset at once,
// longer than a reset takes inside a region.
inline constexpr std::chrono::milliseconds probe_hold{50};

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Returns the name of the reason in the event log.
inline std::string_view decline_name(decline_reason reason)
{
    switch (reason) {
    case decline_reason::none:
        return "none";
    case decline_reason::unfit:
        return "unfit";
    case decline_reason::full:
        return "full";
    case decline_reason::suspect:
        return "suspect";
    }
    return "unknown";
}

// Returns whether the target ran the request to its end.
inline bool is_completed(const send_result& result)
{
    return result.outcome == dispatch::send_outcome::answered ||
           result.outcome == dispatch::send_outcome::failed;
}

} // namespace bth::gateway::internal
