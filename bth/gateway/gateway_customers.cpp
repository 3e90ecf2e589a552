// The part of the request path that decides for which customer a request is served, and whether the
// customer's allowance has room for it.
#include "bth/gateway/credentials.h"
#include "bth/gateway/gateway.h"
#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>

namespace bth::gateway {

namespace {

using dispatch::fractional_ms;

// After which time callers come back whose key this host can't judge now. Control hosts send an
// update every 400 ms.
constexpr std::chrono::milliseconds unjudged_key_retry_time{300};
// After which time callers come back to a customer's next host, while only this one has no room.
constexpr fractional_ms other_host_retry_time{60};

// Returns the regions in which both may run, where an empty list allows all. Returns nothing if
// both name regions and none in common.
std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& a,
                                                       const std::vector<std::string>& b)
{
    if (a.empty() || b.empty()) {
        return a.empty() ? b : a;
    }
    std::vector<std::string> out;
    std::copy_if(a.begin(), a.end(), std::back_inserter(out), [&](const auto& region) {
        return std::find(b.begin(), b.end(), region) != b.end();
    });
    return out.empty() ? std::nullopt : std::optional{std::move(out)};
}

} // namespace

std::optional<caller_response> gateway::identify_customer(request_state& state)
{
    const auto& matched_route = *state.matched_route;
    state.priority = matched_route.priority;
    state.allowed_regions = matched_route.allowed_regions;
    if (!this->customers.requires_key()) {
        return std::nullopt;
    }
    state.has_own_credentials = true;
    if (const auto key = read_key(state.request->message, this->header_names.key_scheme)) {
        state.key = this->customers.digest_of(*key);
        state.customer = this->customers.find(*state.key);
    }
    if (!state.customer) {
        return matched_route.is_public ? std::nullopt : std::optional{this->refuse_key(state)};
    }
    const auto now = shell::monotonic_now();
    const bool may_be_withdrawn =
        this->settings.key_validity > duration{} &&
        (!this->last_contact || now - *this->last_contact > this->settings.key_validity);
    if (may_be_withdrawn && !matched_route.is_public) {
        return this->refuse(state, refusal_reason::not_configured, unjudged_key_retry_time);
    }
    state.priority += state.customer->priority * this->routes.priority_levels();
    auto regions = common_regions(matched_route.allowed_regions, state.customer->allowed_regions);
    if (!regions) {
        return this->refuse(state, refusal_reason::no_target, {});
    }
    state.allowed_regions = std::move(*regions);
    return std::nullopt;
}

caller_response gateway::refuse_key(const request_state& state)
{
    const bool is_unknown = this->knowledge.may_deny(shell::monotonic_now());
    if (!is_unknown || state.may_have_run) {
        return this->refuse(state, refusal_reason::not_configured, unjudged_key_retry_time);
    }
    this->metrics.count_refusal(refusal_reason::unknown_key, state.priority);
    this->events->write(shell::event{"refused"}
                            .with("request", state.id)
                            .with("route", state.matched_route->name)
                            .with("reason", to_string(refusal_reason::unknown_key))
                            .with("has_key", state.key.has_value())
                            .with("version", this->version.value()));
    auto response = make_error_response(static_cast<unsigned>(http::status::unauthorized),
                                        to_string(refusal_reason::unknown_key), false);
    response.header_lines += "WWW-Authenticate: " + this->header_names.key_scheme + "\r\n";
    return response;
}

bool gateway::is_key_withdrawn(const request_state& state) const
{
    return state.customer && !state.matched_route->is_public &&
           this->customers.find(*state.key) == nullptr;
}

std::optional<caller_response> gateway::charge_allowance(const request_state& state)
{
    if (!state.customer) {
        return std::nullopt;
    }
    const auto now = shell::monotonic_now();
    const auto refused =
        this->allowances.admit(now, dispatch::make_customer_key(state.customer->name));
    if (!refused) {
        return std::nullopt;
    }
    if (this->usage_handler) {
        this->usage_handler();
    }
    const auto wait = refused->has_room_elsewhere
                          ? other_host_retry_time
                          : std::max<fractional_ms>(refused->retry_after, other_host_retry_time);
    const auto retry_after = this->jittered_retry_after(wait, state.deadline);
    this->metrics.observe_customer(state.customer->name,
                                   static_cast<unsigned>(http::status::too_many_requests),
                                   now - state.request->started);
    this->events->write(
        shell::event{"over_allowance"}
            .with("request", state.id)
            .with("customer", state.customer->name)
            .with("demand_by_limit", refused->demand)
            .with("refill_per_s", refused->refill_rate)
            .with("room_elsewhere", refused->has_room_elsewhere)
            .with("contact_age_ms", this->last_contact ? now - *this->last_contact : duration{}));
    return this->refuse(state, refusal_reason::allowance, retry_after);
}

std::vector<dispatch::customer_usage> gateway::report_usage()
{
    return this->allowances.usage(shell::monotonic_now());
}

} // namespace bth::gateway
