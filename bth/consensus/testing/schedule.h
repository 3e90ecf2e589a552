// Random schedules of faults and operators against a fake group.
//
//   const auto outcome = run_schedule(seed);
//   if (!outcome.violations.empty()) { print and replay with the same seed }
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bth::consensus::testing {

struct schedule_outcome {
    std::vector<std::string> violations;
    std::size_t accepted{};
    std::size_t disks_lost{};
    std::size_t kills{};
};

// Equal seeds give equal schedules and outcomes.
schedule_outcome run_schedule(std::uint64_t seed);

} // namespace bth::consensus::testing
