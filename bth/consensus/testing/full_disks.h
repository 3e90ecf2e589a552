// A seeded schedule of disks that are full for some seconds each, one after another and never two
// at once, while operators send edits, and what must hold once the last of them has room.
//
//   const auto outcome = run_full_disks(seed);
//   CHECK_TRUE(outcome.violations.empty());
#pragma once

#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bth::consensus::testing {

struct full_disks_outcome {
    std::vector<std::string> violations;
    std::size_t accepted{};
    // Members that stopped since their disk was full, and processes that were killed meanwhile.
    std::size_t stops{};
    std::size_t kills{};
    // From when the last disk had room until an edit was answered, and until all members held all.
    duration until_answer{};
    duration until_equal{};
    // The longest time until an edit was answered.
    duration slowest{};
};

// Equal seeds give equal schedules and outcomes.
full_disks_outcome run_full_disks(std::uint64_t seed);

} // namespace bth::consensus::testing
