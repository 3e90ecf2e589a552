// The life of a request at one entry host: the decision steps on arrival, its place, and what
// follows the end of a try.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// Whether the request certainly didn't run in a try that ended so.
bool certainly_not_run(try_outcome outcome)
{
    return outcome == try_outcome::not_run || outcome == try_outcome::connect_failed;
}

refuse refuse_arrival(request_id id, const refusal& why)
{
    return {id, why.reason, run_state::no, why.retry_after};
}

} // namespace

void node::state::arrive(const arrival& request, time_point now, actions& out)
{
    if (const auto why = this->check_ready(request)) {
        out.push_back(refuse_arrival(request.id, *why));
        return;
    }
    if (const auto why = this->check_available(request, now)) {
        out.push_back(refuse_arrival(request.id, *why));
        return;
    }
    const auto level = this->model->at(request.service).priority.at(request.caller_class.index());
    request_row& row = this->requests.add(request, level);
    if (const auto owner = this->owner_elsewhere(request, now)) {
        this->forward(row, *owner, now, out);
        return;
    }
    if (const auto why = this->check_origin(row, now)) {
        this->give_up(row, *why, run_state::no, out);
        return;
    }
    this->place(row, now, out);
}

std::optional<refusal> node::state::check_ready(const arrival& request) const
{
    if (!this->ready()) {
        return refusal{refusal_reason::not_configured};
    }
    if (this->stopping) {
        return refusal{refusal_reason::shutting_down};
    }
    if (request.service.index() >= this->model->services.size()) {
        return refusal{refusal_reason::unknown_service};
    }
    return std::nullopt;
}

// Drains and dependencies that can't serve.
std::optional<refusal> node::state::check_available(const arrival& request, time_point now) const
{
    (void)request;
    (void)now;
    return std::nullopt;
}

// The host of this domain that owns the service's targets, if that is another one. Only a request
// straight from its caller is forwarded so: that and is_foreign make loops impossible.
std::optional<host_id> node::state::owner_elsewhere(const arrival& request, time_point now) const
{
    (void)request;
    (void)now;
    return std::nullopt;
}

// A request from another failure domain draws on a grant; a caller from elsewhere counts against
// the shift cap.
std::optional<refusal> node::state::check_origin(request_row& row, time_point now)
{
    (void)row;
    (void)now;
    return std::nullopt;
}

// Takes a place in the service's part of this domain's capacity.
std::optional<refusal> node::state::check_domain_part(request_row& row, time_point now)
{
    (void)now;
    row.held.domain_part = true;
    return std::nullopt;
}

void node::state::place(request_row& row, time_point now, actions& out)
{
    if (this->place_at_target(row, now, out)) {
        return;
    }
    if (this->place_at_fallback(row, now, out)) {
        return;
    }
    this->give_up(row, {refusal_reason::no_target}, run_state::no, out);
}

bool node::state::place_at_target(request_row& row, time_point now, actions& out)
{
    const auto target = this->targets.choose(row.request.service, row.tried_targets, now);
    if (!target || this->check_domain_part(row, now)) {
        return false;
    }
    this->targets.begin(*target, now);
    row.phase = request_phase::at_target;
    row.target = target;
    row.try_began = now;
    out.push_back(send_to_target{row.request.id, *target, row.request.deadline});
    return true;
}

bool node::state::place_at_fallback(request_row& row, time_point now, actions& out)
{
    if (this->is_foreign(row.request) || row.request.hops >= most_hops) {
        return false;
    }
    const auto peer = this->choose_fallback(row, now);
    if (!peer) {
        return false;
    }
    this->forward(row, *peer, now, out);
    return true;
}

std::optional<host_id> node::state::choose_fallback(const request_row& row, time_point now)
{
    (void)now;
    for (const domain_id domain : this->model->at(this->domain()).fallbacks) {
        for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
            const auto host = host_id::from_index(index);
            if (this->model->at(host).domain == domain && !row.has_tried(host)) {
                return host;
            }
        }
    }
    return std::nullopt;
}

void node::state::forward(request_row& row, host_id peer, time_point now, actions& out)
{
    row.phase = request_phase::at_peer;
    row.peer = peer;
    row.try_began = now;
    const auto hops = static_cast<std::uint8_t>(row.request.hops + 1);
    out.push_back(forward_to_host{row.request.id, peer, row.request.deadline, hops, row.retried()});
}

bool node::state::is_foreign(const arrival& request) const
{
    return request.forwarded_by && this->model->at(*request.forwarded_by).domain != this->domain();
}

void node::state::release(request_row& row, time_point now)
{
    (void)now;
    row.held = {};
    row.target.reset();
    row.peer.reset();
}

void node::state::give_up(request_row& row, const refusal& why, run_state run, actions& out)
{
    const request_id id = row.request.id;
    out.push_back(refuse{id, why.reason, run, why.retry_after});
    this->requests.erase(id);
}

void node::state::finish(const try_result& result, time_point now, actions& out)
{
    request_row* row = this->requests.find(result.id);
    if (row == nullptr) {
        return;
    }
    const bool was_at_peer = row->phase == request_phase::at_peer;
    if (row->target) {
        this->targets.end(*row->target, result, now - row->try_began, now);
    }
    this->release(*row, now);
    const bool done =
        result.outcome == try_outcome::answered || result.outcome == try_outcome::cancelled;
    if (done || result.answer_started) {
        this->requests.erase(result.id);
        return;
    }
    const auto reason = result.peer_reason.value_or(was_at_peer ? refusal_reason::peer_failed
                                                                : refusal_reason::target_failed);
    const run_state run = certainly_not_run(result.outcome) ? run_state::no : run_state::unknown;
    this->give_up(*row, {reason, std::max(usual_retry_after, result.retry_after)}, run, out);
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
