// The events that the shell (bth/shell) reports to the steering core, and the actions that the core
// returns.
//
// The shell reads the header of a request and calls node::arrive. The core returns actions: send
// the request to a target, forward it to another entry host, or refuse it. It returns no action for
// a request that it puts into its short queue. The shell reports the end of each attempt to
// node::finished; after a failed attempt the core may return another attempt or a refusal.
//
//   actions todo = core.arrive(arrival{...}, now);           // contains send_to_target{id, target}
//   todo = core.finished({.id = id, .outcome = attempt_outcome::timed_out}, now);
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

// The maximum number of times that a request is forwarded from one entry host to another: to the
// owner in the failure domain of the first host, then to the owner in another failure domain.
inline constexpr std::uint8_t max_hops = 2;

// A request whose header the shell has read.
struct arrival {
    request_id id;
    service_id service;
    // The class that the caller's key authenticates; the public class without a key.
    class_id caller_class;
    // The failure domain of the caller, determined by its client block.
    domain_id home;
    // The entry host that forwarded the request; empty if it came directly from the caller.
    std::optional<host_id> forwarded_by;
    // The number of entry hosts that have handled the request before this one: 0 if it came
    // directly from the caller, 1 if it came from a host of the same failure domain or from the
    // caller's first host, max_hops at most.
    std::uint8_t hops{};
    // Whether another host forwarded the request as a retry; such a request adds nothing to the
    // retry budget of this host.
    bool retry{};
    // Whether the request may be run twice without harm.
    bool repeatable{};
    time_point deadline;
};

// The result of an attempt.
enum class attempt_outcome : std::uint8_t {
    answered,       // A complete answer arrived and was relayed to the caller.
    not_run,        // The target or peer reported that it did not run the request.
    connect_failed, // The connection failed; no byte of the request was sent.
    broken,         // The connection broke, or the answer was truncated, after bytes were sent.
    timed_out,      // No complete answer arrived in time; bytes were sent.
    cancelled,      // The caller disconnected.
};

struct attempt_result {
    request_id id;
    attempt_outcome outcome{attempt_outcome::answered};
    // Whether part of the answer has been sent to the caller; the request is then not retried.
    bool answer_started{};
    // The reason for not_run that the peer gave.
    std::optional<refusal_reason> peer_reason;
    // The delay before a retry that the peer or target asked for; zero if it gave none.
    duration retry_after{};
    // Whether the target answered that it is overloaded, such as with status 503.
    bool shed{};
};

// The load that a target reports.
struct load_report {
    target_id target;
    std::uint32_t in_flight{};
    std::uint32_t slots{};
    bool leaving{};
};

// The targets and entry hosts that the platform believes to be alive or leaving. The list lags
// behind their true state.
struct platform_list {
    std::vector<target_id> live_targets;
    std::vector<target_id> leaving_targets;
    std::vector<host_id> live_hosts;
    std::vector<host_id> leaving_hosts;
};

// Sends the request to the target, on a connection that is used for nothing else until the attempt
// ends.
struct send_to_target {
    request_id id;
    target_id target;
    time_point deadline;
};

// Forwards the request to another entry host. `hops` and `retry` are the values of these fields of
// its arrival there.
struct forward_to_host {
    request_id id;
    host_id host;
    time_point deadline;
    std::uint8_t hops{};
    bool retry{};
};

// Refuses the request as its final answer.
struct refuse {
    request_id id;
    refusal_reason reason{refusal_reason::no_target};
    run_state run{run_state::no};
    duration retry_after{};
};

// Aborts the attempt in flight and drops the request: its caller has disconnected or has been
// answered.
struct abort_attempt {
    request_id id;
};

// Sends a message to another entry host.
struct send_message {
    host_id to;
    peer_message message;
};

// Counts a retry in the metrics. The new attempt is an action of its own.
struct count_retry {
    request_id id;
    retry_reason reason{retry_reason::not_run};
};

using action =
    std::variant<send_to_target, forward_to_host, refuse, abort_attempt, send_message, count_retry>;
using actions = std::vector<action>;

// Asks which entry hosts a caller of the failure domain `home` should use for `service`.
struct lookup_query {
    domain_id home;
    service_id service;
    class_id caller_class;
};

// Entry hosts in descending order of preference, and how long the caller may cache them.
struct lookup_answer {
    std::vector<host_id> hosts;
    std::chrono::seconds max_age{};
};

} // namespace bth::steering
