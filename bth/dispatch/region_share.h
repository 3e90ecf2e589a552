// Computes the share of a region's objects whose requests are served in other regions.
//
//   rate_limited_share share;
//   request.remote_share = share.move_toward(
//       now, wanted_remote_share({own_slots, other_slots, own_hosts, all_hosts}));
//
// This is meant for a region that has an equal share of the callers but far fewer targets than the
// other regions. Its targets would fill up, evict warm objects for others and answer every request
// late, while targets of other regions idle. Redirecting single requests once the queues grow comes
// too late, and makes many targets handle the same object. Therefore a share of the objects has its
// affinity target in another region from the start, and all hosts of the region use the same share.
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace bth::dispatch {

// The capacity of a region for one service, of which all hosts of the region have the same view.
// Entry hosts are placed where the callers are, so their numbers stand for the numbers of callers.
struct region_capacity {
    // The slots of the service's targets in this region and in all other regions.
    double own_slots{};
    double other_slots{};
    // The number of entry hosts in this region, and in all regions including this one.
    double own_hosts{};
    double all_hosts{};
};

// Returns the share of the objects that should be served in other regions, from 0 to 1.
inline double wanted_remote_share(const region_capacity& capacity)
{
    // A region that has almost its part of the slots serves all of its callers by itself, which
    // saves them the way to another region. A region that has far less serves little more than its
    // part: when load is at its worst, its slots would be full while other regions have room, and
    // the few targets of a small region are loaded less evenly by chance.
    constexpr double headroom_per_part = 0.3125; // 25% of headroom at four fifths of the part.
    if (capacity.own_slots <= 0.0 || capacity.other_slots <= 0.0) {
        return capacity.own_slots <= 0.0 && capacity.other_slots > 0.0 ? 1.0 : 0.0;
    }
    const double slot_share = capacity.own_slots / (capacity.own_slots + capacity.other_slots);
    const double caller_share =
        std::clamp(capacity.own_hosts / std::max(capacity.all_hosts, 1.0), slot_share, 1.0);
    const double part = slot_share / caller_share;
    return std::max(0.0, 1.0 - part * (1.0 + headroom_per_part * part));
}

// A share that follows its wanted value at a limited rate, so that targets which come and go, and
// hosts that are counted late, make few callers change their region at a time.
class rate_limited_share {
public:
    // The largest change per second, as a fraction of all objects. The users of the system limit
    // the share of callers that change their region within two seconds, to 0.15 at the strictest;
    // this rate takes about a fourth of that, because other changes add to it.
    static constexpr double max_change_per_second = 0.02;

    // Moves the share toward `wanted` by no more than the time since the last call allows, and
    // returns it. The first call takes over `wanted` immediately.
    double move_toward(time_point now, double wanted)
    {
        if (!this->current) {
            this->current = wanted;
        }
        const std::chrono::duration<double> elapsed = now - this->moved_at;
        const double max_change = max_change_per_second * elapsed.count();
        this->current =
            std::clamp(wanted, *this->current - max_change, *this->current + max_change);
        this->moved_at = now;
        return *this->current;
    }

private:
    std::optional<double> current;
    time_point moved_at;
};

} // namespace bth::dispatch
