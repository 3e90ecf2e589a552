#include "bth/bench/targets.h"

#include "bth/bench/best_assignment.h"
#include "bth/bench/internal/world_constants.h"
#include "bth/bench/runs.h"

#include <array>
#include <iomanip>
#include <sstream>
#include <utility>

namespace bth::bench {

namespace {

// What counts as all of a bound's requests, against rounding.
constexpr double all = 1.0 - 1e-9;

std::string percent(double part)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << part * 100.0 << "%";
    return text.str();
}

std::string milliseconds(duration span)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1)
         << std::chrono::duration<double, std::milli>(span).count() << " ms";
    return text.str();
}

// The same plan with the most urgent class alone.
run_plan top_class_alone(run_plan plan)
{
    plan.load *= class_parts.front();
    for (change& each : plan.changes) {
        if (each.kind == change_kind::domain_load) {
            each.value *= class_parts.front();
        }
    }
    return plan;
}

} // namespace

std::string_view to_string(bound which)
{
    static constexpr std::array<std::string_view, bound_count> names{"rules", "served", "top_class",
                                                                     "p99"};
    return names.at(static_cast<std::size_t>(which));
}

gate_result bounds_of(const site& place, const run_plan& plan, outcome steering, outcome true_state)
{
    gate_result result;
    result.steering = std::move(steering);
    result.true_state = std::move(true_state);
    result.best = best_served_part(place, plan);
    result.best_top_class = best_served_part(place, top_class_alone(plan));
    return result;
}

gate_result run_gate(const site& place, const run_plan& plan)
{
    return bounds_of(place, plan, run_plan_with("steering", place, plan),
                     run_plan_with("true_state", place, plan));
}

std::vector<missed_target> missed_targets(const gate_result& result)
{
    std::vector<missed_target> missed;
    const outcome& seen = result.steering;
    for (std::size_t index = 0; index < rule_count; ++index) {
        const breach& row = seen.breaches.at(index);
        if (row.count > 0) {
            std::ostringstream text;
            text << row.count << " times, first at " << std::fixed << std::setprecision(3)
                 << std::chrono::duration<double>(row.first_at.time_since_epoch()).count()
                 << " s: " << row.first;
            missed.push_back({bound::rules,
                              "rule " + std::string{to_string(static_cast<rule>(index))},
                              text.str()});
        }
    }
    const double served = seen.served_part();
    if (served < least_served_of_best * result.best) {
        missed.push_back({bound::served,
                          "served at least " + percent(least_served_of_best) + " of the best " +
                              percent(result.best),
                          percent(served)});
    }
    const bool fits = result.best_top_class >= all;
    if (fits && seen.served_part(0) < least_top_class_served) {
        missed.push_back({bound::top_class,
                          "most urgent class served at least " + percent(least_top_class_served),
                          percent(seen.served_part(0))});
    }
    const duration p99 = seen.latency.percentile(0.99);
    const duration reference = result.true_state.latency.percentile(0.99);
    if (std::chrono::duration<double>(p99) >
        std::chrono::duration<double>(reference) * most_p99_of_true_state) {
        missed.push_back(
            {bound::p99, "p99 at most 1.25 times " + milliseconds(reference), milliseconds(p99)});
    }
    return missed;
}

} // namespace bth::bench
