#include "bth/steering/target_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bth::steering {

using internal::target_health;
using internal::target_row;

namespace {

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

// A target is slow if an attempt takes more than this many times as long as at the fastest target.
constexpr int slow_factor = 2;

bool list_contains(const std::vector<target_id>* list, target_id target)
{
    return list != nullptr && std::find(list->begin(), list->end(), target) != list->end();
}

// Returns whether the target answered without shedding the request.
bool succeeded(const attempt_result& result)
{
    return result.outcome == attempt_outcome::answered && !result.shed;
}

// Returns whether the result tells nothing about the target.
bool is_inconclusive(const attempt_result& result)
{
    return result.outcome == attempt_outcome::cancelled;
}

} // namespace

void target_table::apply(const config::model& model, domain_id domain, const model_map* change,
                         time_point now)
{
    const std::vector<target_row> previous = std::exchange(this->rows, {});
    this->by_service.assign(model.services.size(), {});
    this->by_target.assign(model.targets.size(), no_row);
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        const config::target& target = model.targets.at(index);
        if (target.domain == domain) {
            this->by_target.at(index) = this->rows.size();
            this->by_service.at(target.service.index()).rows.push_back(this->rows.size());
            this->rows.emplace_back(target_id::from_index(index), target,
                                    model.at(target.service).service_time);
        }
    }
    for (const target_row& old : previous) {
        const auto id = change == nullptr ? std::nullopt : change->find(old.id);
        target_row* kept = id ? this->find(*id) : nullptr;
        if (kept != nullptr) {
            target_row merged = old;
            merged.id = kept->id;
            merged.service = kept->service;
            merged.slots = kept->slots;
            merged.connections = kept->connections;
            merged.usual_time = kept->usual_time;
            merged.in_flight = 0;
            merged.carried_over = 0;
            *kept = merged;
        }
    }
    this->tick(now);
}

