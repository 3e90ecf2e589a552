// Schedule of the graceful shutdown of an entry host.
//
//   const auto plan = plan_stop(grace, max_ttl);
#pragma once

#include "bth/base/time.h"

#include <algorithm>

namespace bth::gateway {

// Times since the stop signal.
struct stop_plan {
    // New connections and requests are accepted until then, since callers may still use lookup
    // responses that name this host.
    duration accept_until{};
    // Requests that may take until after `answer_by` are accepted until then: most take less.
    duration accept_long_until{};
    // The responses to requests that arrive after the signal are due then.
    duration answer_by{};
    // Requests of callers that are still in flight end then with a response of this host, so that
    // the responses that wait behind theirs can be written.
    duration end_requests_at{};
    // The process exits then, even if requests are still in flight.
    duration exit_by{};
};

// Returns the TTL to state in lookup responses; `max_ttl` is the configured limit. Some callers use
// a lookup response for three times its TTL, so the TTL must be short enough that this time ends
// well before a stopping host has to exit.
constexpr duration look_up_ttl(duration max_ttl)
{
    constexpr std::chrono::milliseconds default_ttl{1200};
    return std::min<duration>(max_ttl, default_ttl);
}

// Returns the schedule for a host that is killed `grace` after the stop signal.
constexpr stop_plan plan_stop(duration grace, duration max_ttl)
{
    // The end of the grace time is reserved for requests in flight, and for the exit itself.
    constexpr std::chrono::milliseconds drain_time{2200};
    constexpr std::chrono::milliseconds max_exit_margin{300};
    // From the deadline of a request to the end of the requests in flight: the target may answer at
    // its deadline, and its response may be late on links and hosts that are busy.
    constexpr std::chrono::milliseconds max_response_margin{200};
    // From the end of the requests in flight to the exit.
    constexpr std::chrono::milliseconds max_write_time{100};
    // Requests may take until the last sixth of the grace time, however short it is.
    const duration exit_margin = std::min<duration>(max_exit_margin, grace / 8);
    const duration write_time = std::min<duration>(max_write_time, grace / 24);
    const duration response_margin = std::min<duration>(max_response_margin, grace / 12);
    constexpr int max_lookup_age_in_ttls = 3;
    const duration lookup_expiry = look_up_ttl(max_ttl) * max_lookup_age_in_ttls;
    const duration latest_accept_until = std::max<duration>(grace - drain_time, duration{});
    const duration exit_by = std::max<duration>(grace - exit_margin, duration{});
    const duration end_requests_at = std::max<duration>(exit_by - write_time, duration{});
    return {std::min(lookup_expiry, latest_accept_until), grace / 2,
            std::max<duration>(end_requests_at - response_margin, duration{}), end_requests_at,
            exit_by};
}

} // namespace bth::gateway
