// Where ownership and grants meet the requests: who decides for a service, what others are asked
// for and given, and how a service changes hands.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

void append(actions& out, const std::vector<send_message>& messages)
{
    out.insert(out.end(), messages.begin(), messages.end());
}

std::uint32_t sum_of(const std::vector<busy_slots>& busy)
{
    std::uint32_t sum = 0;
    for (const busy_slots& each : busy) {
        sum += each.count;
    }
    return sum;
}

bool same(const std::vector<busy_slots>& one, const std::vector<busy_slots>& other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](const busy_slots& a, const busy_slots& b) {
                          return a.target == b.target && a.count == b.count;
                      });
}

} // namespace

void node::state::apply_grants(const model_map* change, time_point now, actions& out)
{
    (void)out;
    this->offered_load.apply(*this->model, change);
    if (!this->host) {
        return;
    }
    this->owners.apply(this->model, this->configuration, *this->host, now);
    this->ledger.apply(this->model, this->domain(), change, now);
    this->book.apply(this->model, this->domain(), change, now);
    std::vector<handed_over_service> kept;
    for (handed_over_service& each : this->handed_over) {
        const auto service = change->find(each.service);
        const auto to = change->find(each.to);
        if (service && to) {
            kept.push_back({*service, *to, {}});
        }
    }
    this->handed_over = std::move(kept);
    std::map<service_id, former_owner> known;
    for (const auto& [old, row] : this->former_owners) {
        const auto service = change->find(old);
        const auto host_now = change->find(row.host);
        if (service && host_now) {
            known[*service] = {*host_now, row.incarnation_number, row.sequence};
        }
    }
    this->former_owners = std::move(known);
}

void node::state::tick_grants(time_point now, actions& out)
{
    if (!this->ready()) {
        return;
    }
    append(out, this->owners.tick(now));
    this->hand_over_due(now, out);
    this->send_handovers(now, out);
    this->offered_load.tick(now);
    this->ledger.tick(now);
    append(out, this->book.tick(this->demands_elsewhere(now), now));
    for (std::size_t index = 0; index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        if (this->queues.waiting(service) > 0 && !this->decides_for(service, now)) {
            this->leave_queue(service, now, out);
        }
    }
}

void node::state::receive_grants(host_id from, const peer_message& message, time_point now,
                                 actions& out)
{
    if (!this->ready()) {
        return;
    }
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        append(out, this->owners.receive(from, *beat, now));
    }
    else if (const auto* given = std::get_if<handover>(&message)) {
        this->take_over(from, *given, now, out);
    }
    else if (const auto* request = std::get_if<grant_request>(&message)) {
        std::vector<granting_state> about;
        for (const service_demand& each : request->services) {
            const bool known = each.service.index() < this->model->services.size();
            about.push_back(known ? this->granting_of(each.service, now) : granting_state{});
        }
        out.push_back(send_message{from, this->ledger.answer(from, *request, about, now)});
    }
    else if (const auto* grant = std::get_if<capacity_grant>(&message)) {
        this->book.receive(from, *grant, now);
    }
}

bool node::state::decides_for(service_id service, time_point now) const
{
    const auto owner = this->owners.owner(service, now);
    return !owner || owner == this->host;
}

// The host of this domain that owns the service's targets, if that is another one.
std::optional<host_id> node::state::owner_elsewhere(const arrival& request, time_point now) const
{
    const auto owner = this->owners.owner(request.service, now);
    return owner == this->host ? std::nullopt : owner;
}

// Only the owner admits. A request from another failure domain draws on a grant; a caller from
// elsewhere counts against the shift cap.
std::optional<refusal> node::state::check_origin(request_row& row, time_point now)
{
    const service_id service = row.request.service;
    if (!this->decides_for(service, now)) {
        return refusal{refusal_reason::ownership};
    }
    if (const auto why = this->check_shift(row, now)) {
        return why;
    }
    if (const auto holder = this->holder_of(row)) {
        if (!this->owners.owns(service, now)) {
            return refusal{refusal_reason::ownership};
        }
        if (!this->ledger.draw(service, *holder, now)) {
            return refusal{refusal_reason::grant_missing};
        }
    }
    return std::nullopt;
}

// Takes a place in the service's part of this domain's capacity.
std::optional<refusal> node::state::check_domain_part(request_row& row, time_point now)
{
    const auto holder = this->holder_of(row);
    if (!this->owners.owns(row.request.service, now)) {
        return refusal{refusal_reason::ownership};
    }
    if (!this->ledger.try_start(row.request.service, holder, now)) {
        return refusal{refusal_reason::domain_full};
    }
    row.held.domain_capacity = true;
    row.held.holder = holder;
    return std::nullopt;
}

std::optional<host_id> node::state::holder_of(const request_row& row) const
{
    return this->is_foreign(row.request) ? row.request.forwarded_by : std::nullopt;
}

granting_state node::state::granting_of(service_id service, time_point now) const
{
    granting_state about;
    const service_capacity capacity = this->targets.capacity(service);
    const duration usual = this->model->at(service).service_time;
    // A host that is leaving promises nothing more.
    about.owned_until = this->stopping ? time_point::min() : this->owners.owned_until(service, now);
    about.owner = this->owners.owner(service, now);
    about.usable_slots = this->owners.owns(service, now) ? capacity.slots : 0;
    about.service_time = std::max(capacity.service_time, usual);
    about.own_demand = this->offered_load.rates(service);
    return about;
}

