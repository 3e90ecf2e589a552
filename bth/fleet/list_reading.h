// Decides which control host reads the platform's list of targets, and how. Each control host
// decides by itself, from what it knows.
//
//   if (should_read_list({is_leader, is_voter, rank, age_of_the_list, drain_time})) {
//       read(reads_by_domain(domains.size(), calls_of_the_last_reading));
//   }
//
// This serves a list whose calls are limited and priced for all hosts together, and whose readings
// take longer the more targets there are: a thousand targets are 25 calls, one after another. The
// list is read as rarely as the time allows within which no more requests may be sent to a target
// that is leaving: the interval between two readings, the time that one takes, and the time until
// all hosts know it must fit in.
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bth::fleet {

// What a control host knows when it decides whether to read the list.
struct list_reading_state {
    bool is_leader{};
    // Whether this host is a voter of the group. Others don't read: before they are admitted there
    // may be any number of them, and then the group relays the list to them.
    bool is_voter{};
    // Rank of this host among the voters that it is connected to, ordered by name, from 0.
    std::uint32_t rank{};
    // Age of the newest reading that this host has, its own or a relayed one.
    duration list_age{};
    // Time after which no more requests may be sent to a target that the list shows as leaving.
    duration drain_time{};
};

// Returns whether this host should read the list now. If readings of the leader stop, the other
// voters read one after another by rank; the first that succeeds relays its reading to the rest.
constexpr bool should_read_list(const list_reading_state& state)
{
    // Fractions of the drain time, in percent. The last voter to take over from a lost leader reads
    // early enough to leave a sixth of the time for its reading.
    constexpr int leader_interval = 40;
    constexpr int first_follower_delay = 63;
    constexpr int delay_per_rank = 5;
    constexpr int last_follower_delay = 83;
    constexpr int percent = 100;
    if (state.is_leader) {
        return state.list_age >= state.drain_time * leader_interval / percent;
    }
    const int delay =
        first_follower_delay +
        delay_per_rank * static_cast<int>(std::min<std::uint32_t>(state.rank, percent));
    return state.is_voter &&
           state.list_age >= state.drain_time * std::min(delay, last_follower_delay) / percent;
}

// Returns whether a voter that has no list yet should read it now, a time `running` after its
// start. A single control host that restarts gets the list from the others as soon as it is
// connected to them. If all restart together, none of them has it, every request is refused until
// it is read, and each of them may be the first to run: then all read it.
constexpr bool should_read_first_list(bool is_voter, duration running)
{
    constexpr std::chrono::milliseconds relay_wait{150};
    return is_voter && running >= relay_wait;
}

// Returns how long a host waits after the last of so many readings in a row that failed, before it
// reads again. `rank` is that of list_reading_state.
//
// The calls of all hosts together are limited, and each reading takes several at once: hosts that
// all read again at once refuse each other for as long as they go on. So the leader reads first,
// and the pauses grow up to a rate of calls that leaves the leader's readings room.
constexpr duration pause_after_failures(std::uint32_t failures, bool is_leader, std::uint32_t rank)
{
    constexpr std::chrono::milliseconds first_pause{100};
    constexpr std::uint32_t max_doublings = 3;
    constexpr std::uint32_t max_rank = 100;
    if (failures == 0) {
        return {};
    }
    const auto turns = is_leader ? 1 : 2 + std::min(rank, max_rank);
    return first_pause * (1U << std::min(failures - 1, max_doublings)) * turns;
}

// Returns whether the parts of the list that belong to the failure domains should be read at the
// same time, instead of all pages one after another. `calls` is the number of calls of the last
// reading, 0 if there was none.
//
// The pages of a list of a thousand targets take half a second one after another, and a tenth at
// the same time. A part of a domain ends with a page that isn't full, so reading by domains takes
// up to half a call more per domain. That is worth it for long lists, and for the first one, of
// unknown length, without which nobody can be served.
constexpr bool reads_by_domain(std::size_t domains, std::size_t calls)
{
    return calls == 0 || calls >= 2 * domains;
}

} // namespace bth::fleet
