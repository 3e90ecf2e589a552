#include "bth/steering/retry_budget.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

// Returns whether `retries` stay within the share of the first attempts.
bool is_within_budget(double share, std::uint64_t first_attempts_in_units, std::uint64_t retries)
{
    const double first_attempts =
        static_cast<double>(first_attempts_in_units) / static_cast<double>(units_per_first_attempt);
    return static_cast<double>(retries) <= share * first_attempts;
}

} // namespace

void retry_budget::apply(const config::model& model, const model_map* change)
{
    const std::vector<service_budget> previous = std::exchange(this->budgets, {});
    for (const config::service& service : model.services) {
        service_budget added;
        added.share = service.retry_budget.value();
        this->budgets.push_back(added);
    }
    for (std::size_t index = 0; change != nullptr && index < previous.size(); ++index) {
        const auto id = change->find(service_id::from_index(index));
        if (id && this->budgets.at(id->index()).share == previous.at(index).share) {
            this->budgets.at(id->index()) = previous.at(index);
        }
    }
}

void retry_budget::advance(service_budget& budget, time_point now)
{
    const std::int64_t current = now.time_since_epoch() / bucket_length;
    const std::int64_t steps = std::min<std::int64_t>(current - budget.newest_bucket_number,
                                                      static_cast<std::int64_t>(bucket_count));
    for (std::int64_t step = 0; step < steps; ++step) {
        ++budget.newest_bucket_number;
        bucket& oldest = newest_bucket(budget);
        budget.window.first_attempts_in_units -= oldest.first_attempts_in_units;
        budget.window.retries -= oldest.retries;
        oldest = {};
    }
    budget.newest_bucket_number = std::max(budget.newest_bucket_number, current);
}

retry_budget::bucket& retry_budget::newest_bucket(service_budget& budget)
{
    return budget.buckets.at(static_cast<std::size_t>(budget.newest_bucket_number) % bucket_count);
}

void retry_budget::count_first_attempt(service_id service, std::uint64_t units, time_point now)
{
    service_budget& budget = this->budgets.at(service.index());
    advance(budget, now);
    newest_bucket(budget).first_attempts_in_units += units;
    budget.window.first_attempts_in_units += units;
    budget.total.first_attempts_in_units += units;
}

bool retry_budget::spend(service_id service, time_point now)
{
    service_budget& budget = this->budgets.at(service.index());
    advance(budget, now);
    if (!is_within_budget(budget.share, budget.window.first_attempts_in_units,
                          budget.window.retries + 1)) {
        return false;
    }
    ++newest_bucket(budget).retries;
    ++budget.window.retries;
    ++budget.total.retries;
    return true;
}

void retry_budget::check(violations& found) const
{
    for (std::size_t index = 0; index < this->budgets.size(); ++index) {
        const service_budget& budget = this->budgets.at(index);
        if (!is_within_budget(budget.share, budget.total.first_attempts_in_units,
                              budget.total.retries)) {
            found.push_back({violation_kind::retry_budget_exceeded, service_id::from_index(index),
                             budget.total.retries,
                             budget.total.first_attempts_in_units / units_per_first_attempt});
        }
    }
}

} // namespace bth::steering
