// The named scenarios of the bench.
//
//   for (const run_plan& each : scenarios(*site.model)) { run(each); }
#pragma once

#include "bth/bench/plan.h"
#include "bth/config/model.h"

#include <cstdint>
#include <vector>

namespace bth::bench {

// Every scenario, in the order of the report. The model needs at least two regions.
std::vector<run_plan> scenarios(const config::model& model);

// A random schedule of load and faults: the same seed gives the same plan.
run_plan random_plan(const config::model& model, std::uint64_t seed);

} // namespace bth::bench
