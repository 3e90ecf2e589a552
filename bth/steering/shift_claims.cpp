// The claims by which a domain tells others what it has settled of their callers' traffic.
#include "bth/steering/internal/shift_claims.h"

#include "bth/steering/internal/assignment.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bth::steering {

using namespace internal;

void shift_limiter::receive(domain_id from, const shift_claim& claim, time_point now)
{
    service_row& row = this->row_at(claim.service, now);
    if (from == this->own) {
        row.inherited[claim.home] = {claim, now};
        return;
    }
    if (!this->is_own(claim.service, claim.home)) {
        return;
    }
    this->accrue_debts(row, now);
    debt_row& debt = row.debts[from];
    // Callers who came back by themselves before this claim could say so were shifts, too.
    const double come_back = owed_rate(claim, {}) - owed_rate(debt.last.claim, {});
    const double unseen_for = seconds(std::min(now - debt.last.at, claim_interval));
    if (come_back > 0.0 && debt.last.claim.settled.value() > 0.0 && row.owned) {
        const auto slot = static_cast<std::size_t>(row.current) % ring_size;
        row.moved.at(slot) += static_cast<std::uint32_t>(std::ceil(come_back * unseen_for));
    }
    debt.last = {claim, now};
}

std::vector<shift_slice> shift_limiter::history_of(const service_row& row, const home_row& home)
{
    std::vector<shift_slice> history(ring_size);
    for (std::size_t back = 0; back < ring_size; ++back) {
        const auto served = static_cast<std::uint32_t>(recent(row, home.served, back, 1));
        const auto kept = static_cast<std::uint32_t>(recent(row, home.kept, back, 1));
        history.at(back) = {served, kept};
    }
    return history;
}

void shift_limiter::collect_claims(service_id service, service_row& row, time_point now,
                                   std::vector<addressed_claim>& due) const
{
    advance(row, now);
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    for (auto& [home, counts] : row.homes) {
        if (this->is_own(service, home)) {
            continue;
        }
        const auto settled = static_cast<double>(settled_per_quarter(row, counts));
        if (settled > 0.0) {
            counts.claimed = now;
        }
        // Claims of nothing end the earlier ones; some may get lost.
        if (!counts.claimed || now - *counts.claimed > row.window) {
            continue;
        }
        const double direct =
            static_cast<double>(recent(row, counts.direct, 1, 1)) / seconds(row.slice);
        shift_claim claim{service, home, request_rate{settled / quarter}, request_rate{direct}, {}};
        const std::size_t at = assignment_index(*this->model, service, home);
        due.push_back({this->assigned.at(at), claim});
        claim.history = history_of(row, counts);
        due.push_back({this->own, std::move(claim)});
    }
}

std::vector<addressed_claim> shift_limiter::tick(time_point now)
{
    std::vector<addressed_claim> due;
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        service_row& row = this->services.at(index);
        if (!row.owned || now - row.claims_sent < claim_interval) {
            continue;
        }
        row.claims_sent = now;
        this->collect_claims(service_id::from_index(index), row, now, due);
    }
    return due;
}

} // namespace bth::steering
