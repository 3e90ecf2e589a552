#include "bth/bench/golden.h"

#include "bth/bench/runs.h"

#include <cstdint>
#include <iomanip>
#include <sstream>
#include <utility>

namespace bth::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A few requests in a second.
constexpr double few_requests = 0.004;
constexpr duration session_begin = seconds{8};
constexpr duration fault_at = session_begin + milliseconds{300};
constexpr duration session_end = session_begin + milliseconds{900};

// Callers of the first failure domain only.
run_plan session(std::string name)
{
    run_plan plan;
    plan.name = std::move(name);
    plan.load = 0.0;
    plan.warm_up = session_begin;
    plan.length = session_end;
    plan.changes.push_back({duration{}, change_kind::domain_load, 0, few_requests});
    return plan;
}

// Rows 0 to 7 of the targets are those of the first domain in both examples.
constexpr std::uint32_t targets_of_first_domain = 8;

run_plan refused()
{
    run_plan plan = session("refused");
    for (std::uint32_t domain = 0; domain < 6; ++domain) {
        for (std::uint32_t target = 0; target < targets_of_first_domain; ++target) {
            plan.changes.push_back(
                {fault_at, change_kind::target_kill, domain * targets_of_first_domain + target, 0});
        }
    }
    return plan;
}

run_plan retried()
{
    run_plan plan = session("retried");
    for (std::uint32_t target = 0; target < targets_of_first_domain; target += 2) {
        plan.changes.push_back({fault_at, change_kind::target_breaks, target, 1.0});
    }
    return plan;
}

// The first domain's targets die, and later its region is cut off.
run_plan cut()
{
    run_plan plan = session("cut");
    for (std::uint32_t target = 0; target < targets_of_first_domain; ++target) {
        plan.changes.push_back({session_begin, change_kind::target_kill, target, 0});
    }
    plan.changes.push_back({fault_at, change_kind::regions_cut, 0, 1});
    plan.changes.push_back({fault_at, change_kind::regions_cut, 0, 2});
    return plan;
}

run_plan drained()
{
    run_plan plan = session("drained");
    plan.changes.push_back({fault_at, change_kind::drain_domain, 0, -1});
    return plan;
}

std::string time_text(time_point at)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(6)
         << std::chrono::duration<double>(at.time_since_epoch()).count();
    return text.str();
}

} // namespace

std::vector<run_plan> golden_sessions()
{
    run_plan lookup = session("lookup");
    lookup.changes.front().at = session_begin;
    lookup.length = session_begin + milliseconds{200};
    return {lookup, session("served"), refused(), retried(), cut(), drained()};
}

std::string play_session(const run_plan& plan)
{
    const auto place = load_site("ogunleye");
    if (!place) {
        return to_string(place.error());
    }
    std::string text;
    run_plan_with("steering", *place, plan, [&](time_point at, const std::string& line) {
        text += time_text(at) + " " + line + "\n";
    });
    return text;
}

std::string golden_path(const run_plan& plan)
{
    return "bth/bench/golden/" + plan.name + ".txt";
}

} // namespace bth::bench
