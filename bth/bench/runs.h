// Runs a plan with one of the deciders by name.
//
//   const outcome measured = run_plan_with("steering", site, plan);
#pragma once

#include "bth/bench/outcome.h"
#include "bth/bench/plan.h"
#include "bth/bench/site.h"

#include <functional>
#include <string>
#include <vector>

namespace bth::bench {

// "steering" is the product; the others are its baselines, and "true_state" the reference.
std::vector<std::string> decider_names();

// Told one line for each thing that happens; for golden sessions.
using line_observer = std::function<void(time_point, const std::string&)>;

// `decider` is one of decider_names().
outcome run_plan_with(const std::string& decider, const site& place, const run_plan& plan,
                      const line_observer& watch = {});

} // namespace bth::bench
