// Places an admitted request: at a target, in the queue, or at an entry host of a fallback domain.
#include "bth/steering/internal/node_state.h"

namespace bth::steering {

namespace {

// The round-trip time to another domain of the same region.
constexpr duration round_trip_within_region = std::chrono::milliseconds{2};
// Allows fallback domains at any distance.
constexpr duration any_round_trip = duration::max();

waiting_request waiting_request_of(const request_row& row)
{
    return {row.request.id, row.request.service, row.level, row.request.home, row.request.deadline};
}

} // namespace

void node::state::place(request_row& row, time_point now, actions& out)
{
    const service_id service = row.request.service;
    if (row.only_domain) {
        if (!this->place_at_fallback(row, any_round_trip, now, out)) {
            this->give_up(row, {refusal_reason::shift_cap}, out);
        }
        return;
    }
    if (this->reroute_if_not_owner(row, now, out) ||
        this->reroute_if_dependency_unavailable(row, now, out)) {
        return;
    }
    if (this->audit.higher_level_refused(service, row.level, now)) {
        if (!this->place_at_fallback(row, any_round_trip, now, out)) {
            this->refuse_with_retry_after(row, refusal_reason::priority, now, out);
        }
        return;
    }
    const auto capacity = this->capacity_of(row);
    if (now + capacity.service_time > row.request.deadline) {
        this->refuse_with_retry_after(row, refusal_reason::deadline, now, out);
        return;
    }
    if (!this->queues.must_wait(service, row.level) && this->place_at_target(row, now, out)) {
        return;
    }
    const duration wait = this->queues.expected_wait(service, row.level, capacity);
    if (this->place_at_fallback(row, wait, now, out)) {
        return;
    }
    if (row.is_retry() && !this->targets.can_serve(service, row.tried_targets)) {
        // The request has failed at every target that could serve it, so queueing can't help.
        this->give_up(row, {refusal_reason::target_failed}, out);
        return;
    }
    this->place_in_queue(row, now, out);
}

bool node::state::reroute_if_not_owner(request_row& row, time_point now, actions& out)
{
    if (this->owners.owns(row.request.service, now)) {
        return false;
    }
    if (!this->place_at_fallback(row, any_round_trip, now, out)) {
        this->give_up(row, {refusal_reason::ownership}, out);
    }
    return true;
}

bool node::state::reroute_if_dependency_unavailable(request_row& row, time_point now, actions& out)
{
    if (!this->dependency_states.unavailable_dependency(row.request.service)) {
        return false;
    }
    if (!this->place_at_fallback(row, any_round_trip, now, out)) {
        this->refuse_with_retry_after(row, refusal_reason::dependency, now, out);
    }
    return true;
}

target_query node::state::target_query_for(const request_row& row) const
{
    const auto capacity = this->capacity_of(row);
    return {.service = row.request.service,
            .avoid = &row.tried_targets,
            .may_probe = row.request.repeatable && !row.is_retry(),
            .queue_wait = this->queues.expected_wait(row.request.service, row.level, capacity)};
}

bool node::state::place_at_target(request_row& row, time_point now, actions& out)
{
    const auto target = this->targets.choose(this->target_query_for(row));
    if (!target || this->reserve_domain_capacity(row, now)) {
        return false;
    }
    this->audit.record_admission(row.request.service, row.level,
                                 this->queues.highest_waiting(row.request.service), now);
    this->count_first_attempt(row, false, now);
    this->targets.begin_attempt(*target, now);
    row.shift.reset();
    row.phase = request_phase::at_target;
    row.target = target;
    row.attempt_started_at = now;
    out.push_back(send_to_target{row.request.id, *target, row.request.deadline});
    return true;
}

bool node::state::place_at_fallback(request_row& row, duration max_round_trip, time_point now,
                                    actions& out)
{
    if (this->is_foreign(row.request) || row.request.hops >= max_hops) {
        return false;
    }
    const auto peer = this->choose_fallback(row, max_round_trip, now);
    if (!peer) {
        return false;
    }
    this->forward(row, *peer, now, out);
    return true;
}

duration node::state::round_trip_to(domain_id other) const
{
    const region_id own = this->model->at(this->domain()).region;
    const auto link = config::find_link(*this->model, own, this->model->at(other).region);
    return link ? 2 * duration{this->model->at(*link).delay} : round_trip_within_region;
}

std::optional<host_id> node::state::choose_fallback(const request_row& row, duration max_round_trip,
                                                    time_point now)
{
    const auto usable = [&](domain_id domain, host_id host) {
        return this->round_trip_to(domain) <= max_round_trip && !row.has_tried(host) &&
               !this->must_skip_domain(row, domain, now);
    };
    return this->book.try_acquire(row.request.service, usable, now);
}

void node::state::forward(request_row& row, host_id peer, time_point now, actions& out)
{
    const bool is_retry = row.is_retry();
    this->count_first_attempt(row, true, now);
    this->withdraw_shift(row, now);
    row.phase = request_phase::at_peer;
    row.peer = peer;
    row.attempt_started_at = now;
    const auto hops = static_cast<std::uint8_t>(row.request.hops + 1);
    out.push_back(forward_to_host{row.request.id, peer, row.request.deadline, hops, is_retry});
}

void node::state::count_first_attempt(request_row& row, bool forwards, time_point now)
{
    if (row.first_attempt_counted || row.is_retry()) {
        return;
    }
    row.first_attempt_counted = true;
    this->retries.count_first_attempt(row.request.service,
                                      first_attempt_units(row.request.hops, forwards), now);
}

void node::state::place_in_queue(request_row& row, time_point now, actions& out)
{
    const service_id service = row.request.service;
    row.phase = request_phase::waiting;
    const auto answer = this->queues.offer(waiting_request_of(row), this->capacity_of(row), now);
    for (const waiting_request& dropped : answer.dropped) {
        request_row* other = this->requests.find(dropped.id);
        if (!this->place_at_fallback(*other, any_round_trip, now, out)) {
            const auto reason =
                dropped.level > row.level ? refusal_reason::priority : refusal_reason::queue_full;
            this->refuse_with_retry_after(*other, reason, now, out);
        }
    }
    if (answer.refused && !this->place_at_fallback(row, any_round_trip, now, out)) {
        this->refuse_with_retry_after(row, *answer.refused, now, out);
    }
    // With a longer queue, a slower target may become the better choice for a queued request.
    this->serve_queue(service, now, out);
}

void node::state::serve_queue(service_id service, time_point now, actions& out)
{
    this->queue_served_at.at(service.index()) = now;
    if (this->queues.waiting(service) == 0) {
        return;
    }
    const auto capacity = this->targets.capacity(service);
    if (capacity.slots == 0 || this->dependency_states.unavailable_dependency(service)) {
        this->clear_queue(service, now, out);
        return;
    }
    for (const waiting_request& late : this->queues.expire(service, capacity, now)) {
        this->refuse_with_retry_after(*this->requests.find(late.id), refusal_reason::deadline, now,
                                      out);
    }
    while (const auto id = this->queues.next(service)) {
        request_row& row = *this->requests.find(*id);
        if (!this->place_at_target(row, now, out)) {
            return;
        }
        this->queues.remove(waiting_request_of(row));
    }
}

// Empties the queue of a service that can't be served here now. Forwards its requests to fallback
// domains where possible, highest class first, and refuses the others.
void node::state::clear_queue(service_id service, time_point now, actions& out)
{
    std::vector<request_id> waiting_ids;
    while (const auto id = this->queues.next(service)) {
        this->queues.remove(waiting_request_of(*this->requests.find(*id)));
        waiting_ids.push_back(*id);
    }
    for (const request_id id : waiting_ids) {
        request_row& row = *this->requests.find(id);
        if (!this->reroute_if_dependency_unavailable(row, now, out) &&
            !this->place_at_fallback(row, any_round_trip, now, out)) {
            this->refuse_with_retry_after(row, refusal_reason::no_target, now, out);
        }
    }
}

void node::state::refuse_with_retry_after(request_row& row, refusal_reason reason, time_point now,
                                          actions& out)
{
    const service_id service = row.request.service;
    const bool for_lack_of_slots =
        reason != refusal_reason::deadline && reason != refusal_reason::dependency;
    if (for_lack_of_slots) {
        this->audit.record_refusal(service, row.level, this->queues.lowest_waiting(service), now);
    }
    this->queues.count_refusal(service, row.level, now);
    const duration retry_after =
        this->queues.retry_after(service, row.level, this->capacity_of(row), now);
    this->give_up(row, {reason, retry_after}, out);
}

} // namespace bth::steering
