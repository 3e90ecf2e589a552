// Why a request was refused or retried. Metrics, logs and answers all name the reason by this
// enumeration, so that no caller's text ever becomes a metric label.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bth {

// Why a request got a refusal in place of an answer.
enum class refusal_reason : std::uint8_t {
    bad_request,          // The request isn't well formed.
    unknown_service,      // No service of that name in the configuration.
    request_too_large,    // Header or body over the limit.
    too_many_connections, // The entry host has no room for the connection.
    not_configured,       // The entry host has no configuration yet, or none that must be current.
    shutting_down,        // The entry host is stopping.
    no_target,            // No target of the service can take work.
    domain_full,          // The cap of the failure domain or its region is reached.
    link_full,            // The cap of a link is reached.
    shift_cap,            // Serving elsewhere would exceed the shift cap.
    grant_missing,        // No other failure domain has granted room.
    priority,             // The room is kept for, or taken by, a higher priority.
    queue_full,           // The queue in front of the targets is full.
    deadline,             // The deadline can't be met, or has passed.
    dependency,           // A service that this one depends on can't serve.
    retry_budget,         // The try failed and the retry budget is spent.
    target_failed,        // The target failed and the request may not be repeated.
    peer_failed,          // The entry host that the request was handed to failed.
    already_run,          // A resend whose first run goes on, or whose outcome is gone.
    drained,              // The failure domain or region is leaving.
    ownership,            // The targets are changing hands between entry hosts.
    crashes_targets,      // The request crashed the targets that ran it.
    unknown_key,          // No customer has the key of the request.
    allowance,            // The customer's allowance is used up.
};
inline constexpr std::size_t refusal_reason_count = 24;

// Why a request was tried again elsewhere.
enum class retry_reason : std::uint8_t {
    connect_failed, // No connection to the target; no byte was sent.
    not_run,        // The target or peer said explicitly that it did not run the request.
    broken,         // The connection broke during a repeatable request.
    target_timeout, // A repeatable request got no answer in its time.
};
inline constexpr std::size_t retry_reason_count = 4;

// Whether a request that is reported as failed has run.
enum class run_state : std::uint8_t {
    no,      // It has not run and will not run.
    unknown, // It may have run.
};

// The fixed names used in answers, metrics and logs, such as "queue_full".
std::string_view to_string(refusal_reason reason);
std::string_view to_string(retry_reason reason);
std::string_view to_string(run_state state);

// Every value in order, for declaring one counter each.
std::array<refusal_reason, refusal_reason_count> all_refusal_reasons();
std::array<retry_reason, retry_reason_count> all_retry_reasons();

} // namespace bth
