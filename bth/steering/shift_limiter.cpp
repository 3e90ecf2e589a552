#include "bth/steering/shift_limiter.h"

#include "bth/steering/internal/assignment.h"
#include "bth/steering/internal/shift_claims.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace bth::steering {

using namespace internal;

namespace {

// The maximum number of tokens in a claim bucket, as the time in which they are refilled. This
// limits how many requests in a row belong to another domain.
constexpr duration max_burst = std::chrono::seconds{1};

// Returns the rows of `table` under the ids of `to`, without those whose domain was removed.
template <class Row>
std::map<domain_id, Row> remapped(const std::map<domain_id, Row>& table, const config::model& from,
                                  const config::model& to)
{
    std::map<domain_id, Row> result;
    for (const auto& [domain, row] : table) {
        if (const auto next = config::find_domain(to, from.at(domain).name)) {
            result.emplace(*next, row);
        }
    }
    return result;
}

} // namespace

void shift_limiter::configure(std::shared_ptr<const config::model> next, domain_id own_domain,
                              time_point now)
{
    std::vector<service_row> rows(next->services.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        service_row& row = rows.at(index);
        const config::service& settings = next->services.at(index);
        const auto before = this->model == nullptr
                                ? std::nullopt
                                : config::find_service(*this->model, settings.name);
        if (!before) {
            reset(row, settings);
            continue;
        }
        row = this->services.at(before->index());
        row.homes = remapped(row.homes, *this->model, *next);
        row.claim_buckets = remapped(row.claim_buckets, *this->model, *next);
        row.own_claims = remapped(row.own_claims, *this->model, *next);
        row.claims_sent = {};
        if (row.window != settings.shift.window) {
            const bool owned = row.owned;
            reset(row, settings);
            row.owned = owned;
            row.blocked_until = now + row.window;
        }
    }
    this->services = std::move(rows);
    this->assigned = configured_assignment(*next);
    this->model = std::move(next);
    this->own = own_domain;
}

void shift_limiter::reset(service_row& row, const config::service& settings)
{
    row = {};
    row.window = settings.shift.window;
    row.slice = row.window / slices_per_window;
    const auto highest = std::max_element(settings.priority.begin(), settings.priority.end());
    const std::size_t levels = highest == settings.priority.end() ? 1 : highest->index() + 1;
    row.refused_by_priority.resize(levels);
}

void shift_limiter::start_ownership(service_id service, time_point now)
{
    service_row& row = this->services.at(service.index());
    auto claim_buckets = std::move(row.claim_buckets);
    auto own_claims = std::move(row.own_claims);
    reset(row, this->model->at(service));
    row.claim_buckets = std::move(claim_buckets);
    row.own_claims = std::move(own_claims);
    row.owned = true;
    row.refilled_at = now;
    row.blocked_until = now + row.window;
    advance(row, now);
    for (const auto& [home, latest] : row.own_claims) {
        restore_history(row, home, latest);
    }
}

// Restores the counts from the history in the latest claim of the former owner, whose slices may
// start up to one slice earlier than here. So a slice gets the smaller number of requests of the
// two slices that may correspond to it. The former owner is assumed to have used up its settled
// traffic. The slice of the claim and later ones count no requests as served.
void shift_limiter::restore_history(service_row& row, domain_id home, const received_claim& latest)
{
    const std::int64_t newest = latest.received_at.time_since_epoch() / row.slice;
    const auto& history = latest.claim.history;
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    const auto allowed =
        static_cast<std::uint32_t>(std::lround(latest.claim.settled.value() * quarter));
    std::uint32_t kept = 0;
    home_counts& counts = row.homes[home];
    for (std::size_t age = 0; age < std::min(history.size(), ring_size); ++age) {
        const std::int64_t each = newest - static_cast<std::int64_t>(age);
        if (each < 0 || row.current - each >= static_cast<std::int64_t>(ring_size)) {
            break;
        }
        const auto slot = static_cast<std::size_t>(each) % ring_size;
        const shift_slice& reported = history.at(age);
        counts.served.at(slot) =
            age == 0 ? 0 : std::min(reported.served, history.at(age - 1).served);
        counts.kept.at(slot) = reported.not_shifted;
        kept += age < slices_per_quarter ? reported.not_shifted : 0;
    }
    if (row.current - newest < static_cast<std::int64_t>(ring_size) && allowed > kept) {
        counts.kept.at(static_cast<std::size_t>(newest) % ring_size) += allowed - kept;
    }
}

void shift_limiter::end_ownership(service_id service)
{
    this->services.at(service.index()).owned = false;
}

