// A run of the bench as data: the load and what changes when. Scenarios and random schedules both
// make plans; the same plan and decider give the same run to the byte.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bth::bench {

// What a change does; `subject` is the row of the kind named here.
enum class change_kind : std::uint8_t {
    domain_load,      // domain; value: load as a share of full
    domain_down,      // domain: its hosts and targets die
    domain_up,        // domain: they start again, cold
    host_kill,        // host
    host_start,       // host, a new incarnation
    host_freeze,      // host
    host_thaw,        // host
    regions_cut,      // region; value: the other region
    regions_heal,     // region; value: the other region
    target_kill,      // target
    target_start,     // target, cold
    target_cold,      // target
    target_reports,   // target; value: report_mode
    target_slowdown,  // target; value: factor
    target_breaks,    // target; value: share of requests
    target_leaves,    // target: the platform's list says so after its lag, and its own report
    drain_domain,     // domain: the operators' text says so; value: a host that hears late, or -1
    platform_silence, // value: 1 begins, 0 ends
};

inline constexpr std::size_t change_kind_count = 18;

std::string_view to_string(change_kind kind);

struct change {
    duration at{};
    change_kind kind{change_kind::domain_load};
    std::uint32_t subject{};
    double value{};
};

struct run_plan {
    std::string name;
    std::uint64_t seed{1};
    // Load of every domain at the beginning, as a share of full load.
    double load{0.6};
    // What is measured begins here.
    duration warm_up{std::chrono::seconds{8}};
    // Callers make requests until then.
    duration length{std::chrono::seconds{24}};
    // How often a caller sends a refused or failed request again at once.
    std::uint32_t resends{};
    std::vector<change> changes;
};

} // namespace bth::bench
