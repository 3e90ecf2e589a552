// Tracks how many hosts share a limit, when each control host may know only some of them.
//
//   host_count_tracker tracker;
//   tracker.update(now, 9, 2);
//   const double own_part = limit / tracker.hosts();
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <cstdint>

namespace bth::dispatch {

// Keeps the largest number of hosts that was reported recently. Hosts that a network partition cuts
// off stay counted for a while, because they may still use their share of the limits.
class host_count_tracker {
public:
    // Records the number of hosts and this host's rank among them, from 0, as a control host
    // reports them. A smaller number is ignored at first; see above.
    void update(time_point now, std::uint32_t hosts, std::uint32_t rank)
    {
        // Longer than network partitions and restarts last. The number of hosts that are removed
        // for good still drops soon enough.
        constexpr std::chrono::seconds larger_count_retention{20};
        if (!this->has_update) {
            this->has_update = true;
            this->first_update_at = now;
        }
        if (hosts < this->count && now - this->count_set_at < larger_count_retention) {
            return;
        }
        this->count = std::max<std::uint32_t>(hosts, 1);
        this->own_rank = rank;
        this->count_set_at = now;
    }

    std::uint32_t hosts() const { return this->count; }
    std::uint32_t rank() const { return this->own_rank; }

    // Returns whether updates have arrived for long enough that the number covers the whole fleet.
    // After a restart of all hosts the first updates count only a few of them.
    bool is_settled(time_point now) const
    {
        constexpr std::chrono::seconds settling_time{4};
        return this->has_update && now - this->first_update_at >= settling_time;
    }

private:
    std::uint32_t count{1};
    std::uint32_t own_rank{};
    time_point count_set_at;
    time_point first_update_at;
    bool has_update{};
};

} // namespace bth::dispatch
