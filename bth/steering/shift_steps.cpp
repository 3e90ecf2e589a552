// How requests meet the shift cap: counted when this domain is about to run them, taken back when
// they go elsewhere instead.
#include "bth/steering/internal/node_state.h"

#include <algorithm>

namespace bth::steering {

namespace {

// A domain that refused a shift is asked again after this time at the latest.
constexpr duration longest_closed = std::chrono::seconds{1};

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
    if (verdict.decision == shift_decision::elsewhere) {
        row.only_domain = verdict.at;
        return std::nullopt;
    }
    this->shifts.admitted(query, verdict, now);
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

void node::state::note_shift_refusal(const request_row& row, const attempt_result& result,
                                     time_point now)
{
    if (!row.peer || row.orphaned || result.peer_reason != refusal_reason::shift_cap) {
        return;
    }
    const auto key = std::pair{row.request.service, this->model->at(*row.peer).domain};
    const duration closed = std::min(result.retry_after, longest_closed);
    this->shift_closed[key] = {row.level, now + closed};
}

bool node::state::skips_domain(const request_row& row, domain_id other, time_point now) const
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

void node::state::refresh_shift(time_point now, actions& out)
{
    for (std::size_t index = 0; index < this->shift_started.size(); ++index) {
        const auto service = service_id::from_index(index);
        const bool owns = this->owners.owns(service, now);
        if (owns && !this->shift_started.at(index)) {
            this->shifts.begin(service, now);
        }
        if (!owns && this->shift_started.at(index)) {
            this->shifts.end(service);
        }
        this->shift_started.at(index) = owns;
    }
    for (const addressed_claim& each : this->shifts.tick(now)) {
        this->send_to_domain(each.to, each.claim, out);
    }
}

} // namespace bth::steering
