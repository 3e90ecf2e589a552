// What the best assignment serves of a plan with the true state known, as a fluid.
//
// Each second is taken as a fluid. A slot gives one answer in a service time and a way to the entry
// host and back, since it is exact: no request is sent before the last one is known to have ended.
// Services are solved by themselves, dependants first; a service's targets then have the room that
// its dependants' calls leave. Every domain serves its own callers first. What is over may move to
// the fallbacks that are up and not cut off: a maximum flow over domains, at most the shift cap for
// every window since the disturbance began. Links count as wide enough. Targets that are cold or
// break requests count as well, and a second's beginning counts for all of it: the figure errs
// upwards, but for the fixed order of services.
#pragma once

#include "bth/bench/plan.h"
#include "bth/bench/site.h"

namespace bth::bench {

// The share of the requests made after the warm-up that the best assignment serves.
double best_served_part(const site& place, const run_plan& plan);

} // namespace bth::bench
