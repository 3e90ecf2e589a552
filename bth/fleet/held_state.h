// What an entry host holds, as far as its control host knows.
//
//   held_state_tracker held;
//   if (held.reported(now, {version, index, targets})) { repeat_all(); }
//   if (held.now_holds().index < newest) { held.sent(now, {...}); }
//
// A sent update counts as held at once, so that it isn't sent with each tick; an entry host that
// reports less well after the update went out has passed over it, and is taken at its word.
#pragma once

#include "bth/base/time.h"
#include "bth/fleet/messages.h"

#include <chrono>

namespace bth::fleet {

// Versions of all that a control host keeps its entry hosts informed of.
struct held_state {
    route::config_version version;
    agreed_index index;
    catalog_revision targets;
    friend bool operator==(const held_state&, const held_state&) = default;
};

class held_state_tracker {
public:
    // Reports come every 400 ms and updates take up to 100 ms on a full link: twice of both.
    static constexpr std::chrono::milliseconds confirm_limit{1000};

    const held_state& now_holds() const { return this->held; }
    bool has_reported() const { return this->greeted; }

    // Takes what the entry host says it holds. True if it has passed over something that it was
    // sent, or was never heard: then it is to be told again.
    bool reported(time_point now, const held_state& got)
    {
        const bool behind = got.version < this->held.version || got.index < this->held.index ||
                            got.targets != this->held.targets;
        const bool in_time = this->greeted && now - this->sent_at <= confirm_limit;
        if (this->greeted && (!behind || in_time)) {
            return false;
        }
        this->greeted = true;
        this->held = got;
        return true;
    }

    void sent(time_point now, const held_state& what)
    {
        if (what != this->held) {
            this->sent_at = now;
        }
        this->held = what;
    }

private:
    held_state held;
    time_point sent_at;
    bool greeted{};
};

} // namespace bth::fleet
