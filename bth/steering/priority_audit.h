// Checks that a lower priority level never gets capacity of a service that a higher level lacks at
// the same instant: a request must not be admitted while one of a higher level is refused for lack
// of capacity or queued, and not be refused while one of a lower level stays queued.
//
//   priority_audit audit;
//   audit.apply(service_count, nullptr);
//   audit.record_refusal(service, level, lowest_waiting, now);
//   audit.record_admission(service, level, highest_waiting, now);
//   audit.check(found);
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/steering/invariants.h"
#include "bth/steering/model_map.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bth::steering {

class priority_audit {
public:
    // Sets the number of services. What was recorded is kept for services that `change` maps.
    void apply(std::size_t services, const model_map* change);

    // Records that a request of `level` is refused for lack of capacity while the lowest level that
    // still has queued requests is `lowest_waiting`.
    void record_refusal(service_id service, priority_level level,
                        std::optional<priority_level> lowest_waiting, time_point now);
    // Records that a request of `level` gets a slot while the highest level that still has queued
    // requests is `highest_waiting`.
    void record_admission(service_id service, priority_level level,
                          std::optional<priority_level> highest_waiting, time_point now);

    // Returns whether a request of a higher level than `level` was refused at the instant `now`.
    bool higher_level_refused(service_id service, priority_level level, time_point now) const;

    // Adds the recorded violations to `found`.
    void check(violations& found) const;

private:
    struct service_row {
        // The highest level refused at the instant `refused_at`.
        std::optional<priority_level> refused_level;
        time_point refused_at;
    };

    void add_violation(service_id service, priority_level seen, priority_level allowed);

    std::vector<service_row> rows;
    // The first violations since the start, max_recorded_violations at most.
    violations recorded_violations;
};

} // namespace bth::steering
