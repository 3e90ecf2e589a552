// What the shell tells the steering core, and what the core tells the shell to do.
//
// A request lives as follows: the shell reads its header and calls node::arrive. The core answers
// with actions: send it to a target, forward it to another entry host, refuse it, or nothing yet
// while it waits in a short queue. The shell reports how each try ended with node::finished; after
// a failed try the core may order another, or refuse.
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/base/units.h"
#include "bth/steering/messages.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bth::steering {

// Entry hosts that a request passes between its first one and the one that serves it: the owner in
// the first one's failure domain, then the owner in another one.
inline constexpr std::uint8_t most_hops = 2;

// A request whose header has been read.
struct arrival {
    request_id id;
    service_id service;
    // Proved by the caller's key; the public class otherwise.
    class_id caller_class;
    // The failure domain of the caller, by its client block.
    domain_id home;
    // The entry host that forwarded the request, if it didn't come from the caller itself.
    std::optional<host_id> forwarded_by;
    // How many entry hosts the request has passed before this one: 0 straight from the caller, 1
    // from a host of the same failure domain or the caller's first host, most_hops at most.
    std::uint8_t hops{};
    // Whether another host forwarded the request as a retry; it then adds nothing to a retry
    // budget here.
    bool retry{};
    // Whether running the request twice does no harm.
    bool repeatable{};
    time_point deadline;
};

// How a try ended.
enum class try_outcome : std::uint8_t {
    answered,       // A complete answer came; the shell passed it on.
    not_run,        // The target or peer said that it did not run the request.
    connect_failed, // No connection; no byte of the request was sent.
    broken,         // The connection broke, or the answer was cut, after bytes were sent.
    timed_out,      // No complete answer in time; bytes were sent.
    cancelled,      // The caller went away.
};

struct try_result {
    request_id id;
    try_outcome outcome{try_outcome::answered};
    // Set if part of the answer has reached the caller: no other try may follow.
    bool answer_started{};
    // The reason that a peer gave for not_run.
    std::optional<refusal_reason> peer_reason;
    // When the peer or target said to come back; zero if it said nothing.
    duration retry_after{};
    // Whether the answer was an overload answer of the target, such as status 503.
    bool shed{};
};

// What a target says of itself.
struct load_report {
    target_id target;
    std::uint32_t in_flight{};
    std::uint32_t slots{};
    bool leaving{};
};

// The platform's list: what it believes is alive or leaving. It lags.
struct platform_list {
    std::vector<target_id> live_targets;
    std::vector<target_id> leaving_targets;
    std::vector<host_id> live_hosts;
    std::vector<host_id> leaving_hosts;
};

// Send the request to the target, on a connection of its own until the try ends.
struct send_to_target {
    request_id id;
    target_id target;
    time_point deadline;
};

// Forward the request to another entry host, with the arrival fields `hops` and `retry` that it has
// there.
struct forward_to_host {
    request_id id;
    host_id host;
    time_point deadline;
    std::uint8_t hops{};
    bool retry{};
};

// Give the final answer: a refusal.
struct refuse {
    request_id id;
    refusal_reason reason{refusal_reason::no_target};
    run_state run{run_state::no};
    duration retry_after{};
};

// Stop the try that is under way and drop the request; its caller is gone or has been answered.
struct cancel_try {
    request_id id;
};

// Send a message to another entry host.
struct send_message {
    host_id to;
    peer_message message;
};

// Count a retry; the new try is its own action.
struct count_retry {
    request_id id;
    retry_reason reason{retry_reason::not_run};
};

using action =
    std::variant<send_to_target, forward_to_host, refuse, cancel_try, send_message, count_retry>;
using actions = std::vector<action>;

// A look-up: which entry hosts should a caller of `home` use for `service`?
struct lookup_query {
    domain_id home;
    service_id service;
    class_id caller_class;
};

// Entry hosts, best first, and how long the caller may keep the answer.
struct lookup_answer {
    std::vector<host_id> hosts;
    std::chrono::seconds max_age{};
};

} // namespace bth::steering
