// Whether a host may tell a caller that a route doesn't exist.
//
//   route_knowledge knowledge;
//   knowledge.record_current(now);                 // with each update that says so
//   if (!found && knowledge.may_deny(now)) { answer_not_found(); }
//
// Callers don't repeat a request after a 404. During a series of configurations, a host that hears
// nothing of the newest ones would end requests for new routes that way, which other hosts serve.
// Such a host can only say that it doesn't know the route now.
#pragma once

#include "bth/base/time.h"

#include <chrono>
#include <optional>

namespace bth::route {

class route_knowledge {
public:
    // Control hosts that follow their group send an update every 400 ms. After two missing ones a
    // configuration may be in force that this host doesn't hold.
    static constexpr std::chrono::milliseconds timeout{1000};

    // Records that the configuration in force is the newest one.
    void record_current(time_point now) { this->last_current = now; }

    // Whether a route that isn't in the configuration in force doesn't exist.
    bool may_deny(time_point now) const
    {
        return this->last_current && now - *this->last_current <= timeout;
    }

private:
    std::optional<time_point> last_current;
};

} // namespace bth::route