shift_limiter::service_row& shift_limiter::row_at(service_id service, time_point now)
{
    service_row& row = this->services.at(service.index());
    advance(row, now);
    return row;
}

// Clears the slices that start between the last call and `now`.
void shift_limiter::advance(service_row& row, time_point now)
{
    const std::int64_t next = now.time_since_epoch() / row.slice;
    const std::int64_t first =
        std::max(row.current + 1, next - static_cast<std::int64_t>(ring_size) + 1);
    for (std::int64_t each = first; each <= next; ++each) {
        const auto slot = static_cast<std::size_t>(each) % ring_size;
        row.shifted.at(slot) = 0;
        for (ring& counts : row.refused_by_priority) {
            counts.at(slot) = 0;
        }
        for (auto& [home, counts] : row.homes) {
            counts.served.at(slot) = 0;
            counts.kept.at(slot) = 0;
            counts.direct.at(slot) = 0;
        }
    }
    row.current = std::max(row.current, next);
}

// Returns the sum of `count` slices, the latest of them `first` slices before the current one.
std::uint64_t shift_limiter::sum_slices(const service_row& row, const ring& counts,
                                        std::size_t first, std::size_t count)
{
    std::uint64_t requests = 0;
    const std::size_t newest = static_cast<std::size_t>(row.current) + ring_size - first;
    for (std::size_t age = 0; age < count; ++age) {
        requests += counts.at((newest - age) % ring_size);
    }
    return requests;
}

std::uint64_t shift_limiter::settled_per_quarter(const service_row& row, const home_counts& home)
{
    std::uint64_t minimum = sum_slices(row, home.served, 1, slices_per_quarter);
    for (std::size_t quarter = 1; quarter < settling_quarters; ++quarter) {
        const std::size_t first = 1 + quarter * slices_per_quarter;
        minimum = std::min(minimum, sum_slices(row, home.served, first, slices_per_quarter));
    }
    return minimum;
}

bool shift_limiter::is_settled(const service_row& row, const home_counts& home)
{
    const std::uint64_t kept = sum_slices(row, home.kept, 0, slices_per_quarter);
    return kept < settled_per_quarter(row, home);
}

bool shift_limiter::is_assigned_here(service_id service, domain_id home) const
{
    const std::size_t assignment_at = assignment_index(*this->model, service, home);
    return this->assigned.at(assignment_at) == this->own;
}

void shift_limiter::refill_claim_buckets(service_row& row, time_point now) const
{
    const double elapsed_seconds = seconds(now - row.refilled_at);
    row.refilled_at = now;
    std::erase_if(row.claim_buckets, [&](const auto& each) {
        return now - each.second.last.received_at > row.window;
    });
    for (auto& [domain, bucket] : row.claim_buckets) {
        const double rate = forward_rate(bucket.last.claim, now - bucket.last.received_at);
        const double max_tokens = std::max(1.0, rate * seconds(max_burst));
        bucket.tokens = std::min(max_tokens, bucket.tokens + rate * elapsed_seconds);
    }
}

std::optional<domain_id> shift_limiter::domain_with_token(const service_row& row)
{
    for (const auto& [domain, bucket] : row.claim_buckets) {
        if (bucket.tokens >= 1.0) {
            return domain;
        }
    }
    return std::nullopt;
}

std::uint64_t shift_limiter::window_limit(const service_row& row, service_id service,
                                          time_point now) const
{
    double traffic = 0.0;
    for (const auto& [home, counts] : row.homes) {
        if (this->is_assigned_here(service, home)) {
            traffic += static_cast<double>(sum_slices(row, counts.served, 0, slices_per_window));
        }
    }
    for (const auto& [domain, bucket] : row.claim_buckets) {
        // The claim may lag up to two slices behind callers who moved back directly, so these
        // slices are left out.
        if (now - bucket.last.received_at <= direct_rate_max_age) {
            traffic += bucket.last.claim.settled.value() * seconds(row.window - 2 * row.slice);
        }
    }
    return static_cast<std::uint64_t>(this->model->at(service).shift.part.value() * traffic);
}

