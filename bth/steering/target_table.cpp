#include "bth/steering/target_table.h"

#include <algorithm>
#include <limits>

namespace bth::steering {

namespace {

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

} // namespace

void target_table::apply(const config::model& model, domain_id domain, const model_map* change)
{
    const std::vector<row> before = std::move(this->rows);
    this->rows.clear();
    this->by_service.assign(model.services.size(), {});
    this->by_target.assign(model.targets.size(), no_row);
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        const config::target& target = model.targets.at(index);
        if (target.domain == domain) {
            this->by_target.at(index) = this->rows.size();
            this->by_service.at(target.service.index()).push_back(this->rows.size());
            this->rows.push_back({target_id::from_index(index), target.slots, 0});
        }
    }
    if (change == nullptr) {
        return;
    }
    for (const row& old : before) {
        const auto id = change->find(old.id);
        row* kept = id ? this->find(*id) : nullptr;
        if (kept != nullptr) {
            kept->in_flight = old.in_flight;
        }
    }
}

std::optional<target_id>
target_table::choose(service_id service, const std::vector<target_id>& avoid, time_point now) const
{
    (void)now;
    const row* best = nullptr;
    for (const std::size_t index : this->by_service.at(service.index())) {
        const row& each = this->rows.at(index);
        const bool avoided = std::find(avoid.begin(), avoid.end(), each.id) != avoid.end();
        if (avoided || each.in_flight >= each.slots) {
            continue;
        }
        if (best == nullptr || each.in_flight < best->in_flight) {
            best = &each;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

void target_table::begin(target_id target, time_point now)
{
    (void)now;
    if (row* found = this->find(target)) {
        ++found->in_flight;
    }
}

void target_table::end(target_id target, const try_result& result, duration took, time_point now)
{
    (void)result;
    (void)took;
    (void)now;
    if (row* found = this->find(target)) {
        --found->in_flight;
    }
}

std::uint32_t target_table::in_flight(target_id target) const
{
    const row* found = this->find(target);
    return found == nullptr ? 0 : found->in_flight;
}

target_table::row* target_table::find(target_id target)
{
    const std::size_t index = this->by_target.at(target.index());
    return index == no_row ? nullptr : &this->rows.at(index);
}

const target_table::row* target_table::find(target_id target) const
{
    const std::size_t index = this->by_target.at(target.index());
    return index == no_row ? nullptr : &this->rows.at(index);
}

} // namespace bth::steering
