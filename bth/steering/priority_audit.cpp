#include "bth/steering/priority_audit.h"

#include <utility>

namespace bth::steering {

namespace {

constexpr std::size_t max_recorded_violations = 16;

} // namespace

void priority_audit::apply(std::size_t services, const model_map* change)
{
    const std::vector<service_row> previous =
        std::exchange(this->rows, std::vector<service_row>(services));
    for (std::size_t index = 0; change != nullptr && index < previous.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->rows.at(id->index()) = previous.at(index);
        }
    }
}

void priority_audit::record_refusal(service_id service, priority_level level,
                                    std::optional<priority_level> lowest_waiting, time_point now)
{
    service_row& state = this->rows.at(service.index());
    if (!this->higher_level_refused(service, level, now)) {
        state = {level, now};
    }
    if (lowest_waiting && *lowest_waiting > level) {
        this->add_violation(service, *lowest_waiting, level);
    }
}

void priority_audit::record_admission(service_id service, priority_level level,
                                      std::optional<priority_level> highest_waiting, time_point now)
{
    if (this->higher_level_refused(service, level, now)) {
        this->add_violation(service, level, *this->rows.at(service.index()).refused_level);
    }
    if (highest_waiting && *highest_waiting < level) {
        this->add_violation(service, level, *highest_waiting);
    }
}

bool priority_audit::higher_level_refused(service_id service, priority_level level,
                                          time_point now) const
{
    const service_row& state = this->rows.at(service.index());
    return state.refused_level && state.refused_at == now && *state.refused_level < level;
}

void priority_audit::check(violations& found) const
{
    found.insert(found.end(), this->recorded_violations.begin(), this->recorded_violations.end());
}

void priority_audit::add_violation(service_id service, priority_level seen, priority_level allowed)
{
    if (this->recorded_violations.size() < max_recorded_violations) {
        this->recorded_violations.push_back(
            {violation_kind::priority_inverted, service, seen.value(), allowed.value()});
    }
}

} // namespace bth::steering
