#include "bth/steering/retry_budget.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

// Whether `retries` stay within the share of the first tries.
bool within(double share, std::uint64_t first_parts, std::uint64_t retries)
{
    const double first_tries =
        static_cast<double>(first_parts) / static_cast<double>(whole_first_try);
    return static_cast<double>(retries) <= share * first_tries;
}

} // namespace

void retry_budget::apply(const config::model& model, const model_map* change)
{
    const std::vector<row> before = std::exchange(this->rows, {});
    for (const config::service& service : model.services) {
        row fresh;
        fresh.share = service.retry_budget.value();
        this->rows.push_back(fresh);
    }
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        const auto id = change->find(service_id::from_index(index));
        if (id && this->rows.at(id->index()).share == before.at(index).share) {
            this->rows.at(id->index()) = before.at(index);
        }
    }
}

void retry_budget::advance(row& at, time_point now)
{
    const std::int64_t wanted = now.time_since_epoch() / bucket_length;
    const std::int64_t steps =
        std::min<std::int64_t>(wanted - at.newest, static_cast<std::int64_t>(bucket_count));
    for (std::int64_t step = 0; step < steps; ++step) {
        ++at.newest;
        bucket& oldest = newest_bucket(at);
        at.window.first_parts -= oldest.first_parts;
        at.window.retries -= oldest.retries;
        oldest = {};
    }
    at.newest = std::max(at.newest, wanted);
}

retry_budget::bucket& retry_budget::newest_bucket(row& at)
{
    return at.buckets.at(static_cast<std::size_t>(at.newest) % bucket_count);
}

void retry_budget::count_first_try(service_id service, std::uint64_t part, time_point now)
{
    row& at = this->rows.at(service.index());
    advance(at, now);
    newest_bucket(at).first_parts += part;
    at.window.first_parts += part;
    at.total.first_parts += part;
}

bool retry_budget::spend(service_id service, time_point now)
{
    row& at = this->rows.at(service.index());
    advance(at, now);
    if (!within(at.share, at.window.first_parts, at.window.retries + 1)) {
        return false;
    }
    ++newest_bucket(at).retries;
    ++at.window.retries;
    ++at.total.retries;
    return true;
}

void retry_budget::check(violations& found) const
{
    for (std::size_t index = 0; index < this->rows.size(); ++index) {
        const row& at = this->rows.at(index);
        if (!within(at.share, at.total.first_parts, at.total.retries)) {
            found.push_back({violation_kind::retry_budget_exceeded, service_id::from_index(index),
                             at.total.retries, at.total.first_parts / whole_first_try});
        }
    }
}

} // namespace bth::steering
