// bth-soak: runs random schedules of load and faults against the steering core with every check on,
// and prints each seed that breaks one.
#include "bth/bench/parallel.h"
#include "bth/bench/runs.h"
#include "bth/bench/scenario.h"

#include <iostream>
#include <mutex>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

namespace {

using namespace bth::bench;

struct options {
    std::uint64_t first{1};
    std::uint64_t count{200};
    std::size_t jobs{1};
    std::string decider{"steering"};
    // Show the changes of each schedule.
    bool verbose{};
};

// Odd seeds run one deployment, even seeds the other.
const site& site_of(const std::vector<site>& sites, std::uint64_t seed)
{
    return sites[seed % sites.size()];
}

void print_plan(const run_plan& plan)
{
    std::cout << "  load " << plan.load << ", resends " << plan.resends << "\n";
    for (const change& each : plan.changes) {
        std::cout << "  " << std::chrono::duration<double>(each.at).count()
                  << " s: " << to_string(each.kind) << " " << each.subject << " " << each.value
                  << "\n";
    }
}

// Prints what the seed broke; whether it broke anything.
bool print_breaches(const site& place, const run_plan& plan, const outcome& seen)
{
    for (std::size_t index = 0; index < rule_count; ++index) {
        const breach& row = seen.breaches.at(index);
        if (row.count > 0) {
            std::cout << "seed " << plan.seed << " (" << place.name
                      << "): " << to_string(static_cast<rule>(index)) << " " << row.count
                      << " times, first at "
                      << std::chrono::duration<double>(row.first_at.time_since_epoch()).count()
                      << " s: " << row.first << "\n";
        }
    }
    if (!seen.clean()) {
        std::cout << "  again: scripts/soak steering --first " << plan.seed
                  << " --count 1 --verbose\n";
    }
    return !seen.clean();
}

std::uint64_t run_seeds(const options& given, const std::vector<site>& sites)
{
    std::mutex print;
    std::uint64_t failed = 0;
    for_each_parallel(given.count, given.jobs, [&](std::size_t index) {
        const std::uint64_t seed = given.first + index;
        const site& place = site_of(sites, seed);
        const run_plan plan = random_plan(*place.model, seed);
        const outcome seen = run_plan_with(given.decider, place, plan);
        const std::lock_guard lock{print};
        failed += print_breaches(place, plan, seen) ? 1 : 0;
        if (given.verbose) {
            print_plan(plan);
        }
    });
    return failed;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app{"Runs random schedules of load and faults under virtual time."};
    app.add_option("--first", given.first, "first seed");
    app.add_option("--count", given.count, "number of seeds");
    app.add_option("--jobs", given.jobs, "threads");
    app.add_option("--decider", given.decider, "the decider to check");
    app.add_flag("--verbose", given.verbose, "show each schedule");
    CLI11_PARSE(app, argc, argv);
    std::vector<site> sites;
    for (const std::string& name : site_names()) {
        auto place = load_site(name);
        if (!place) {
            std::cerr << bth::to_string(place.error());
            return 1;
        }
        sites.push_back(std::move(*place));
    }
    const std::uint64_t failed = run_seeds(given, sites);
    std::cout << given.count - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
