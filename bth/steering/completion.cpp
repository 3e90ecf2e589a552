// What follows the end of a try: the request is done, tried again, or refused.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// Tries of one request at this host, the first included.
constexpr std::size_t most_tries = 3;

// Whether the request certainly didn't run in a try that ended so.
bool certainly_not_run(try_outcome outcome)
{
    return outcome == try_outcome::not_run || outcome == try_outcome::connect_failed;
}

retry_reason reason_to_retry(try_outcome outcome)
{
    switch (outcome) {
    case try_outcome::connect_failed:
        return retry_reason::connect_failed;
    case try_outcome::broken:
        return retry_reason::broken;
    case try_outcome::timed_out:
        return retry_reason::target_timeout;
    default:
        return retry_reason::not_run;
    }
}

// Whether a peer's refusal is the final word, because trying elsewhere costs targets more tries or
// can't end otherwise.
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

// Whether a peer refused because it isn't the one to ask any more. Asking another one then adds no
// try at a target and no load to a full one, and so costs no retry budget.
bool asked_the_wrong_host(const try_result& result)
{
    if (result.outcome != try_outcome::not_run || !result.peer_reason) {
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

// Whether another host of the same domain should be asked after the owner of the service refused
// so: only if it wasn't the owner, or is going.
bool owner_has_moved(refusal_reason reason)
{
    return reason == refusal_reason::ownership || reason == refusal_reason::shutting_down ||
           reason == refusal_reason::not_configured;
}

std::size_t tries_of(const request_row& row)
{
    return row.tried_targets.size() + row.tried_peers.size();
}

} // namespace

void node::state::finish(const try_result& result, time_point now, actions& out)
{
    request_row* row = this->requests.find(result.id);
    if (row == nullptr) {
        return;
    }
    const service_id service = row->request.service;
    const bool orphaned = row->orphaned;
    const bool cancelled = result.outcome == try_outcome::cancelled;
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
        this->targets.end(*row->target, result, now - row->try_began, now);
    }
    if (cancelled || result.answer_started || result.outcome == try_outcome::answered) {
        this->release(*row, now);
        this->requests.erase(result.id);
    }
    else {
        this->retry_or_give_up(*row, result, now, out);
    }
    if (!orphaned && this->ready()) {
        this->serve_queue(service, now, out);
    }
}

void node::state::retry_or_give_up(request_row& row, const try_result& result, time_point now,
                                   actions& out)
{
    this->note_shift_refusal(row, result, now);
    row.may_have_run = row.may_have_run || !certainly_not_run(result.outcome);
    if (const auto why = this->check_retry(row, result, now)) {
        this->release(row, now);
        const duration retry_after = std::max(usual_retry_after, result.retry_after);
        this->give_up(row, {*why, retry_after}, out);
        return;
    }
    if (row.target) {
        row.tried_targets.push_back(*row.target);
    }
    if (row.peer) {
        row.tried_peers.push_back(*row.peer);
    }
    this->release(row, now);
    out.push_back(count_retry{row.request.id, reason_to_retry(result.outcome)});
    if (this->forward_to_owner(row, now, out)) {
        return;
    }
    this->place(row, now, out);
}

std::optional<refusal_reason> node::state::check_retry(const request_row& row,
                                                       const try_result& result, time_point now)
{
    const bool at_peer = row.phase == request_phase::at_peer;
    const auto given = result.peer_reason.value_or(at_peer ? refusal_reason::peer_failed
                                                           : refusal_reason::target_failed);
    const bool harmless = certainly_not_run(result.outcome) || row.request.repeatable;
    if (!harmless || row.orphaned || !this->ready() || tries_of(row) + 1 >= most_tries) {
        return given;
    }
    if (at_peer && result.peer_reason) {
        const bool own_domain = row.peer && this->model->at(*row.peer).domain == this->domain();
        if (is_final(given) || (own_domain && !owner_has_moved(given))) {
            return given;
        }
    }
    if (now + this->capacity_of(row).service_time > row.request.deadline) {
        return refusal_reason::deadline;
    }
    if (!(at_peer && asked_the_wrong_host(result)) &&
        !this->retries.spend(row.request.service, now)) {
        return refusal_reason::retry_budget;
    }
    return std::nullopt;
}

void node::state::release(request_row& row, time_point now)
{
    (void)now;
    if (row.held.domain_part) {
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
    std::vector<request_id> lost;
    for (const auto& [id, row] : this->requests.all()) {
        if (row.request.forwarded_by == peer) {
            lost.push_back(id);
        }
    }
    for (const request_id id : lost) {
        out.push_back(cancel_try{id});
        try_result cancelled;
        cancelled.id = id;
        cancelled.outcome = try_outcome::cancelled;
        this->finish(cancelled, now, out);
    }
}

} // namespace bth::steering