std::optional<target_id> target_table::choose(const target_query& query) const
{
    const service_rows& group = this->by_service.at(query.service.index());
    const duration max_expected_duration = group.fastest_time * slow_factor + query.queue_wait;
    const bool may_choose_unreliable = query.may_probe || !group.has_reliable;
    const target_row* best = nullptr;
    duration best_score{};
    for (const std::size_t index : group.rows) {
        const target_row& row = this->rows.at(index);
        if (row.unreliable && !may_choose_unreliable) {
            continue;
        }
        if (!row.has_capacity() || list_contains(query.avoid, row.id)) {
            continue;
        }
        if (row.health == target_health::probing) {
            if (query.may_probe || row.any_request_may_probe) {
                return row.id;
            }
            continue;
        }
        const duration score = row.score();
        if (row.expected_duration <= max_expected_duration &&
            (best == nullptr || score < best_score)) {
            best = &row;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

void target_table::restore_attempt(target_id target, time_point now)
{
    if (target_row* row = this->find(target)) {
        row->begin_attempt(now);
        row->carried_over = row->in_flight;
    }
}

void target_table::begin_attempt(target_id target, time_point now)
{
    if (target_row* row = this->find(target)) {
        row->begin_attempt(now);
    }
}

void target_table::end_attempt(target_id target, const attempt_result& result, duration took,
                               time_point now)
{
    target_row* row = this->find(target);
    if (row == nullptr) {
        return;
    }
    if (is_inconclusive(result)) {
        --row->in_flight;
    }
    else if (succeeded(result)) {
        row->end_good(took, now);
    }
    else {
        row->end_bad(result, now);
        this->eject_if_unhealthy(*row, now);
    }
    this->refresh(*row, now);
}

void target_table::eject_if_unhealthy(target_row& row, time_point now)
{
    const bool in_service = row.health == target_health::in_service;
    if (in_service && row.is_unhealthy() && this->may_eject(this->group_of(row))) {
        row.eject(now);
    }
}

// Returns whether another target of the service may be ejected: ejected, probing and closed targets
// must not exceed half of its targets, however unhealthy the others look.
bool target_table::may_eject(const service_rows& group) const
{
    const auto out = std::count_if(group.rows.begin(), group.rows.end(), [&](std::size_t index) {
        const target_row& row = this->rows.at(index);
        return row.closed || row.health != target_health::in_service;
    });
    return (static_cast<std::size_t>(out) + 1) * 2 <= group.rows.size();
}

void target_table::set_former_owner_attempts(target_id target, std::uint32_t count)
{
    if (target_row* row = this->find(target)) {
        row->former_owner_attempts = count;
    }
}

void target_table::report(const load_report& report, time_point now)
{
    if (target_row* row = this->find(report.target)) {
        row->record_report(report, now);
        this->refresh(*row, now);
    }
}

void target_table::set_closed(target_id target, bool closed, time_point now)
{
    target_row* row = this->find(target);
    if (row == nullptr || row->closed == closed) {
        return;
    }
    row->closed = closed;
    if (!closed) {
        row->start_cold();
    }
    this->refresh(*row, now);
}

void target_table::tick(time_point now)
{
    for (target_row& row : this->rows) {
        row.refresh(now);
    }
    for (service_rows& group : this->by_service) {
        this->refresh_fastest(group);
    }
}

void target_table::refresh(target_row& row, time_point now)
{
    row.refresh(now);
    this->refresh_fastest(this->group_of(row));
}

void target_table::refresh_fastest(service_rows& group) const
{
    group.fastest_time = duration::max() / (slow_factor + 1);
    group.has_reliable = false;
    for (const std::size_t index : group.rows) {
        const target_row& row = this->rows.at(index);
        if (row.limit > 0 && row.health == target_health::in_service) {
            group.fastest_time = std::min(group.fastest_time, row.mean_time);
            group.has_reliable = group.has_reliable || !row.unreliable;
        }
    }
}

service_capacity target_table::capacity(service_id service) const
{
    service_capacity sum;
    duration weighted{};
    for (const std::size_t index : this->by_service.at(service.index()).rows) {
        const target_row& row = this->rows.at(index);
        sum.slots += row.limit;
        weighted += row.mean_time * row.limit;
    }
    sum.service_time = sum.slots == 0 ? duration{} : weighted / sum.slots;
    return sum;
}

bool target_table::can_serve(service_id service, time_point now) const
{
    const auto& group = this->by_service.at(service.index()).rows;
    return std::any_of(group.begin(), group.end(), [&](std::size_t index) {
        const target_row& row = this->rows.at(index);
        return row.limit > 0 && !row.is_failing(now);
    });
}

bool target_table::can_serve(service_id service, const std::vector<target_id>& avoid) const
{
    const auto& group = this->by_service.at(service.index()).rows;
    return std::any_of(group.begin(), group.end(), [&](std::size_t index) {
        const target_row& row = this->rows.at(index);
        return row.limit > 0 && !list_contains(&avoid, row.id);
    });
}

std::uint32_t target_table::in_flight(target_id target) const
{
    const target_row* row = this->find(target);
    return row == nullptr ? 0 : row->in_flight;
}

std::uint32_t target_table::limit(target_id target) const
{
    const target_row* row = this->find(target);
    return row == nullptr ? 0 : row->limit;
}

std::uint32_t target_table::configured_slots(service_id service) const
{
    std::uint32_t sum = 0;
    for (const std::size_t index : this->by_service.at(service.index()).rows) {
        sum += this->rows.at(index).slots;
    }
    return sum;
}

void target_table::check(violations& found) const
{
    for (const target_row& row : this->rows) {
        const std::uint32_t allowed =
            std::max(std::min(row.slots, row.connections), row.carried_over);
        if (row.in_flight > allowed) {
            found.push_back({violation_kind::slots_exceeded, row.service, row.in_flight, allowed});
        }
    }
}

target_row* target_table::find(target_id target)
{
    const std::size_t index = this->by_target.at(target.index());
    return index == no_row ? nullptr : &this->rows.at(index);
}

const target_row* target_table::find(target_id target) const
{
    const std::size_t index = this->by_target.at(target.index());
    return index == no_row ? nullptr : &this->rows.at(index);
}

target_table::service_rows& target_table::group_of(const target_row& row)
{
    return this->by_service.at(row.service.index());
}

} // namespace bth::steering
