// When an entry host that stops does what.
//
//   const auto plan = plan_stop(grace, ttl);
#pragma once

#include "bth/base/time.h"

#include <algorithm>

namespace bth::gateway {

// Times from the signal to stop.
struct stop_plan {
    // Until then new connections and requests are taken: callers keep using old look-ups.
    duration accept_until{};
    // Then the process ends, whatever is still under way.
    duration leave_by{};
};

// For how long a look-up is stated to hold. Some callers keep it for three times as long, which
// must be over well before a host that stops has to be gone.
constexpr duration look_up_ttl(duration most)
{
    constexpr std::chrono::milliseconds usual{1200};
    return std::min<duration>(most, usual);
}

constexpr stop_plan plan_stop(duration grace, duration most_ttl)
{
    // The end of the grace time is left to requests that are under way, and to the end itself.
    constexpr std::chrono::milliseconds for_the_last_requests{2200};
    constexpr std::chrono::milliseconds for_the_end{300};
    constexpr int longest_use_of_a_look_up = 3;
    const duration all_looked_up = look_up_ttl(most_ttl) * longest_use_of_a_look_up;
    const duration latest = std::max<duration>(grace - for_the_last_requests, duration{});
    return {std::min(all_looked_up, latest), std::max<duration>(grace - for_the_end, duration{})};
}

} // namespace bth::gateway
