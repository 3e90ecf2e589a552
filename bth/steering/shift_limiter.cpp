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

// The most requests that a home owes at once to another domain, as time at the claimed rate.
constexpr duration longest_debt = std::chrono::seconds{1};

// The rows of `table` under the ids of `to`; those whose domain is gone are left out.
template <class Row>
std::map<domain_id, Row> renamed(const std::map<domain_id, Row>& table, const config::model& from,
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
        row.homes = renamed(row.homes, *this->model, *next);
        row.debts = renamed(row.debts, *this->model, *next);
        row.inherited = renamed(row.inherited, *this->model, *next);
        row.claims_sent = {};
        if (row.window != settings.shift.window) {
            const bool owned = row.owned;
            reset(row, settings);
            row.owned = owned;
            row.blocked_until = now + row.window;
        }
    }
    this->services = std::move(rows);
    this->assigned = assignment_of(*next);
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

void shift_limiter::begin(service_id service, time_point now)
{
    service_row& row = this->services.at(service.index());
    auto debts = std::move(row.debts);
    auto inherited = std::move(row.inherited);
    reset(row, this->model->at(service));
    row.debts = std::move(debts);
    row.inherited = std::move(inherited);
    row.owned = true;
    row.owed_at = now;
    row.blocked_until = now + row.window;
    advance(row, now);
    for (const auto& [home, heard] : row.inherited) {
        inherit(row, home, heard);
    }
}

// Takes over the slices that the predecessor told of. Its slices may begin up to one slice earlier
// than here, so a slice counts as served what both readings allow; and the predecessor is taken to
// have used up what it could keep. Since its last word, nothing was served.
void shift_limiter::inherit(service_row& row, domain_id home, const claim_row& heard)
{
    const std::int64_t newest = heard.at.time_since_epoch() / row.slice;
    const auto& history = heard.claim.history;
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    const auto allowed =
        static_cast<std::uint32_t>(std::lround(heard.claim.settled.value() * quarter));
    std::uint32_t kept = 0;
    home_row& counts = row.homes[home];
    for (std::size_t back = 0; back < std::min(history.size(), ring_size); ++back) {
        const std::int64_t each = newest - static_cast<std::int64_t>(back);
        if (each < 0 || row.current - each >= static_cast<std::int64_t>(ring_size)) {
            break;
        }
        const auto slot = static_cast<std::size_t>(each) % ring_size;
        const shift_slice& told = history.at(back);
        counts.served.at(slot) = back == 0 ? 0 : std::min(told.served, history.at(back - 1).served);
        counts.kept.at(slot) = told.not_shifted;
        kept += back < slices_per_quarter ? told.not_shifted : 0;
    }
    if (row.current - newest < static_cast<std::int64_t>(ring_size) && allowed > kept) {
        counts.kept.at(static_cast<std::size_t>(newest) % ring_size) += allowed - kept;
    }
}

void shift_limiter::end(service_id service)
{
    this->services.at(service.index()).owned = false;
}

shift_limiter::service_row& shift_limiter::row_at(service_id service, time_point now)
{
    service_row& row = this->services.at(service.index());
    advance(row, now);
    return row;
}

// Empties the slices that begin between the last call and `now`.
void shift_limiter::advance(service_row& row, time_point now)
{
    const std::int64_t next = now.time_since_epoch() / row.slice;
    const std::int64_t first =
        std::max(row.current + 1, next - static_cast<std::int64_t>(ring_size) + 1);
    for (std::int64_t each = first; each <= next; ++each) {
        const auto at = static_cast<std::size_t>(each) % ring_size;
        row.moved.at(at) = 0;
        for (ring& counts : row.refused_by_priority) {
            counts.at(at) = 0;
        }
        for (auto& [home, counts] : row.homes) {
            counts.served.at(at) = 0;
            counts.kept.at(at) = 0;
            counts.direct.at(at) = 0;
        }
    }
    row.current = std::max(row.current, next);
}

// The sum of `count` slices, the latest of them `first` slices before the current one.
std::uint64_t shift_limiter::recent(const service_row& row, const ring& counts, std::size_t first,
                                    std::size_t count)
{
    std::uint64_t sum = 0;
    const std::size_t newest = static_cast<std::size_t>(row.current) + ring_size - first;
    for (std::size_t back = 0; back < count; ++back) {
        sum += counts.at((newest - back) % ring_size);
    }
    return sum;
}

std::uint64_t shift_limiter::settled_per_quarter(const service_row& row, const home_row& home)
{
    std::uint64_t least = recent(row, home.served, 1, slices_per_quarter);
    for (std::size_t quarter = 1; quarter < settling_quarters; ++quarter) {
        const std::size_t first = 1 + quarter * slices_per_quarter;
        least = std::min(least, recent(row, home.served, first, slices_per_quarter));
    }
    return least;
}

bool shift_limiter::is_settled(const service_row& row, const home_row& home)
{
    const std::uint64_t kept = recent(row, home.kept, 0, slices_per_quarter);
    return kept < settled_per_quarter(row, home);
}

bool shift_limiter::is_own(service_id service, domain_id home) const
{
    const std::size_t at = assignment_index(*this->model, service, home);
    return this->assigned.at(at) == this->own;
}

