#include "bth/bench/scenario.h"

#include "bth/bench/fake_target.h"

#include <utility>

namespace bth::bench {

namespace {

using std::chrono::seconds;

constexpr duration disturbed_from = seconds{12};
constexpr duration disturbed_until = seconds{18};
constexpr double usual_load = 0.6;

run_plan plan_of(std::string name, double load)
{
    run_plan plan;
    plan.name = std::move(name);
    plan.load = load;
    return plan;
}

std::vector<std::uint32_t> domains_of(const config::model& model, std::uint16_t region)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t index = 0; index < model.domains.size(); ++index) {
        if (model.domains[index].region == region_id{region}) {
            found.push_back(index);
        }
    }
    return found;
}

void load_region(run_plan& plan, const config::model& model, duration at, double value)
{
    for (const std::uint32_t domain : domains_of(model, 0)) {
        plan.changes.push_back({at, change_kind::domain_load, domain, value});
    }
}

run_plan surge(const config::model& model, std::string name, double value)
{
    run_plan plan = plan_of(std::move(name), usual_load);
    load_region(plan, model, disturbed_from, value);
    load_region(plan, model, disturbed_until, usual_load);
    return plan;
}

run_plan region_lost(const config::model& model)
{
    run_plan plan = plan_of("region_lost", usual_load);
    for (const std::uint32_t domain : domains_of(model, 0)) {
        plan.changes.push_back({disturbed_from, change_kind::domain_down, domain, 0});
        plan.changes.push_back({disturbed_until, change_kind::domain_up, domain, 0});
    }
    return plan;
}

// The first domain has two entry hosts; the second of them hears of the drain late.
run_plan drain_largest()
{
    run_plan plan = plan_of("drain_largest", usual_load);
    plan.changes.push_back({disturbed_from, change_kind::drain_domain, 0, 1});
    return plan;
}

run_plan cold_half(const config::model& model)
{
    run_plan plan = plan_of("cold_half", usual_load);
    for (std::uint32_t target = 0; target < model.targets.size(); target += 2) {
        plan.changes.push_back({disturbed_from, change_kind::target_cold, target, 0});
    }
    return plan;
}

// One target of each service in the first domain turns slow and tells that it is idle.
run_plan lying_target(const config::model& model)
{
    constexpr double slow = 6.0;
    run_plan plan = plan_of("lying_target", usual_load);
    std::vector<bool> seen(model.services.size());
    for (std::uint32_t target = 0; target < model.targets.size(); ++target) {
        const config::target& row = model.targets[target];
        if (row.domain != domain_id{0} || seen[row.service.index()]) {
            continue;
        }
        seen[row.service.index()] = true;
        plan.changes.push_back({disturbed_from, change_kind::target_reports, target,
                                static_cast<double>(report_mode::lying)});
        plan.changes.push_back({disturbed_from, change_kind::target_slowdown, target, slow});
    }
    return plan;
}

run_plan silent_minute(const config::model& model)
{
    constexpr duration silent_until = disturbed_from + seconds{60};
    constexpr double lighter_load = 0.4;
    run_plan plan = plan_of("silent_minute", lighter_load);
    plan.length = silent_until + seconds{4};
    plan.changes.push_back({disturbed_from, change_kind::platform_silence, 0, 1});
    plan.changes.push_back({silent_until, change_kind::platform_silence, 0, 0});
    for (std::uint32_t target = 0; target < model.targets.size(); ++target) {
        plan.changes.push_back({disturbed_from, change_kind::target_reports, target,
                                static_cast<double>(report_mode::silent)});
        plan.changes.push_back({silent_until, change_kind::target_reports, target,
                                static_cast<double>(report_mode::honest)});
    }
    return plan;
}

// The first region leans on the others when it is cut off from both.
run_plan region_cut(const config::model& model)
{
    constexpr double over_full = 1.2;
    run_plan plan = plan_of("region_cut", usual_load);
    load_region(plan, model, disturbed_from - seconds{2}, over_full);
    for (std::uint32_t other = 1; other < model.regions.size(); ++other) {
        plan.changes.push_back({disturbed_from, change_kind::regions_cut, 0, double(other)});
        plan.changes.push_back({disturbed_until, change_kind::regions_heal, 0, double(other)});
    }
    return plan;
}

run_plan retry_storm(const config::model& model)
{
    constexpr double broken = 0.5;
    run_plan plan = plan_of("retry_storm", usual_load);
    plan.resends = 4;
    for (std::uint32_t target = 0; target < model.targets.size(); target += 2) {
        plan.changes.push_back({disturbed_from, change_kind::target_breaks, target, broken});
        plan.changes.push_back({disturbed_until, change_kind::target_breaks, target, 0});
    }
    return plan;
}

// Each host of the first domain is frozen once, so whichever owns a service's targets is.
run_plan owner_frozen()
{
    run_plan plan = plan_of("owner_frozen", usual_load);
    plan.changes.push_back({disturbed_from, change_kind::host_freeze, 0, 0});
    plan.changes.push_back({disturbed_from + seconds{3}, change_kind::host_thaw, 0, 0});
    plan.changes.push_back({disturbed_from + seconds{5}, change_kind::host_freeze, 1, 0});
    plan.changes.push_back({disturbed_from + seconds{8}, change_kind::host_thaw, 1, 0});
    return plan;
}

run_plan host_killed()
{
    run_plan plan = plan_of("host_killed", usual_load);
    plan.changes.push_back({disturbed_from, change_kind::host_kill, 0, 0});
    plan.changes.push_back({disturbed_from + seconds{3}, change_kind::host_start, 0, 0});
    plan.changes.push_back({disturbed_from + seconds{6}, change_kind::host_kill, 1, 0});
    plan.changes.push_back({disturbed_from + seconds{9}, change_kind::host_start, 1, 0});
    return plan;
}

} // namespace

std::vector<run_plan> scenarios(const config::model& model)
{
    return {plan_of("steady_60", usual_load),
            plan_of("steady_90", 0.9),
            surge(model, "surge_150", 1.5),
            surge(model, "surge_300", 3.0),
            region_lost(model),
            drain_largest(),
            cold_half(model),
            lying_target(model),
            silent_minute(model),
            region_cut(model),
            retry_storm(model),
            owner_frozen(),
            host_killed()};
}

} // namespace bth::bench
