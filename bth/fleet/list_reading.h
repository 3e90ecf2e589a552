// Decides which control host reads the platform's list of targets. Each control host decides by
// itself, from what it knows.
//
//   if (should_read_list({is_leader, rank, age_of_the_list})) { ... }
#pragma once

#include "bth/base/time.h"

#include <cstdint>

namespace bth::fleet {

// What a control host knows when it decides whether to read the list.
struct list_reading_state {
    bool is_leader{};
    // Rank of this host among the control hosts, ordered by name, from 0.
    std::uint32_t rank{};
    // Age of the newest reading that this host has, its own or a relayed one.
    duration list_age{};
};

// Returns whether this host should read the list now. The leader reads often enough that a leaving
// target is known within a second. The rate of list calls is limited for all hosts together, so the
// other control hosts read only if readings of the leader stop, one after another by rank.
constexpr bool should_read_list(const list_reading_state& state)
{
    constexpr std::chrono::milliseconds leader_read_interval{600};
    constexpr std::chrono::milliseconds follower_delay{1200};
    constexpr std::chrono::milliseconds follower_delay_per_rank{150};
    if (state.is_leader) {
        return state.list_age >= leader_read_interval;
    }
    return state.list_age >= follower_delay + follower_delay_per_rank * state.rank;
}

} // namespace bth::fleet
