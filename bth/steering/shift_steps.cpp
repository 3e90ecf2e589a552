// Applies the shift cap to requests: counts them when this domain is about to serve them, and
// withdraws the count when they are forwarded or refused instead.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// The maximum time for which a domain that refused a shift gets no further shifts of the same or a
// lower priority.
constexpr duration max_closed_duration = std::chrono::seconds{1};

} // namespace

std::optional<refusal> node::state::check_shift(request_row& row, time_point now)
{
    const arrival& request = row.request;
    if (!this->owners.owns(request.service, now)) {
        return std::nullopt;
    }
    const bool direct = !this->is_foreign(request);
    const shift_query query{request.service, request.home, row.level, direct};
    const shift_verdict verdict = this->shifts.decide(query, now);
    if (verdict.decision == shift_decision::refused) {
        return refusal{refusal_reason::shift_cap,
                       std::max<duration>(default_retry_after, verdict.retry_after)};
    }
    if (verdict.decision == shift_decision::settled_elsewhere) {
        row.only_domain = verdict.settled_domain;
        return std::nullopt;
    }
    this->shifts.record_admitted(query, verdict, now);
    row.shift = shift_reservation{query, verdict, now};
    return std::nullopt;
}

void node::state::withdraw_shift(request_row& row, time_point now)
{
    if (row.shift && !row.orphaned) {
        this->shifts.withdraw(row.shift->query, row.shift->verdict, row.shift->counted_at, now);
    }
    row.shift.reset();
}

void node::state::record_shift_refusal(const request_row& row, const attempt_result& result,
                                       time_point now)
{
    if (!row.peer || row.orphaned || result.peer_reason != refusal_reason::shift_cap) {
        return;
    }
    const auto key = std::pair{row.request.service, this->model->at(*row.peer).domain};
    const duration closed_duration = std::min(result.retry_after, max_closed_duration);
    this->shift_closed[key] = {row.level, now + closed_duration};
}

bool node::state::must_skip_domain(const request_row& row, domain_id other, time_point now) const
{
    if (row.only_domain && *row.only_domain != other) {
        return true;
    }
    if (this->availability_state.drained(other)) {
        return true;
    }
    const auto closed = this->shift_closed.find({row.request.service, other});
    return closed != this->shift_closed.end() && now < closed->second.second &&
           row.level >= closed->second.first;
}

void node::state::update_shift_limiter(time_point now, actions& out)
{
    for (std::size_t index = 0; index < this->shift_started.size(); ++index) {
        const auto service = service_id::from_index(index);
        const bool owns = this->owners.owns(service, now);
        if (owns && !this->shift_started.at(index)) {
            this->shifts.start_ownership(service, now);
        }
        if (!owns && this->shift_started.at(index)) {
            this->shifts.end_ownership(service);
        }
        this->shift_started.at(index) = owns;
    }
    for (const addressed_claim& each : this->shifts.tick(now)) {
        this->send_to_domain(each.to, each.claim, out);
    }
}

} // namespace bth::steering
