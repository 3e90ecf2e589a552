// The commands of bthctl. Each prints its result and returns the exit code.
//
//   exit_code code = run_check(common, "site.json");
#pragma once

#include "bth/control/edit.h"
#include "bth/ctl/control_client.h"
#include "bth/ctl/exit_code.h"
#include "bth/ctl/report.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bth::ctl {

// The options that all commands share.
struct common_options {
    std::vector<endpoint> control;
    std::chrono::milliseconds limit{10'000};
    output_form form{output_form::text};
};

struct edit_options {
    // A random one if empty.
    std::string edit_id;
    std::string author;
    // For drains, the version now if nothing.
    std::optional<std::uint64_t> expected_version;
    // Wait until all hosts have the version in force.
    bool wait{};
};

// Checks a text without any control host.
exit_code run_check(const common_options& common, const std::string& file);

// Submits a whole text.
exit_code run_submit(const common_options& common, const edit_options& options,
                     const std::string& file);

// Submits a drain or the end of one.
exit_code run_drain_edit(const common_options& common, const edit_options& options,
                         control::edit_change change);

// Prints the accepted text.
exit_code run_show(const common_options& common);

// Prints what each control host knows.
exit_code run_status(const common_options& common);

// Asks entry hosts for a service. Without `entries`, those of the accepted text are asked in turn.
exit_code run_lookup(const common_options& common, std::vector<endpoint> entries,
                     const std::string& service);

} // namespace bth::ctl
