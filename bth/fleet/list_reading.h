// Which control host does what, decided by each of them alone.
//
//   if (should_read_list({leads, rank, age_of_the_list})) { ... }
#pragma once

#include "bth/base/time.h"

#include <cstdint>

namespace bth::fleet {

// What a control host knows when it decides whether to read the platform's list.
struct reading_state {
    bool leads{};
    // The place of this host among the control hosts by name.
    std::uint32_t rank{};
    // The age of the newest reading that it has, its own or another's.
    duration list_age{};
};

// The leader reads often enough that a target that leaves is known in a second. The list's calls
// are limited for all hosts together, so the others read only when the leader has fallen silent,
// and not all at once.
constexpr bool should_read_list(const reading_state& state)
{
    constexpr std::chrono::milliseconds leader_interval{600};
    constexpr std::chrono::milliseconds others_wait{1200};
    constexpr std::chrono::milliseconds others_step{150};
    if (state.leads) {
        return state.list_age >= leader_interval;
    }
    return state.list_age >= others_wait + others_step * state.rank;
}

} // namespace bth::fleet
