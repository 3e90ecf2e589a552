// The versions of data that an entry host holds, as far as its control host knows.
//
//   held_state_tracker tracker;
//   if (tracker.record_report(now, {version, index, targets})) { send_missing_data(); }
//   if (tracker.assumed().index < newest) { tracker.record_sent(now, {...}); }
//
// A sent update counts as held immediately, so that it isn't sent again with each step. If the
// entry host later reports less than that, it has missed the update, and its report is believed.
#pragma once

#include "bth/base/time.h"
#include "bth/fleet/messages.h"

#include <chrono>

namespace bth::fleet {

// Versions of all data that a control host sends to its entry hosts.
struct held_state {
    route::config_version version;
    agreed_index index;
    catalog_revision targets;
    friend bool operator==(const held_state&, const held_state&) = default;
};

class held_state_tracker {
public:
    // Twice the sum of the report interval (400 ms) and the longest time that an update takes on a
    // full link (100 ms).
    static constexpr std::chrono::milliseconds confirmation_timeout{1000};

    // What the entry host reported last, or was sent since.
    const held_state& assumed() const { return this->assumed_versions; }
    bool has_reported() const { return this->report_received; }

    // Records what the entry host reports to hold. If this is its first report, or if it has
    // missed an update, sets the assumed versions to the reported ones and returns true.
    bool record_report(time_point now, const held_state& reported)
    {
        const bool is_missing_update = reported.version < this->assumed_versions.version ||
                                       reported.index < this->assumed_versions.index ||
                                       reported.targets != this->assumed_versions.targets;
        const bool may_be_in_flight =
            this->report_received && now - this->last_change_sent_at <= confirmation_timeout;
        if (this->report_received && (!is_missing_update || may_be_in_flight)) {
            return false;
        }
        this->report_received = true;
        this->assumed_versions = reported;
        return true;
    }

    // Records that an update with these versions was sent.
    void record_sent(time_point now, const held_state& versions)
    {
        if (versions != this->assumed_versions) {
            this->last_change_sent_at = now;
        }
        this->assumed_versions = versions;
    }

private:
    held_state assumed_versions;
    time_point last_change_sent_at;
    bool report_received{};
};

} // namespace bth::fleet
