// The decision steps on the arrival of a request.
#include "bth/steering/internal/node_state.h"

namespace bth::steering {

namespace {

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
    if (this->forward_to_owner(row, now, out)) {
        return;
    }
    if (!this->is_foreign(request)) {
        this->offered_load.count(request.service, level);
    }
    if (const auto why = this->check_origin(row, now)) {
        this->give_up(row, *why, out);
        return;
    }
    this->place(row, now, out);
    // Tokens may have been added since the queue was last served, and a slower target may be
    // worthwhile once a request is queued.
    this->serve_queue(request.service, now, out);
}

std::optional<refusal> node::state::check_ready(const arrival& request) const
{
    if (!this->ready()) {
        return refusal{refusal_reason::not_configured};
    }
    if (request.service.index() >= this->model->services.size()) {
        return refusal{refusal_reason::unknown_service};
    }
    if (request.caller_class.index() >= this->model->classes.size() ||
        request.home.index() >= this->model->domains.size() || request.hops > max_hops) {
        return refusal{refusal_reason::bad_request};
    }
    return std::nullopt;
}

std::optional<refusal> node::state::check_available(const arrival& request, time_point now) const
{
    (void)request;
    if (const auto why = this->refuse_all_reason(now)) {
        return refusal{*why};
    }
    return std::nullopt;
}

// Only requests that came directly from their callers are forwarded to the owner, and only requests
// of this domain are forwarded to a fallback domain, so forwarding loops are impossible.
bool node::state::forward_to_owner(request_row& row, time_point now, actions& out)
{
    const auto owner = row.request.hops == 0 ? this->other_owner(row.request, now) : std::nullopt;
    if (!owner || row.has_tried(*owner)) {
        return false;
    }
    this->forward(row, *owner, now, out);
    return true;
}

bool node::state::is_foreign(const arrival& request) const
{
    return request.forwarded_by && this->model->at(*request.forwarded_by).domain != this->domain();
}

} // namespace bth::steering