void shift_limiter::accrue_debts(service_row& row, time_point now) const
{
    const double passed = seconds(now - row.owed_at);
    row.owed_at = now;
    std::erase_if(row.debts,
                  [&](const auto& each) { return now - each.second.last.at > row.window; });
    for (auto& [domain, debt] : row.debts) {
        const double rate = owed_rate(debt.last.claim, now - debt.last.at);
        const double most = std::max(1.0, rate * seconds(longest_debt));
        debt.owed = std::min(most, debt.owed + rate * passed);
    }
}

std::optional<domain_id> shift_limiter::owed_to(const service_row& row)
{
    for (const auto& [domain, debt] : row.debts) {
        if (debt.owed >= 1.0) {
            return domain;
        }
    }
    return std::nullopt;
}

std::uint64_t shift_limiter::limit_of(const service_row& row, service_id service,
                                      time_point now) const
{
    double traffic = 0.0;
    for (const auto& [home, counts] : row.homes) {
        if (this->is_own(service, home)) {
            traffic += static_cast<double>(recent(row, counts.served, 0, slices_per_window));
        }
    }
    for (const auto& [domain, debt] : row.debts) {
        // Less two slices, in which the claim may lag behind callers who came back.
        if (now - debt.last.at <= claim_fresh_for) {
            traffic += debt.last.claim.settled.value() * seconds(row.window - 2 * row.slice);
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
    const std::uint64_t limit = this->limit_of(row, query.service, now);
    const std::uint64_t used = recent(row, row.moved, 0, covering_slices);
    if (used >= limit) {
        std::size_t oldest = covering_slices - 1;
        while (oldest > 0 && recent(row, row.moved, oldest, 1) == 0) {
            --oldest;
        }
        return next_slice + row.slice * static_cast<std::int64_t>(covering_slices - 1 - oldest);
    }
    // Paced over the window, so that what moves can settle and the rest knows when to come back.
    const std::uint64_t pace = (limit + covering_slices - 1) / covering_slices;
    const std::uint64_t now_used = recent(row, row.moved, 0, 1);
    if (now_used >= pace) {
        return next_slice;
    }
    std::uint64_t kept_for_higher = 0;
    for (std::size_t level = 0; level < query.priority.index(); ++level) {
        kept_for_higher += recent(row, row.refused_by_priority.at(level), 0, slices_per_quarter);
    }
    if (now_used + kept_for_higher >= pace) {
        return next_slice + row.slice * static_cast<std::int64_t>(slices_per_quarter);
    }
    return std::nullopt;
}

shift_verdict shift_limiter::decide(const shift_query& query, time_point now)
{
    service_row& row = this->row_at(query.service, now);
    if (!row.owned) {
        this->begin(query.service, now);
    }
    if (this->model->at(query.service).shift.part.value() >= 1.0) {
        return {shift_decision::kept, std::nullopt, {}};
    }
    std::optional<domain_id> settled_at;
    if (this->is_own(query.service, query.home)) {
        this->accrue_debts(row, now);
        settled_at = owed_to(row);
        if (!settled_at) {
            return {shift_decision::kept, std::nullopt, {}};
        }
    }
    else if (is_settled(row, row.homes[query.home])) {
        return {shift_decision::kept, std::nullopt, {}};
    }
    const auto wait = this->wait_for_budget(row, query, now);
    if (!wait) {
        return {shift_decision::moved, settled_at, {}};
    }
    if (settled_at) {
        row.debts.at(*settled_at).owed -= 1.0;
        return {shift_decision::elsewhere, settled_at, *wait};
    }
    const auto slot = static_cast<std::size_t>(row.current) % ring_size;
    ++row.refused_by_priority.at(query.priority.index()).at(slot);
    return {shift_decision::refused, std::nullopt, *wait};
}

void shift_limiter::admitted(const shift_query& query, const shift_verdict& verdict, time_point now)
{
    service_row& row = this->row_at(query.service, now);
    const auto slot = static_cast<std::size_t>(row.current) % ring_size;
    home_row& home = row.homes[query.home];
    ++home.served.at(slot);
    if (query.direct) {
        ++home.direct.at(slot);
    }
    if (verdict.decision != shift_decision::moved) {
        ++home.kept.at(slot);
        return;
    }
    ++row.moved.at(slot);
    if (verdict.at) {
        const auto debt = row.debts.find(*verdict.at);
        if (debt != row.debts.end()) {
            debt->second.owed -= 1.0;
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
    const auto take_one = [slot](ring& counts) {
        counts.at(slot) -= counts.at(slot) > 0 ? 1U : 0U;
    };
    take_one(home->second.served);
    if (query.direct) {
        take_one(home->second.direct);
    }
    const bool moved = verdict.decision == shift_decision::moved;
    take_one(moved ? row.moved : home->second.kept);
}

shift_account shift_limiter::account(service_id service, time_point now)
{
    const service_row& row = this->row_at(service, now);
    return {recent(row, row.moved, 0, covering_slices), this->limit_of(row, service, now)};
}

request_rate shift_limiter::settled(service_id service, domain_id home, time_point now)
{
    service_row& row = this->row_at(service, now);
    const double quarter = seconds(row.slice) * static_cast<double>(slices_per_quarter);
    return request_rate{static_cast<double>(settled_per_quarter(row, row.homes[home])) / quarter};
}

} // namespace bth::steering
