// How many hosts share a limit, when each control host may know only some of them.
//
//   host_count count;
//   count.take(now, 9, 2);
//   const auto mine = cold_share(limit, count.hosts(), count.rank());
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <cstdint>

namespace bth::dispatch {

// The largest number of hosts that was heard of lately. A part of the fleet that is cut off counts
// as gone only after a while: it may still use its part of the limits.
class host_count {
public:
    void take(time_point now, std::uint32_t hosts, std::uint32_t own_rank)
    {
        // Longer than cuts and restarts last; hosts taken away for good are missed soon enough.
        constexpr std::chrono::seconds remembered{20};
        if (!this->first_heard) {
            this->first_heard = true;
            this->since = now;
        }
        if (hosts < this->count && now - this->set < remembered) {
            return;
        }
        this->count = std::max<std::uint32_t>(hosts, 1);
        this->own = own_rank;
        this->set = now;
    }

    std::uint32_t hosts() const { return this->count; }
    std::uint32_t rank() const { return this->own; }

    // Whether the number has been heard for long enough to be that of the whole fleet. After a
    // restart of all hosts the first ones hear of a few only.
    bool is_settled(time_point now) const
    {
        constexpr std::chrono::seconds settles_after{4};
        return this->first_heard && now - this->since >= settles_after;
    }

private:
    std::uint32_t count{1};
    std::uint32_t own{};
    time_point set;
    time_point since;
    bool first_heard{};
};

} // namespace bth::dispatch
