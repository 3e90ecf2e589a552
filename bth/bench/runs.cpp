#include "bth/bench/runs.h"

#include "bth/bench/baselines.h"
#include "bth/bench/true_state.h"
#include "bth/bench/world.h"
#include "bth/steering/node.h"

#include <memory>

namespace bth::bench {

namespace {

template <decider Decider>
outcome run_with(const site& place, const run_plan& plan, const line_observer& watch,
                 typename world<Decider>::factory make)
{
    world<Decider> run{place, plan, std::move(make)};
    if (watch) {
        run.observe(watch);
    }
    return run.run();
}

steering::node make_node(const host_setup& setup, const fake_targets& targets)
{
    (void)targets;
    return steering::node{{setup.name, setup.life, setup.seed}};
}

template <class Plain>
Plain make_plain(const host_setup& setup, const fake_targets& targets)
{
    (void)targets;
    return Plain{setup};
}

} // namespace

std::vector<std::string> decider_names()
{
    return {"steering", "nearest_first", "central_proportional", "random_of_two", "true_state"};
}

outcome run_plan_with(const std::string& decider, const site& place, const run_plan& plan,
                      const line_observer& watch)
{
    if (decider == "nearest_first") {
        return run_with<nearest_first>(place, plan, watch, make_plain<nearest_first>);
    }
    if (decider == "random_of_two") {
        return run_with<random_of_two>(place, plan, watch, make_plain<random_of_two>);
    }
    if (decider == "central_proportional") {
        const auto central = std::make_shared<central_state>();
        return run_with<central_proportional>(
            place, plan, watch, [central](const host_setup& setup, const fake_targets& targets) {
                (void)targets;
                return central_proportional{setup, central};
            });
    }
    if (decider == "true_state") {
        const auto shared = std::make_shared<true_state_shared>();
        shared->delay = place.delay;
        return run_with<true_state>(place, plan, watch,
                                    [shared](const host_setup& setup, const fake_targets& targets) {
                                        shared->targets = &targets;
                                        return true_state{setup, shared};
                                    });
    }
    return run_with<steering::node>(place, plan, watch, make_node);
}

} // namespace bth::bench
