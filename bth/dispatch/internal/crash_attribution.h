// Attributes crashes of targets to the requests that caused them; see crash_ledger.h.
//
//   for (const auto& suspect : attribute(observed_crashes, cleared_crashes, rules)) { ... }
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/crash_ledger.h"

#include <cstddef>
#include <vector>

namespace bth::dispatch::internal {

// A request that was running at a target when that crashed.
struct observed_crash {
    request_fingerprint request;
    target_key target;
    service_key service;
    time_point at;
    // When this host learned of it.
    time_point learned_at;
};

// A crash of a target at which a request was running that has been answered since.
struct cleared_crash {
    target_key target;
    service_key service;
    time_point at;
};

struct attribution_rules {
    // Crashes that make a request one that crashes targets.
    std::size_t crashes_to_refuse{};
    // Crashes of a service that lie closer together may have one cause.
    duration wave_length{};
    // Reports on one target that lie closer together are of the same crash.
    duration same_crash_window{};
};

// A request to which two crashes or more are attributed.
struct suspect_request {
    request_fingerprint request;
    std::size_t crashes{};
    bool crashes_targets{};
    // When the last report arrived that is needed for this.
    time_point learned_at;
};

// Attributes the observed crashes. Those that are cleared show what else crashed at the same time.
std::vector<suspect_request> attribute(const std::vector<observed_crash>& observed,
                                       const std::vector<cleared_crash>& cleared,
                                       const attribution_rules& rules);

} // namespace bth::dispatch::internal