std::optional<duration> shift_limiter::wait_for_budget(const service_row& row,
                                                       const shift_query& query,
                                                       time_point now) const
{
    if (now < row.blocked_until) {
        return row.blocked_until - now;
    }
    const duration next_slice = row.slice * (row.current + 1) - now.time_since_epoch();
    const std::uint64_t limit = this->window_limit(row, query.service, now);
    const std::uint64_t used = sum_slices(row, row.shifted, 0, covering_slices);
    if (used >= limit) {
        std::size_t oldest = covering_slices - 1;
        while (oldest > 0 && sum_slices(row, row.shifted, oldest, 1) == 0) {
            --oldest;
        }
        return next_slice + row.slice * static_cast<std::int64_t>(covering_slices - 1 - oldest);
    }
    // Shifts are spread over the slices of the window, so that shifted traffic can become settled
    // and refused callers know when to retry.
    const std::uint64_t slice_limit = (limit + covering_slices - 1) / covering_slices;
    const std::uint64_t used_in_slice = sum_slices(row, row.shifted, 0, 1);
    if (used_in_slice >= slice_limit) {
        return next_slice;
    }
    std::uint64_t reserved_for_higher = 0;
    for (std::size_t level = 0; level < query.priority.index(); ++level) {
        reserved_for_higher +=
            sum_slices(row, row.refused_by_priority.at(level), 0, slices_per_quarter);
    }
    if (used_in_slice + reserved_for_higher >= slice_limit) {
        return next_slice + row.slice * static_cast<std::int64_t>(slices_per_quarter);
    }
    return std::nullopt;
}

shift_verdict shift_limiter::decide(const shift_query& query, time_point now)
{
    service_row& row = this->row_at(query.service, now);
    if (!row.owned) {
        this->start_ownership(query.service, now);
    }
    if (this->model->at(query.service).shift.part.value() >= 1.0) {
        return {shift_decision::not_a_shift, std::nullopt, {}};
    }
    std::optional<domain_id> settled_at;
    if (this->is_assigned_here(query.service, query.home)) {
        this->refill_claim_buckets(row, now);
        settled_at = domain_with_token(row);
        if (!settled_at) {
            return {shift_decision::not_a_shift, std::nullopt, {}};
        }
    }
    else if (is_settled(row, row.homes[query.home])) {
        return {shift_decision::not_a_shift, std::nullopt, {}};
    }
    const auto wait = this->wait_for_budget(row, query, now);
    if (!wait) {
        return {shift_decision::allowed_shift, settled_at, {}};
    }
    if (settled_at) {
        row.claim_buckets.at(*settled_at).tokens -= 1.0;
        return {shift_decision::settled_elsewhere, settled_at, *wait};
    }
    const auto slot = static_cast<std::size_t>(row.current) % ring_size;
    ++row.refused_by_priority.at(query.priority.index()).at(slot);
    return {shift_decision::refused, std::nullopt, *wait};
}

void shift_limiter::record_admitted(const shift_query& query, const shift_verdict& verdict,
                                    time_point now)
{
    service_row& row = this->row_at(query.service, now);
    const auto slot = static_cast<std::size_t>(row.current) % ring_size;
    home_counts& home = row.homes[query.home];
    ++home.served.at(slot);
    if (query.direct) {
        ++home.direct.at(slot);
    }
    if (verdict.decision != shift_decision::allowed_shift) {
        ++home.kept.at(slot);
        return;
    }
    ++row.shifted.at(slot);
    if (verdict.settled_domain) {
        const auto bucket = row.claim_buckets.find(*verdict.settled_domain);
        if (bucket != row.claim_buckets.end()) {
            bucket->second.tokens -= 1.0;
        }
    }
}

void shift_limiter::withdraw(const shift_query& query, const shift_verdict& verdict,
                             time_point counted, time_point now)
{
    service_row& row = this->row_at(query.service, now);
    const std::int64_t slice = counted.time_since_epoch() / row.slice;
    const auto home = row.homes.find(query.home);
    if (home == row.homes.end() || row.current - slice >= static_cast<std::int64_t>(ring_size)) {
        return;
    }
    const auto slot = static_cast<std::size_t>(slice) % ring_size;
    const auto decrement = [slot](ring& counts) {
        counts.at(slot) -= counts.at(slot) > 0 ? 1U : 0U;
    };
    decrement(home->second.served);
    if (query.direct) {
        decrement(home->second.direct);
    }
    const bool moved = verdict.decision == shift_decision::allowed_shift;
    decrement(moved ? row.shifted : home->second.kept);
}

shift_cap_usage shift_limiter::cap_usage(service_id service, time_point now)
{
    const service_row& row = this->row_at(service, now);
    return {sum_slices(row, row.shifted, 0, covering_slices),
            this->window_limit(row, service, now)};
}

request_rate shift_limiter::settled_rate(service_id service, domain_id home, time_point now)
{
    service_row& row = this->row_at(service, now);
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    return request_rate{static_cast<double>(settled_per_quarter(row, row.homes[home])) / quarter};
}

} // namespace bth::steering
