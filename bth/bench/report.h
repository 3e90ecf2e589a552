// The report of a bench run: a table to read and the same as JSON.
#pragma once

#include "bth/bench/outcome.h"
#include "bth/bench/targets.h"

#include <string>
#include <vector>

namespace bth::bench {

struct report_row {
    std::string site;
    std::string scenario;
    std::string decider;
    outcome measured;
};

struct scenario_report {
    std::string site;
    std::string scenario;
    double best{};
    // One a decider, the steering core first.
    std::vector<report_row> rows;
    std::vector<missed_target> missed;
};

// Markdown: one table a site, then the targets that were missed.
std::string to_markdown(const std::vector<scenario_report>& all);
std::string to_json(const std::vector<scenario_report>& all);

} // namespace bth::bench
