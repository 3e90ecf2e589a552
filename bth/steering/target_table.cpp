#include "bth/steering/target_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bth::steering {

using internal::target_row;
using internal::target_standing;

namespace {

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

// A target that takes longer than this many times the fastest one's time is slow.
constexpr int slow_factor = 2;
bool contains(const std::vector<target_id>* list, target_id target)
{
    return list != nullptr && std::find(list->begin(), list->end(), target) != list->end();
}

// Whether a try that ended so was served well.
bool is_good(const try_result& result)
{
    return result.outcome == try_outcome::answered && !result.shed;
}

// Whether a try that ended so says nothing of the target.
bool is_neutral(const try_result& result)
{
    return result.outcome == try_outcome::cancelled;
}

} // namespace

void target_table::apply(const config::model& model, domain_id domain, const model_map* change,
                         time_point now)
{
    const std::vector<target_row> before = std::exchange(this->rows, {});
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
    for (const target_row& old : before) {
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
            merged.grandfathered = 0;
            *kept = merged;
        }
    }
    this->tick(now);
}

std::optional<target_id> target_table::choose(const target_query& query) const
{
    const service_rows& group = this->by_service.at(query.service.index());
    const duration slowest = group.fastest * slow_factor + query.patience;
    const bool may_choose_unreliable = query.may_probe || !group.has_reliable;
    const target_row* best = nullptr;
    duration best_score{};
    for (const std::size_t index : group.rows) {
        const target_row& row = this->rows.at(index);
        if (row.unreliable && !may_choose_unreliable) {
            continue;
        }
        if (!row.has_room() || contains(query.avoid, row.id)) {
            continue;
        }
        if (row.standing == target_standing::probing) {
            if (query.may_probe || row.probed_by_any) {
                return row.id;
            }
            continue;
        }
        const duration score = row.score();
        if (row.expected <= slowest && (best == nullptr || score < best_score)) {
            best = &row;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

void target_table::adopt(target_id target, time_point now)
{
    if (target_row* row = this->find(target)) {
        row->begin(now);
        row->grandfathered = row->in_flight;
    }
}

void target_table::begin(target_id target, time_point now)
{
    if (target_row* row = this->find(target)) {
        row->begin(now);
    }
}

void target_table::end(target_id target, const try_result& result, duration took, time_point now)
{
    target_row* row = this->find(target);
    if (row == nullptr) {
        return;
    }
    if (is_neutral(result)) {
        --row->in_flight;
    }
    else if (is_good(result)) {
        row->end_good(took, now);
    }
    else {
        row->end_bad(result, now);
        this->eject_if_bad(*row, now);
    }
    this->refresh(*row, now);
}

void target_table::eject_if_bad(target_row& row, time_point now)
{
    const bool in_service = row.standing == target_standing::in_service;
    if (in_service && row.looks_bad() && this->may_eject(this->group_of(row))) {
        row.eject(now);
    }
}

// At most half of a service's targets are out by ejection, however bad the others look.
bool target_table::may_eject(const service_rows& group) const
{
    const auto out = std::count_if(group.rows.begin(), group.rows.end(), [&](std::size_t index) {
        const target_row& row = this->rows.at(index);
        return row.closed || row.standing != target_standing::in_service;
    });
    return (static_cast<std::size_t>(out) + 1) * 2 <= group.rows.size();
}

void target_table::set_handed(target_id target, std::uint32_t count)
{
    if (target_row* row = this->find(target)) {
        row->handed = count;
    }
}

void target_table::report(const load_report& report, time_point now)
{
    if (target_row* row = this->find(report.target)) {
        row->hear(report, now);
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
    group.fastest = duration::max() / (slow_factor + 1);
    group.has_reliable = false;
    for (const std::size_t index : group.rows) {
        const target_row& row = this->rows.at(index);
        if (row.limit > 0 && row.standing == target_standing::in_service) {
            group.fastest = std::min(group.fastest, row.mean_time);
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
        return row.limit > 0 && !row.failing(now);
    });
}

bool target_table::can_serve(service_id service, const std::vector<target_id>& avoid) const
{
    const auto& group = this->by_service.at(service.index()).rows;
    return std::any_of(group.begin(), group.end(), [&](std::size_t index) {
        const target_row& row = this->rows.at(index);
        return row.limit > 0 && !contains(&avoid, row.id);
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
            std::max(std::min(row.slots, row.connections), row.grandfathered);
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
