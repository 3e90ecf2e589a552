// Checks the invariants of a node (invariants.h) by comparing its tables with each other.
#include "bth/steering/internal/node_state.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace bth::steering {

namespace {

struct request_counts {
    // Attempts in flight, by target.
    std::vector<std::uint64_t> at_target;
    // Queued requests, by service.
    std::vector<std::uint64_t> queued;
    // The most urgent level of a queued request, by service.
    std::vector<std::optional<priority_level>> most_urgent;
};

request_counts count_requests(const request_table& requests, const config::model& model)
{
    request_counts counts{std::vector<std::uint64_t>(model.targets.size()),
                          std::vector<std::uint64_t>(model.services.size()),
                          std::vector<std::optional<priority_level>>(model.services.size())};
    for (const auto& [id, row] : requests.all()) {
        if (row.target) {
            ++counts.at_target.at(row.target->index());
        }
        if (row.phase == request_phase::waiting && !row.orphaned) {
            ++counts.queued.at(row.request.service.index());
            auto& most_urgent = counts.most_urgent.at(row.request.service.index());
            most_urgent = std::min(most_urgent.value_or(row.level), row.level);
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
    const request_counts counts = count_requests(this->requests, *this->model);
    this->check_attempt_counts(counts.at_target, found);
    this->check_queues(counts.queued, found);
    this->check_priority_order(counts.most_urgent, found);
    for (const auto& [id, row] : this->requests.all()) {
        if (row.request.hops > max_hops) {
            found.push_back(
                {violation_kind::hops_exceeded, row.request.service, row.request.hops, max_hops});
        }
    }
}

void node::state::check_attempt_counts(const std::vector<std::uint64_t>& attempts,
                                       violations& found) const
{
    for (std::size_t index = 0; index < attempts.size(); ++index) {
        const auto target = target_id::from_index(index);
        const std::uint64_t counted = this->targets.in_flight(target);
        if (this->targets.has(target) && counted != attempts.at(index)) {
            found.push_back({violation_kind::slots_miscounted, this->model->at(target).service,
                             counted, attempts.at(index)});
        }
    }
}

void node::state::check_queues(const std::vector<std::uint64_t>& queued, violations& found) const
{
    for (std::size_t index = 0; index < queued.size(); ++index) {
        const auto service = service_id::from_index(index);
        const std::size_t queue_length = this->queues.waiting(service);
        const std::size_t bound =
            admission::max_waiting_in_burst(this->targets.configured_slots(service));
        if (queue_length != queued.at(index)) {
            found.push_back(
                {violation_kind::queue_miscounted, service, queue_length, queued.at(index)});
        }
        if (queue_length > bound) {
            found.push_back({violation_kind::queue_too_long, service, queue_length, bound});
        }
        if (this->could_start_next(service)) {
            found.push_back({violation_kind::slot_left_idle, service, queue_length, 0});
        }
    }
}

void node::state::check_priority_order(
    const std::vector<std::optional<priority_level>>& most_urgent, violations& found) const
{
    for (std::size_t index = 0; index < most_urgent.size(); ++index) {
        const auto service = service_id::from_index(index);
        const auto id = this->queues.next(service);
        const request_row* next = id ? this->requests.find(*id) : nullptr;
        if (next != nullptr && most_urgent.at(index) && *most_urgent.at(index) < next->level) {
            found.push_back({violation_kind::priority_inverted, service, next->level.value(),
                             most_urgent.at(index)->value()});
        }
    }
}

bool node::state::could_start_next(service_id service) const
{
    const auto id = this->queues.next(service);
    const request_row* row = id ? this->requests.find(*id) : nullptr;
    // Capacity that becomes free by the passage of time, such as by expired leases and new tokens,
    // is used only at the next tick. So the check applies to the time when the queue was served.
    const time_point last_served = this->queue_served_at.at(service.index());
    return row != nullptr && !this->dependency_states.unavailable_dependency(service) &&
           this->owners.owns(service, this->latest) &&
           this->ledger.can_start(service, this->holder_of(*row), last_served) &&
           this->targets.choose(this->target_query_for(*row));
}

} // namespace bth::steering
