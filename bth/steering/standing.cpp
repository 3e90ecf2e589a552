// Who may get new work, as the node uses it: leaving targets are closed, words are passed on, and
// look-ups read what is known of hosts and domains.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// A host that has just started leads a rising part of the look-ups that it would lead.
constexpr duration ramp_length = std::chrono::seconds{10};
constexpr double ramp_begin = 0.1;

double ramp_at(duration age)
{
    const double part = std::chrono::duration<double>(age) / ramp_length;
    return std::clamp(ramp_begin + (1.0 - ramp_begin) * part, ramp_begin, 1.0);
}

} // namespace

void node::state::apply_standing(const model_map* change, clock_reading now)
{
    if (change == nullptr) {
        this->started = now.monotonic;
    }
    std::vector<bool> begun(this->model->services.size());
    for (std::size_t index = 0; change != nullptr && index < this->shift_started.size(); ++index) {
        if (const auto next = change->find(service_id::from_index(index))) {
            begun.at(next->index()) = this->shift_started.at(index);
        }
    }
    this->shift_started = std::move(begun);
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

void node::state::refresh_standing(time_point now, actions& out)
{
    if (!this->ready()) {
        return;
    }
    if (this->stopping) {
        this->availability_state.announce_own_leaving(*this->host, now);
    }
    const bool drained = this->availability_state.leaves_within(*this->host, duration::zero());
    this->drained_since = drained ? std::optional{this->drained_since.value_or(now)} : std::nullopt;
    this->close_leaving_targets(now);
    this->pass_on_words(now, out);
    this->refresh_shift(now, out);
    this->refresh_lookups(now);
}

void node::state::report_standing(const load_report& report, time_point now, actions& out)
{
    this->availability_state.take_report(report, now);
    if (!this->ready() || !this->targets.has(report.target)) {
        return;
    }
    this->targets.set_closed(report.target, this->availability_state.leaving(report.target), now);
    if (report.leaving) {
        this->pass_on_words(now, out);
    }
}

void node::state::pass_on_words(time_point now, actions& out)
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

void node::state::receive_standing(host_id from, const peer_message& message, time_point now)
{
    this->availability_state.take_sign_of_life(from, now);
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        this->availability_state.take_heartbeat(from, *beat, now);
    }
    if (const auto* notice = std::get_if<leaving_notice>(&message)) {
        this->availability_state.take_notice(*notice, now);
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
    if (this->availability_state.leaves_within(id, lookup_policy::longest_max_age)) {
        return {host_listing::unlisted, 1.0};
    }
    if (own) {
        const auto listing = this->stopping ? host_listing::unlisted : host_listing::listed;
        return {listing, ramp_at(now - this->started)};
    }
    switch (this->availability_state.condition(id, now)) {
    case host_condition::usable:
        break;
    case host_condition::unheard:
        return {host_listing::last_resort, 1.0};
    default:
        return {host_listing::unlisted, 1.0};
    }
    // Everyone looks new to a host that has just started itself.
    const auto began = this->availability_state.life_began(id);
    const bool new_here = began && *began - this->started > ramp_length;
    return {host_listing::listed, new_here ? ramp_at(now - *began) : 1.0};
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

std::optional<refusal_reason> node::state::refuses_all(time_point now) const
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
