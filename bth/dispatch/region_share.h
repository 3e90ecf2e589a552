// Which part of a region's objects has its home in other regions.
//
//   steady_share share;
//   question.away = share.move_to(now, away_share({own_slots, other_slots, own_hosts, all_hosts}));
//
// The load pattern this answers: callers spread evenly over the regions, and a region whose targets
// are far fewer than its part of the callers. They would fill, forget their objects for others and
// answer everything late, while those of other regions idle. Sending single requests away as the
// queues grow comes too late, and teaches the same object to targets all over; so a fixed part of
// the objects lives elsewhere from the start, the same on all hosts of the region.
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace bth::dispatch {

// What the hosts of a region know alike: the slots of a service there and elsewhere, and the entry
// hosts, which stand for the callers, since they are placed where the callers are.
struct region_room {
    double own_slots{};
    double other_slots{};
    double own_hosts{};
    double all_hosts{};
};

// The part of the objects that should be served elsewhere, from 0 to 1.
inline double away_share(const region_room& room)
{
    // Services are planned at some two thirds of what their slots can bear, so that a region bears
    // half as much again as its share of the slots without help.
    constexpr double borne = 1.5;
    if (room.own_slots <= 0.0 || room.other_slots <= 0.0) {
        return room.own_slots <= 0.0 && room.other_slots > 0.0 ? 1.0 : 0.0;
    }
    const double of_slots = room.own_slots / (room.own_slots + room.other_slots);
    const double of_callers =
        std::clamp(room.own_hosts / std::max(room.all_hosts, 1.0), of_slots, 1.0);
    return std::max(0.0, 1.0 - borne * of_slots / of_callers);
}

// A share that follows what is wanted slowly, so that targets which come and go, and hosts that are
// counted late, move few callers at a time.
class steady_share {
public:
    // In parts per second. Users bound what changes its region within two seconds, at 0.15 where
    // they are strict; this is a fourth of it, since other changes come on top.
    static constexpr double speed = 0.02;

    double move_to(time_point now, double wanted)
    {
        if (!this->value) {
            this->value = wanted;
        }
        const std::chrono::duration<double> passed = now - this->moved;
        const double step = speed * passed.count();
        this->value = std::clamp(wanted, *this->value - step, *this->value + step);
        this->moved = now;
        return *this->value;
    }

private:
    std::optional<double> value;
    time_point moved;
};

} // namespace bth::dispatch
