// bth-bench: runs the scenarios and prints the report, or checks the steering core's bounds.
#include "bth/bench/best_assignment.h"
#include "bth/bench/parallel.h"
#include "bth/bench/report.h"
#include "bth/bench/runs.h"
#include "bth/bench/scenario.h"
#include "bth/bench/targets.h"

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

namespace {

using namespace bth::bench;

struct options {
    std::string scenario;
    std::string site;
    std::string json;
    std::size_t jobs{4};
    std::string gates;
    std::string check;
    std::string bound_name;
};

struct selected {
    std::vector<site> sites;
    // Plans with the index of their site.
    std::vector<std::pair<std::size_t, run_plan>> plans;
};

selected select(const options& given)
{
    selected found;
    for (const std::string& name : site_names()) {
        if (!given.site.empty() && given.site != name) {
            continue;
        }
        auto place = load_site(name);
        if (!place) {
            std::cerr << bth::to_string(place.error());
            continue;
        }
        found.sites.push_back(std::move(*place));
        for (const run_plan& plan : scenarios(*found.sites.back().model)) {
            if (given.scenario.empty() || given.scenario == plan.name) {
                found.plans.emplace_back(found.sites.size() - 1, plan);
            }
        }
    }
    return found;
}

std::vector<scenario_report> run_all(const selected& chosen, std::size_t jobs)
{
    const std::vector<std::string> deciders = decider_names();
    std::vector<scenario_report> reports(chosen.plans.size());
    for (std::size_t index = 0; index < reports.size(); ++index) {
        const auto& [at, plan] = chosen.plans[index];
        reports[index].site = chosen.sites[at].name;
        reports[index].scenario = plan.name;
        reports[index].rows.resize(deciders.size());
    }
    for_each_parallel(reports.size() * deciders.size(), jobs, [&](std::size_t job) {
        const std::size_t index = job / deciders.size();
        const std::size_t decider = job % deciders.size();
        const auto& [at, plan] = chosen.plans[index];
        const site& place = chosen.sites[at];
        reports[index].rows[decider] = {place.name, plan.name, deciders[decider],
                                        run_plan_with(deciders[decider], place, plan)};
    });
    for (std::size_t index = 0; index < reports.size(); ++index) {
        const auto& [at, plan] = chosen.plans[index];
        scenario_report& report = reports[index];
        const gate_result result = bounds_of(chosen.sites[at], plan, report.rows.front().measured,
                                             report.rows.back().measured);
        report.best = result.best;
        report.missed = missed_targets(result);
    }
    return reports;
}

// Runs the core and the reference and writes the bounds that were missed, one a line.
int write_gates(const selected& chosen, const std::string& path)
{
    std::ofstream file{path};
    for (const auto& [at, plan] : chosen.plans) {
        const site& place = chosen.sites[at];
        for (const missed_target& each : missed_targets(run_gate(place, plan))) {
            file << to_string(each.which) << " " << place.name << " " << plan.name << ": "
                 << each.target << "; seen: " << each.seen << "\n";
        }
    }
    file << "end\n";
    return file ? 0 : 1;
}

// Prints the lines of one kind of bound; fails if there is one, or if the file isn't whole.
int check_gate(const std::string& path, const std::string& kind)
{
    std::ifstream file{path};
    std::string line;
    std::size_t missed = 0;
    bool whole = false;
    while (std::getline(file, line)) {
        whole = line == "end";
        if (line.starts_with(kind + " ")) {
            std::cout << line << "\n";
            ++missed;
        }
    }
    return whole && missed == 0 ? 0 : 1;
}

int report_all(const options& given, const selected& chosen)
{
    const std::vector<scenario_report> reports = run_all(chosen, given.jobs);
    std::cout << to_markdown(reports);
    if (given.json.empty()) {
        return 0;
    }
    std::ofstream file{given.json};
    file << to_json(reports);
    if (!file) {
        std::cerr << "can't write " << given.json << "\n";
        return 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app{"Runs the scenarios of the bench under virtual time."};
    app.add_option("scenario", given.scenario, "one scenario; all without it");
    app.add_option("--site", given.site, "midlands or ogunleye; both without it");
    app.add_option("--json", given.json, "also write the report to this file");
    app.add_option("--jobs", given.jobs, "threads");
    app.add_option("--gates", given.gates, "write the bounds missed to this file, and no report");
    app.add_option("--check", given.check, "check one kind of bound in such a file");
    app.add_option("--bound", given.bound_name, "the kind: rules, served, top_class or p99");
    CLI11_PARSE(app, argc, argv);
    if (!given.check.empty()) {
        return check_gate(given.check, given.bound_name);
    }
    const selected chosen = select(given);
    if (chosen.plans.empty()) {
        std::cerr << "no such scenario\n";
        return 1;
    }
    return given.gates.empty() ? report_all(given, chosen) : write_gates(chosen, given.gates);
}
