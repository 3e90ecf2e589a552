#include "bth/bench/fake_target.h"

namespace bth::bench {

double fake_target::time_factor() const
{
    const double cold =
        static_cast<double>(this->cold_answers) / static_cast<double>(answers_until_warm);
    return this->slowdown * (1.0 + (cold_slowdown - 1.0) * cold);
}

std::optional<steering::load_report> report_of(const fake_target& from, target_id id,
                                               const config::target& row)
{
    if (!from.alive || from.reports == report_mode::silent) {
        return std::nullopt;
    }
    steering::load_report told{id, from.in_flight(), row.slots, from.leaving};
    if (from.reports == report_mode::lying) {
        told.in_flight = 0;
    }
    if (from.reports == report_mode::lagging && !from.past.empty()) {
        told.in_flight = from.past.front();
    }
    return told;
}

} // namespace bth::bench
