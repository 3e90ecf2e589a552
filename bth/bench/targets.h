// The bounds that the steering core is held to in each scenario. They come from what the users
// ask for, never from earlier figures.
//
//   for (const missed_target& each : missed_targets(result)) { print(each); }
#pragma once

#include "bth/bench/outcome.h"
#include "bth/bench/plan.h"
#include "bth/bench/site.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bth::bench {

// Served, as a share of what the best assignment serves.
inline constexpr double least_served_of_best = 0.95;
// Served of the most urgent class, while it alone fits.
inline constexpr double least_top_class_served = 0.999;
// The 99th percentile of latency, over that of the decider with the true state.
inline constexpr double most_p99_of_true_state = 1.25;

// What a scenario gave: the core, the reference with the true state, and the bounds.
struct gate_result {
    outcome steering;
    outcome true_state;
    double best{};
    // What the best assignment serves of the most urgent class if there is no other.
    double best_top_class{};
};

// The kinds of bounds. Each is a test of its own for each scenario.
enum class bound : std::uint8_t { rules, served, top_class, p99 };
inline constexpr std::size_t bound_count = 4;

std::string_view to_string(bound which);

struct missed_target {
    bound which{bound::rules};
    std::string target;
    std::string seen;
};

// Runs the core and the reference.
gate_result run_gate(const site& place, const run_plan& plan);
// The bounds for runs that were made already.
gate_result bounds_of(const site& place, const run_plan& plan, outcome steering,
                      outcome true_state);

// Every bound that isn't met, invariants included, in a fixed order.
std::vector<missed_target> missed_targets(const gate_result& result);

} // namespace bth::bench
