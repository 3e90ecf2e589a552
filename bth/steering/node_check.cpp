// The invariants of a node, checked over its tables.
#include "bth/steering/internal/node_state.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace bth::steering {

namespace {

struct row_counts {
    std::vector<std::uint64_t> at_target;
    std::vector<std::uint64_t> waiting;
    // The highest level that waits, by service.
    std::vector<std::optional<priority_level>> highest;
};

row_counts count_rows(const request_table& requests, const config::model& model)
{
    row_counts counts{std::vector<std::uint64_t>(model.targets.size()),
                      std::vector<std::uint64_t>(model.services.size()),
                      std::vector<std::optional<priority_level>>(model.services.size())};
    for (const auto& [id, row] : requests.all()) {
        if (row.target) {
            ++counts.at_target.at(row.target->index());
        }
        if (row.phase == request_phase::waiting && !row.orphaned) {
            ++counts.waiting.at(row.request.service.index());
            auto& highest = counts.highest.at(row.request.service.index());
            highest = std::min(highest.value_or(row.level), row.level);
        }
    }
    return counts;
}

} // namespace

void node::state::check(violations& found) const
{
    if (!this->ready()) {
        return;
    }
    this->targets.check(found);
    this->retries.check(found);
    this->audit.check(found);
    this->check_grants(found);
    const row_counts counts = count_rows(this->requests, *this->model);
    this->check_slots(counts.at_target, found);
    this->check_queues(counts.waiting, found);
    this->check_order(counts.highest, found);
    for (const auto& [id, row] : this->requests.all()) {
        if (row.request.hops > max_hops) {
            found.push_back(
                {violation_kind::hops_exceeded, row.request.service, row.request.hops, max_hops});
        }
    }
}

void node::state::check_slots(const std::vector<std::uint64_t>& tries, violations& found) const
{
    for (std::size_t index = 0; index < tries.size(); ++index) {
        const auto target = target_id::from_index(index);
        const std::uint64_t counted = this->targets.in_flight(target);
        if (this->targets.has(target) && counted != tries.at(index)) {
            found.push_back({violation_kind::slots_miscounted, this->model->at(target).service,
                             counted, tries.at(index)});
        }
    }
}

void node::state::check_queues(const std::vector<std::uint64_t>& waiting, violations& found) const
{
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        const auto service = service_id::from_index(index);
        const std::size_t queued = this->queues.waiting(service);
        const std::size_t bound =
            admission::max_waiting_in_burst(this->targets.configured_slots(service));
        if (queued != waiting.at(index)) {
            found.push_back({violation_kind::queue_miscounted, service, queued, waiting.at(index)});
        }
        if (queued > bound) {
            found.push_back({violation_kind::queue_too_long, service, queued, bound});
        }
        if (this->could_serve_next(service)) {
            found.push_back({violation_kind::slot_left_idle, service, queued, 0});
        }
    }
}

void node::state::check_order(const std::vector<std::optional<priority_level>>& highest,
                              violations& found) const
{
    for (std::size_t index = 0; index < highest.size(); ++index) {
        const auto service = service_id::from_index(index);
        const auto id = this->queues.next(service);
        const request_row* next = id ? this->requests.find(*id) : nullptr;
        if (next != nullptr && highest.at(index) && *highest.at(index) < next->level) {
            found.push_back({violation_kind::priority_inverted, service, next->level.value(),
                             highest.at(index)->value()});
        }
    }
}

bool node::state::could_serve_next(service_id service) const
{
    const auto id = this->queues.next(service);
    const request_row* row = id ? this->requests.find(*id) : nullptr;
    // What time alone frees, as leases that end and tokens that come, is given out at the next
    // tick.
    const time_point at = this->queue_served_at.at(service.index());
    return row != nullptr && !this->dependency_states.unavailable_dependency(service) &&
           this->owners.owns(service, this->latest) &&
           this->ledger.may_start(service, this->holder_of(*row), at) &&
           this->targets.choose(this->target_query_for(*row));
}

} // namespace bth::steering
