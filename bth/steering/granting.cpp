// Applies ownership and capacity grants to the requests of a node: decides which requests this host
// may serve, exchanges grants with other domains, and hands services over between owners.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

void append(actions& out, const std::vector<send_message>& messages)
{
    out.insert(out.end(), messages.begin(), messages.end());
}

std::uint32_t total_count(const std::vector<busy_slots>& busy)
{
    std::uint32_t sum = 0;
    for (const busy_slots& each : busy) {
        sum += each.count;
    }
    return sum;
}

bool is_same(const std::vector<busy_slots>& one, const std::vector<busy_slots>& other)
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
    std::map<service_id, former_owner> former_owners;
    for (const auto& [old, row] : this->former_owners) {
        const auto service = change->find(old);
        const auto host_now = change->find(row.host);
        if (service && host_now) {
            former_owners[*service] = {*host_now, row.incarnation_number, row.sequence};
        }
    }
    this->former_owners = std::move(former_owners);
}

void node::state::tick_grants(time_point now, actions& out)
{
    if (!this->ready()) {
        return;
    }
    append(out, this->owners.tick(now));
    this->send_due_handovers(now, out);
    this->send_handover_updates(now, out);
    this->offered_load.tick(now);
    this->ledger.tick(now);
    append(out, this->book.tick(this->demands_for_other_domains(now), now));
    for (std::size_t index = 0; index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        if (this->queues.waiting(service) > 0 && !this->decides_for(service, now)) {
            this->forward_queue_to_owner(service, now, out);
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
        this->accept_handover(from, *given, now, out);
    }
    else if (const auto* request = std::get_if<grant_request>(&message)) {
        std::vector<grant_context> contexts;
        for (const service_demand& each : request->services) {
            const bool known = each.service.index() < this->model->services.size();
            contexts.push_back(known ? this->grant_context_of(each.service, now) : grant_context{});
        }
        out.push_back(send_message{from, this->ledger.answer(from, *request, contexts, now)});
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

// Returns the owner of the service's targets in this domain if it is another host.
std::optional<host_id> node::state::other_owner(const arrival& request, time_point now) const
{
    const auto owner = this->owners.owner(request.service, now);
    return owner == this->host ? std::nullopt : owner;
}

// Refuses a request that this host may not decide about. Only the owner of the service's targets
// admits requests. A request forwarded from another failure domain consumes a grant, and a caller
// of another home domain counts against the shift cap.
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
        if (!this->ledger.try_consume(service, *holder, now)) {
            return refusal{refusal_reason::grant_missing};
        }
    }
    return std::nullopt;
}

// Reserves a slot in the service's share of this domain's capacity.
std::optional<refusal> node::state::reserve_domain_capacity(request_row& row, time_point now)
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

grant_context node::state::grant_context_of(service_id service, time_point now) const
{
    grant_context context;
    const service_capacity capacity = this->targets.capacity(service);
    const duration usual_service_time = this->model->at(service).service_time;
    // A host that is leaving gives no more grants.
    context.owned_until =
        this->stopping ? time_point::min() : this->owners.owned_until(service, now);
    context.owner = this->owners.owner(service, now);
    context.usable_slots = this->owners.owns(service, now) ? capacity.slots : 0;
    context.service_time = std::max(capacity.service_time, usual_service_time);
    context.own_demand = this->offered_load.rates(service);
    return context;
}

std::vector<service_demand> node::state::demands_for_other_domains(time_point now) const
{
    std::vector<service_demand> all;
    for (std::size_t index = 0; index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        if (!this->decides_for(service, now)) {
            continue;
        }
        const grant_context context = this->grant_context_of(service, now);
        const request_capacity cap = this->ledger.service_cap(service);
        auto excess_by_level =
            excess_demand(context.own_demand, context.service_time,
                          std::min(cap.in_flight, context.usable_slots), cap.rate);
        if (!excess_by_level.empty()) {
            all.push_back({service, std::move(excess_by_level)});
        }
    }
    return all;
}

void node::state::send_due_handovers(time_point now, actions& out)
{
    for (const due_handover& each : this->owners.due_handovers(now)) {
        std::erase_if(this->handed_over,
                      [&](const handed_over_service& row) { return row.service == each.service; });
        handover message;
        message.service = each.service;
        message.incarnation_number = this->settings.incarnation_number;
        message.sequence = ++this->handover_sequence;
        message.grants = this->ledger.outstanding_grants(each.service, now);
        message.busy = this->busy_slots_of(each.service);
        this->handed_over.push_back({each.service, each.to, message.busy});
        append(out, this->owners.give_up(each.service, now));
        this->ledger.clear_demand(each.service);
        out.push_back(send_message{each.to, std::move(message)});
        this->forward_queue_to_owner(each.service, now, out);
    }
}

// Sends the number of slots that are still busy to the new owners, each time it has changed.
void node::state::send_handover_updates(time_point now, actions& out)
{
    for (handed_over_service& each : this->handed_over) {
        auto busy = this->busy_slots_of(each.service);
        if (is_same(busy, each.notified)) {
            continue;
        }
        each.notified = busy;
        handover message;
        message.service = each.service;
        message.incarnation_number = this->settings.incarnation_number;
        message.sequence = ++this->handover_sequence;
        message.grants = this->ledger.outstanding_grants(each.service, now);
        message.busy = std::move(busy);
        out.push_back(send_message{each.to, std::move(message)});
    }
    std::erase_if(this->handed_over,
                  [](const handed_over_service& each) { return each.notified.empty(); });
}

std::vector<busy_slots> node::state::busy_slots_of(service_id service) const
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

void node::state::accept_handover(host_id from, const handover& message, time_point now,
                                  actions& out)
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
    this->set_former_owner_slots(message.service, message.busy);
    this->ledger.import_grants(message.service, message.grants, now);
    append(out, this->owners.accept_handover(from, message, now));
    this->serve_queue(message.service, now, out);
}

// Counts the attempts that the former owner has in flight against their targets and the service.
void node::state::set_former_owner_slots(service_id service, const std::vector<busy_slots>& busy)
{
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        if (this->model->targets.at(index).service == service) {
            this->targets.set_former_owner_attempts(target_id::from_index(index), 0);
        }
    }
    for (const busy_slots& each : busy) {
        this->targets.set_former_owner_attempts(each.target, each.count);
    }
    this->ledger.set_former_owner_in_flight(service, total_count(busy));
}

// Stops counting the attempts of a host whose connection broke, since the broken connection means
// that they have ended.
void node::state::drop_former_owner_slots(host_id disconnected)
{
    for (const auto& [service, row] : this->former_owners) {
        if (row.host == disconnected) {
            this->set_former_owner_slots(service, {});
        }
    }
    std::erase_if(this->former_owners,
                  [disconnected](const auto& each) { return each.second.host == disconnected; });
}

// Forwards the queued requests of a service that this host no longer decides about to its owner,
// and refuses those that can't be forwarded.
void node::state::forward_queue_to_owner(service_id service, time_point now, actions& out)
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
    // Tolerates rounding errors in sums of rates.
    constexpr double slack = 1.0 + 1e-9;
    for (const ledger_usage& each : this->ledger.usage(this->latest)) {
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
        for (std::size_t index = 0; index < each.granted_link_capacity.size(); ++index) {
            const link_capacity& used = each.granted_link_capacity.at(index);
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
