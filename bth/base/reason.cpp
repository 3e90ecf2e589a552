#include "bth/base/reason.h"

namespace bth {

namespace {

constexpr std::array<std::string_view, refusal_reason_count> refusal_names{
    "bad_request",    "unknown_service", "request_too_large", "too_many_connections",
    "not_configured", "shutting_down",   "no_target",         "domain_full",
    "link_full",      "shift_cap",       "grant_missing",     "priority",
    "queue_full",     "deadline",        "dependency",        "retry_budget",
    "target_failed",  "peer_failed",     "already_run",       "drained",
    "ownership",      "crashes_targets", "unknown_key",       "allowance"};

constexpr std::array<std::string_view, retry_reason_count> retry_names{"connect_failed", "not_run",
                                                                       "broken", "target_timeout"};

template <class Reason, std::size_t Count>
std::array<Reason, Count> all_values()
{
    std::array<Reason, Count> values{};
    for (std::size_t index = 0; index < Count; ++index) {
        values.at(index) = static_cast<Reason>(index);
    }
    return values;
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return refusal_names.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(retry_reason reason)
{
    return retry_names.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(run_state state)
{
    return state == run_state::no ? "no" : "unknown";
}

std::array<refusal_reason, refusal_reason_count> all_refusal_reasons()
{
    return all_values<refusal_reason, refusal_reason_count>();
}

std::array<retry_reason, retry_reason_count> all_retry_reasons()
{
    return all_values<retry_reason, retry_reason_count>();
}

} // namespace bth
