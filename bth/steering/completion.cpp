// Handles the end of an attempt: finishes the request, retries it, or refuses it.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// The maximum number of attempts of one request by this host, including the first one.
constexpr std::size_t max_attempts = 3;

// Returns whether an attempt with this outcome certainly didn't run the request.
bool certainly_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::connect_failed;
}

retry_reason retry_reason_of(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::connect_failed:
        return retry_reason::connect_failed;
    case attempt_outcome::broken:
        return retry_reason::broken;
    case attempt_outcome::timed_out:
        return retry_reason::target_timeout;
    default:
        return retry_reason::not_run;
    }
}

// Returns whether a refusal by a peer must not be followed by an attempt elsewhere, because this
// would only cause more attempts at targets or would end in the same way.
bool is_final(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::bad_request:
    case refusal_reason::request_too_large:
    case refusal_reason::unknown_service:
    case refusal_reason::deadline:
    case refusal_reason::retry_budget:
    case refusal_reason::target_failed:
    case refusal_reason::already_run:
        return true;
    default:
        return false;
    }
}

// Returns whether a peer refused the request because it is no longer responsible for it. Forwarding
// it to another peer then adds no attempt at a target and no load to a full one, and so needs no
// retry budget.
bool was_misdirected(const attempt_result& result)
{
    if (result.outcome != attempt_outcome::not_run || !result.peer_reason) {
        return false;
    }
    switch (*result.peer_reason) {
    case refusal_reason::not_configured:
    case refusal_reason::shutting_down:
    case refusal_reason::drained:
    case refusal_reason::ownership:
        return true;
    default:
        return false;
    }
}

// Returns whether a request that was refused by the presumed owner of the service should be sent to
// another host of the same domain: only if the refusing host isn't the owner or is shutting down.
bool owner_has_moved(refusal_reason reason)
{
    return reason == refusal_reason::ownership || reason == refusal_reason::shutting_down ||
           reason == refusal_reason::not_configured;
}

std::size_t attempts_of(const request_row& row)
{
    return row.tried_targets.size() + row.tried_peers.size();
}

} // namespace

void node::state::finish(const attempt_result& result, time_point now, actions& out)
{
    request_row* row = this->requests.find(result.id);
    if (row == nullptr) {
        return;
    }
    const service_id service = row->request.service;
    const bool orphaned = row->orphaned;
    const bool cancelled = result.outcome == attempt_outcome::cancelled;
    if (row->phase == request_phase::waiting) {
        if (cancelled) {
            this->withdraw_shift(*row, now);
            this->queues.remove(
                {row->request.id, service, row->level, row->request.home, row->request.deadline});
            this->requests.erase(result.id);
            this->serve_queue(service, now, out);
        }
        return;
    }
    if (row->target) {
        this->targets.end_attempt(*row->target, result, now - row->attempt_started_at, now);
    }
    if (cancelled || result.answer_started || result.outcome == attempt_outcome::answered) {
        this->release_resources(*row, now);
        this->requests.erase(result.id);
    }
    else {
        this->retry_or_give_up(*row, result, now, out);
    }
    if (!orphaned && this->ready()) {
        this->serve_queue(service, now, out);
    }
}

void node::state::retry_or_give_up(request_row& row, const attempt_result& result, time_point now,
                                   actions& out)
{
    this->record_shift_refusal(row, result, now);
    row.may_have_run = row.may_have_run || !certainly_not_run(result.outcome);
    if (const auto why = this->check_retry(row, result, now)) {
        this->release_resources(row, now);
        const duration retry_after = std::max(default_retry_after, result.retry_after);
        this->give_up(row, {*why, retry_after}, out);
        return;
    }
    if (row.target) {
        row.tried_targets.push_back(*row.target);
    }
    if (row.peer) {
        row.tried_peers.push_back(*row.peer);
    }
    this->release_resources(row, now);
    out.push_back(count_retry{row.request.id, retry_reason_of(result.outcome)});
    if (this->forward_to_owner(row, now, out)) {
        return;
    }
    this->place(row, now, out);
}

std::optional<refusal_reason> node::state::check_retry(const request_row& row,
                                                       const attempt_result& result, time_point now)
{
    const bool at_peer = row.phase == request_phase::at_peer;
    const auto reason = result.peer_reason.value_or(at_peer ? refusal_reason::peer_failed
                                                            : refusal_reason::target_failed);
    const bool safe_to_repeat = certainly_not_run(result.outcome) || row.request.repeatable;
    if (!safe_to_repeat || row.orphaned || !this->ready() || attempts_of(row) + 1 >= max_attempts) {
        return reason;
    }
    if (at_peer && result.peer_reason) {
        const bool own_domain = row.peer && this->model->at(*row.peer).domain == this->domain();
        if (is_final(reason) || (own_domain && !owner_has_moved(reason))) {
            return reason;
        }
    }
    if (now + this->capacity_of(row).service_time > row.request.deadline) {
        return refusal_reason::deadline;
    }
    if (!(at_peer && was_misdirected(result)) && !this->retries.spend(row.request.service, now)) {
        return refusal_reason::retry_budget;
    }
    return std::nullopt;
}

void node::state::release_resources(request_row& row, time_point now)
{
    (void)now;
    if (row.held.domain_capacity) {
        this->ledger.finish(row.request.service, row.held.holder);
    }
    if (row.peer && !row.orphaned && this->model->at(*row.peer).domain != this->domain()) {
        this->book.finish(row.request.service, *row.peer);
    }
    row.held = {};
    row.target.reset();
    row.peer.reset();
}

void node::state::give_up(request_row& row, const refusal& why, actions& out)
{
    this->withdraw_shift(row, this->latest);
    const request_id id = row.request.id;
    const run_state run = row.may_have_run ? run_state::unknown : run_state::no;
    out.push_back(refuse{id, why.reason, run, why.retry_after});
    this->requests.erase(id);
}

void node::state::cancel_forwarded_by(host_id peer, time_point now, actions& out)
{
    std::vector<request_id> cancelled_ids;
    for (const auto& [id, row] : this->requests.all()) {
        if (row.request.forwarded_by == peer) {
            cancelled_ids.push_back(id);
        }
    }
    for (const request_id id : cancelled_ids) {
        out.push_back(abort_attempt{id});
        attempt_result cancelled;
        cancelled.id = id;
        cancelled.outcome = attempt_outcome::cancelled;
        this->finish(cancelled, now, out);
    }
}

} // namespace bth::steering
