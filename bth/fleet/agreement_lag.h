// Whether a control host has fallen behind what the group agreed on, by what other hosts hold.
//
//   agreement_lag lag;
//   lag.record(now, own_index, received.index);   // with each report and relay
//   if (lag.is_behind(now, own_index)) { ... }
//
// A control host that stands still can look healthy from inside: its leader is known, its peers are
// connected and its list of targets is fresh. Entry hosts that come from another control host, and
// relays, show an index that it should have reached by then. The load that this answers is a series
// of changes a few hundred milliseconds apart: a healthy follower is always a little behind the
// newest index, and one that is seconds late reaches some older index all the time. So each index
// counts from when it was first reported.
#pragma once

#include "bth/base/time.h"
#include "bth/fleet/messages.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>

namespace bth::fleet {

class agreement_lag {
public:
    // Two heartbeats of the leader (200 ms), with which a follower learns what is committed.
    static constexpr std::chrono::milliseconds tolerance{400};
    // Control hosts repeat what they hold every second. A report that nobody repeats three times
    // was wrong, and must not keep a healthy host out of contact.
    static constexpr std::chrono::milliseconds report_timeout{3000};

    // Records that another host holds the state at `reported` while this one holds it at `own`.
    void record(time_point now, agreed_index own, agreed_index reported)
    {
        while (!this->newer.empty() && this->newer.front().index <= own) {
            this->newer.pop_front();
        }
        if (reported <= own) {
            return;
        }
        if (this->is_expired(now)) {
            this->newer.clear();
        }
        this->last_reported_at = now;
        if (this->newer.empty() || reported > this->newer.back().index) {
            if (this->newer.size() == max_remembered) {
                // The time stays that of the older index.
                this->newer.back().index = reported;
            }
            else {
                this->newer.push_back({reported, now});
            }
        }
    }

    // Whether this host, which holds the state at `own`, should hold a newer one by now.
    bool is_behind(time_point now, agreed_index own) const
    {
        const auto next = std::find_if(this->newer.begin(), this->newer.end(),
                                       [own](const auto& each) { return each.index > own; });
        return next != this->newer.end() && now - next->reported_at > tolerance &&
               !this->is_expired(now);
    }

    // The newest index above this host's own that was reported, 0 if there is none.
    agreed_index newest_index() const
    {
        return this->newer.empty() ? agreed_index{} : this->newer.back().index;
    }

private:
    struct reported_index {
        agreed_index index;
        time_point reported_at;
    };

    // More changes than this within the tolerance count as one.
    static constexpr std::size_t max_remembered = 64;

    bool is_expired(time_point now) const { return now - this->last_reported_at > report_timeout; }

    // Indexes above this host's own, each with the time of its first report, in ascending order.
    std::deque<reported_index> newer;
    time_point last_reported_at;
};

} // namespace bth::fleet
