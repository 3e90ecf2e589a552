// Sending and receiving of claims, by which a domain announces how much traffic of another domain's
// callers is settled in it.
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
        row.own_claims[claim.home] = {claim, now};
        return;
    }
    if (!this->is_assigned_here(claim.service, claim.home)) {
        return;
    }
    this->refill_claim_buckets(row, now);
    claim_bucket& bucket = row.claim_buckets[from];
    // Callers who moved back to this domain directly were shifts, too, before this claim could
    // announce it. Their number is estimated from the increase of the forward rate.
    const double rate_increase = forward_rate(claim, {}) - forward_rate(bucket.last.claim, {});
    const double unannounced_seconds =
        seconds(std::min(now - bucket.last.received_at, claim_interval));
    if (rate_increase > 0.0 && bucket.last.claim.settled.value() > 0.0 && row.owned) {
        const auto slot = static_cast<std::size_t>(row.current) % ring_size;
        row.shifted.at(slot) +=
            static_cast<std::uint32_t>(std::ceil(rate_increase * unannounced_seconds));
    }
    bucket.last = {claim, now};
}

std::vector<shift_slice> shift_limiter::history_of(const service_row& row, const home_counts& home)
{
    std::vector<shift_slice> history(ring_size);
    for (std::size_t age = 0; age < ring_size; ++age) {
        const auto served = static_cast<std::uint32_t>(sum_slices(row, home.served, age, 1));
        const auto kept = static_cast<std::uint32_t>(sum_slices(row, home.kept, age, 1));
        history.at(age) = {served, kept};
    }
    return history;
}

void shift_limiter::collect_claims(service_id service, service_row& row, time_point now,
                                   std::vector<addressed_claim>& due) const
{
    advance(row, now);
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    for (auto& [home, counts] : row.homes) {
        if (this->is_assigned_here(service, home)) {
            continue;
        }
        const auto settled_requests = static_cast<double>(settled_per_quarter(row, counts));
        if (settled_requests > 0.0) {
            counts.last_nonzero_claim = now;
        }
        // Claims of zero end the earlier claims. They are repeated for one window, as some may be
        // lost.
        if (!counts.last_nonzero_claim || now - *counts.last_nonzero_claim > row.window) {
            continue;
        }
        const double direct =
            static_cast<double>(sum_slices(row, counts.direct, 1, 1)) / seconds(row.slice);
        shift_claim claim{
            service, home, request_rate{settled_requests / quarter}, request_rate{direct}, {}};
        const std::size_t assignment_at = assignment_index(*this->model, service, home);
        due.push_back({this->assigned.at(assignment_at), claim});
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
