// Whether a control host has fallen behind what the group agreed on, by what other hosts hold.
//
//   agreement_lag lag;
//   lag.record(now, own_index, received.index);   // with each report and relay
//   if (lag.is_behind(now, own_index)) { ... }
//
// A control host that stands still can look healthy from inside: its leader is known, its peers are
// connected and its list of targets is fresh. Entry hosts that come from another control host, and
// relays, show an index that it should have reached by then. The load that this answers is a series
// of changes a few hundred milliseconds apart, where a healthy follower is always a little behind
// the newest index: the time counts for one index until that is reached.
#pragma once

#include "bth/base/time.h"
#include "bth/fleet/messages.h"

#include <chrono>

namespace bth::fleet {

class agreement_lag {
public:
    // Two heartbeats of the leader (200 ms), with which a follower learns what is committed.
    static constexpr std::chrono::milliseconds tolerance{400};

    // Records that another host holds the state at `reported` while this one holds it at `own`.
    void record(time_point now, agreed_index own, agreed_index reported)
    {
        if (own >= this->awaited && reported > own) {
            this->awaited = reported;
            this->awaited_since = now;
        }
    }

    // Whether this host, which holds the state at `own`, should hold a newer one by now.
    bool is_behind(time_point now, agreed_index own) const
    {
        return own < this->awaited && now - this->awaited_since > tolerance;
    }

    // The index that this host has yet to reach, or the last one that it had to.
    agreed_index awaited_index() const { return this->awaited; }

private:
    agreed_index awaited;
    time_point awaited_since;
};

} // namespace bth::fleet
