// Decides which targets, hosts and domains may receive new requests: closes leaving targets, relays
// leave announcements, and updates the hosts and domains that look-up answers name.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// Slow start: a host that has just started comes first only in a share of the look-up answers in
// which it normally would. The share rises linearly over this time from the initial share to 1.
constexpr duration ramp_length = std::chrono::seconds{10};
constexpr double initial_ramp_share = 0.1;

double ramp_share(duration age)
{
    const double progress = std::chrono::duration<double>(age) / ramp_length;
    return std::clamp(initial_ramp_share + (1.0 - initial_ramp_share) * progress,
                      initial_ramp_share, 1.0);
}

} // namespace

void node::state::apply_availability(const model_map* change, clock_reading now)
{
    if (change == nullptr) {
        this->started = now.monotonic;
    }
    std::vector<bool> shift_started(this->model->services.size());
    for (std::size_t index = 0; change != nullptr && index < this->shift_started.size(); ++index) {
        if (const auto next = change->find(service_id::from_index(index))) {
            shift_started.at(next->index()) = this->shift_started.at(index);
        }
    }
    this->shift_started = std::move(shift_started);
    this->shift_closed.clear();
    for (const auto& [id, row] : this->requests.all()) {
        this->requests.find(id)->shift.reset();
        this->requests.find(id)->only_domain.reset();
    }
    this->lookups.configure(this->model);
    if (!this->host) {
        return;
    }
    this->availability_state.configure(this->model, this->domain(), change);
    this->availability_state.advance(now);
    this->shifts.configure(this->model, this->domain(), now.monotonic);
}

void node::state::refresh_availability(time_point now, actions& out)
{
    if (!this->ready()) {
        return;
    }
    if (this->stopping) {
        this->availability_state.announce_own_leaving(*this->host, now);
    }
    const bool drained =
        this->availability_state.drain_starts_within(*this->host, duration::zero());
    this->drained_since = drained ? std::optional{this->drained_since.value_or(now)} : std::nullopt;
    this->close_leaving_targets(now);
    this->relay_leaving_notice(now, out);
    this->update_shift_limiter(now, out);
    this->refresh_lookups(now);
}

void node::state::report_availability(const load_report& report, time_point now, actions& out)
{
    this->availability_state.apply_report(report, now);
    if (!this->ready() || !this->targets.has(report.target)) {
        return;
    }
    this->targets.set_closed(report.target, this->availability_state.leaving(report.target), now);
    if (report.leaving) {
        this->relay_leaving_notice(now, out);
    }
}

void node::state::relay_leaving_notice(time_point now, actions& out)
{
    if (const auto notice = this->availability_state.due_notice(now)) {
        this->send_to_domain(this->domain(), *notice, out);
    }
}

void node::state::close_leaving_targets(time_point now)
{
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const auto target = target_id::from_index(index);
        if (this->targets.has(target)) {
            this->targets.set_closed(target, this->availability_state.leaving(target), now);
        }
    }
}

void node::state::receive_availability(host_id from, const peer_message& message, time_point now)
{
    this->availability_state.record_liveness(from, now);
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        this->availability_state.apply_heartbeat(from, *beat, now);
    }
    if (const auto* notice = std::get_if<leaving_notice>(&message)) {
        this->availability_state.apply_notice(*notice, now);
        this->close_leaving_targets(now);
    }
    if (const auto* claim = std::get_if<shift_claim>(&message)) {
        if (claim->service.index() < this->model->services.size() &&
            claim->home.index() < this->model->domains.size()) {
            this->shifts.receive(this->model->at(from).domain, *claim, now);
        }
    }
}

void node::state::send_to_domain(domain_id domain, const peer_message& message, actions& out) const
{
    for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
        const auto to = host_id::from_index(index);
        if (to != *this->host && this->model->at(to).domain == domain) {
            out.push_back(send_message{to, message});
        }
    }
}

lookup_host node::state::listing_of(host_id id, time_point now) const
{
    const bool own = id == *this->host;
    if (this->availability_state.drain_starts_within(id, lookup_policy::longest_max_age)) {
        return {host_listing::unlisted, 1.0};
    }
    if (own) {
        const auto listing = this->stopping ? host_listing::unlisted : host_listing::listed;
        return {listing, ramp_share(now - this->started)};
    }
    switch (this->availability_state.condition(id, now)) {
    case host_condition::usable:
        break;
    case host_condition::never_seen:
        return {host_listing::last_resort, 1.0};
    default:
        return {host_listing::unlisted, 1.0};
    }
    // To a host that has just started itself, every other host seems to have just started, so only
    // those first seen after its own ramp count as new.
    const auto first_seen = this->availability_state.incarnation_first_seen(id);
    const bool is_new = first_seen && *first_seen - this->started > ramp_length;
    return {host_listing::listed, is_new ? ramp_share(now - *first_seen) : 1.0};
}

domain_service_state node::state::place_of(domain_id domain, service_id service,
                                           time_point now) const
{
    (void)now;
    domain_service_state place;
    if (domain != this->domain()) {
        return place;
    }
    const std::uint32_t slots = this->targets.configured_slots(service);
    std::uint32_t busy = 0;
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const auto target = target_id::from_index(index);
        if (this->model->at(target).service == service && this->targets.has(target)) {
            busy += this->targets.in_flight(target);
        }
    }
    const auto waiting = static_cast<double>(this->queues.waiting(service));
    place.load = slots > 0 ? (busy + waiting) / static_cast<double>(slots) : 1.0;
    return place;
}

void node::state::refresh_lookups(time_point now)
{
    for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
        const auto id = host_id::from_index(index);
        this->lookups.set_host(id, this->listing_of(id, now));
    }
    for (std::size_t index = 0; index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        for (std::size_t other = 0; other < this->model->domains.size(); ++other) {
            const auto domain = domain_id::from_index(other);
            this->lookups.set_domain_service(domain, service, this->place_of(domain, service, now));
        }
    }
}

std::optional<refusal_reason> node::state::refuse_all_reason(time_point now) const
{
    if (this->stopping && now - this->shutdown_started >= shutdown_serving_time) {
        return refusal_reason::shutting_down;
    }
    if (this->drained_since && now - *this->drained_since >= shutdown_serving_time) {
        return refusal_reason::drained;
    }
    return std::nullopt;
}

} // namespace bth::steering