std::vector<service_demand> node::state::demands_elsewhere(time_point now) const
{
    std::vector<service_demand> all;
    for (std::size_t index = 0; index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        if (!this->decides_for(service, now)) {
            continue;
        }
        const granting_state about = this->granting_of(service, now);
        const request_capacity part = this->ledger.part(service);
        auto levels = excess_demand(about.own_demand, about.service_time,
                                    std::min(part.in_flight, about.usable_slots), part.rate);
        if (!levels.empty()) {
            all.push_back({service, std::move(levels)});
        }
    }
    return all;
}

void node::state::hand_over_due(time_point now, actions& out)
{
    for (const due_handover& each : this->owners.due(now)) {
        std::erase_if(this->handed_over,
                      [&](const handed_over_service& row) { return row.service == each.service; });
        handover message;
        message.service = each.service;
        message.incarnation_number = this->settings.incarnation_number;
        message.sequence = ++this->handover_sequence;
        message.grants = this->ledger.outstanding(each.service, now);
        message.busy = this->busy_of(each.service);
        this->handed_over.push_back({each.service, each.to, message.busy});
        append(out, this->owners.give_up(each.service, now));
        this->ledger.release(each.service);
        out.push_back(send_message{each.to, std::move(message)});
        this->leave_queue(each.service, now, out);
    }
}

// Tells new owners which slots are free again.
void node::state::send_handovers(time_point now, actions& out)
{
    for (handed_over_service& each : this->handed_over) {
        auto busy = this->busy_of(each.service);
        if (same(busy, each.notified)) {
            continue;
        }
        each.notified = busy;
        handover message;
        message.service = each.service;
        message.incarnation_number = this->settings.incarnation_number;
        message.sequence = ++this->handover_sequence;
        message.grants = this->ledger.outstanding(each.service, now);
        message.busy = std::move(busy);
        out.push_back(send_message{each.to, std::move(message)});
    }
    std::erase_if(this->handed_over,
                  [](const handed_over_service& each) { return each.notified.empty(); });
}

std::vector<busy_slots> node::state::busy_of(service_id service) const
{
    std::vector<busy_slots> busy;
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const auto target = target_id::from_index(index);
        const std::uint32_t count = this->targets.in_flight(target);
        if (this->model->at(target).service == service && count > 0) {
            busy.push_back({target, count});
        }
    }
    return busy;
}

void node::state::take_over(host_id from, const handover& message, time_point now, actions& out)
{
    if (message.service.index() >= this->model->services.size()) {
        return;
    }
    const bool stale =
        this->former_owners.contains(message.service) &&
        this->former_owners.at(message.service).host == from &&
        this->former_owners.at(message.service).sequence >= message.sequence &&
        this->former_owners.at(message.service).incarnation_number == message.incarnation_number;
    if (stale) {
        return;
    }
    this->former_owners[message.service] = {from, message.incarnation_number, message.sequence};
    this->set_busy(message.service, message.busy);
    this->ledger.take_over(message.service, message.grants, now);
    append(out, this->owners.accept(from, message, now));
    this->serve_queue(message.service, now, out);
}

// Counts the tries of a former owner at their targets.
void node::state::set_busy(service_id service, const std::vector<busy_slots>& busy)
{
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        if (this->model->targets.at(index).service == service) {
            this->targets.set_former_owner_attempts(target_id::from_index(index), 0);
        }
    }
    for (const busy_slots& each : busy) {
        this->targets.set_former_owner_attempts(each.target, each.count);
    }
    this->ledger.set_handed(service, sum_of(busy));
}

// The tries of a host whose connection broke have ended.
void node::state::drop_busy_of(host_id gone)
{
    for (const auto& [service, row] : this->former_owners) {
        if (row.host == gone) {
            this->set_busy(service, {});
        }
    }
    std::erase_if(this->former_owners,
                  [gone](const auto& each) { return each.second.host == gone; });
}

// This host doesn't decide for the service any more: what waits goes to the owner.
void node::state::leave_queue(service_id service, time_point now, actions& out)
{
    while (const auto id = this->queues.next(service)) {
        request_row& row = *this->requests.find(*id);
        this->queues.remove(
            {row.request.id, service, row.level, row.request.home, row.request.deadline});
        if (!this->forward_to_owner(row, now, out)) {
            this->give_up(row, {refusal_reason::ownership}, out);
        }
    }
}

void node::state::check_grants(violations& found) const
{
    // Rounding of sums of rates.
    constexpr double slack = 1.0 + 1e-9;
    for (const ledger_use& each : this->ledger.use(this->latest)) {
        const std::uint64_t in_flight = each.own_in_flight + each.granted_in_flight;
        if (this->owners.owns(each.service, this->latest) && in_flight > each.cap.in_flight) {
            found.push_back(
                {violation_kind::in_flight_promised, each.service, in_flight, each.cap.in_flight});
        }
        const request_rate rate = each.own_rate + each.granted_rate;
        if (rate > each.cap.rate * slack) {
            found.push_back({violation_kind::rate_promised, each.service,
                             static_cast<std::uint64_t>(rate.value()),
                             static_cast<std::uint64_t>(each.cap.rate.value())});
        }
        for (std::size_t index = 0; index < each.granted_bytes.size(); ++index) {
            const link_capacity& used = each.granted_bytes.at(index);
            const link_capacity& cap = each.link_cap.at(index);
            if (used.request_bytes > cap.request_bytes * slack ||
                used.answer_bytes > cap.answer_bytes * slack) {
                found.push_back({violation_kind::link_promised, each.service,
                                 static_cast<std::uint64_t>(used.answer_bytes.value()),
                                 static_cast<std::uint64_t>(cap.answer_bytes.value())});
            }
        }
    }
}

} // namespace bth::steering
