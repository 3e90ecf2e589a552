// Decides when a control host sends its relays to the other control hosts.
//
//   relay_schedule schedule;
//   schedule.request();                                             // something changed
//   if (schedule.is_due(now)) { send(); schedule.record_sent(now); }
//
// Without changes, relays are repeated at an interval. A change is relayed soon, but many changes
// within a short time, such as hundreds of entry hosts that start together, share one relay: each
// relay holds all attached entry hosts and goes to every other control host.
#pragma once

#include "bth/base/time.h"

#include <chrono>

namespace bth::fleet {

class relay_schedule {
public:
    // Interval of relays without changes; other control hosts expire a row after three of them.
    static constexpr std::chrono::milliseconds repeat_interval{1000};
    // Smallest time between two relays. It adds to the time after which callers are directed to a
    // host that became ready, or away from one that stops, which is counted in seconds.
    static constexpr std::chrono::milliseconds change_interval{300};

    // Records that something changed that the other control hosts should know.
    void request() { this->is_requested = true; }

    bool is_due(time_point now) const
    {
        const duration interval = this->is_requested ? change_interval : repeat_interval;
        return now - this->last_sent_at >= interval;
    }

    void record_sent(time_point now)
    {
        this->is_requested = false;
        this->last_sent_at = now;
    }

private:
    bool is_requested{};
    time_point last_sent_at;
};

} // namespace bth::fleet
