#include "bth/steering/priority_audit.h"

#include <utility>

namespace bth::steering {

namespace {

constexpr std::size_t most_kept_violations = 16;

} // namespace

void priority_audit::apply(std::size_t services, const model_map* change)
{
    const std::vector<row> before = std::exchange(this->rows, std::vector<row>(services));
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->rows.at(id->index()) = before.at(index);
        }
    }
}

void priority_audit::refused(service_id service, priority_level level,
                             std::optional<priority_level> lowest_waiting, time_point now)
{
    row& at = this->rows.at(service.index());
    if (!this->outranked(service, level, now)) {
        at = {level, now};
    }
    if (lowest_waiting && *lowest_waiting > level) {
        this->add_violation(service, *lowest_waiting, level);
    }
}

void priority_audit::admitted(service_id service, priority_level level,
                              std::optional<priority_level> highest_waiting, time_point now)
{
    if (this->outranked(service, level, now)) {
        this->add_violation(service, level, *this->rows.at(service.index()).refused_level);
    }
    if (highest_waiting && *highest_waiting < level) {
        this->add_violation(service, level, *highest_waiting);
    }
}

bool priority_audit::outranked(service_id service, priority_level level, time_point now) const
{
    const row& at = this->rows.at(service.index());
    return at.refused_level && at.refused_at == now && *at.refused_level < level;
}

void priority_audit::check(violations& found) const
{
    found.insert(found.end(), this->seen_violations.begin(), this->seen_violations.end());
}

void priority_audit::add_violation(service_id service, priority_level seen, priority_level allowed)
{
    if (this->seen_violations.size() < most_kept_violations) {
        this->seen_violations.push_back(
            {violation_kind::priority_inverted, service, seen.value(), allowed.value()});
    }
}

} // namespace bth::steering
