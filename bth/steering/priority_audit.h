// Watches admissions and refusals for the rule that at no instant a lower class is admitted at a
// resource at which a higher one is being refused for lack of it.
//
//   priority_audit audit;
//   audit.refused(service, level, lowest_waiting, now);
//   audit.admitted(service, level, highest_waiting, now);
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
    void apply(std::size_t services, const model_map* change);

    // A request of `level` is refused for lack of room while the lowest level that still waits is
    // `lowest_waiting`.
    void refused(service_id service, priority_level level,
                 std::optional<priority_level> lowest_waiting, time_point now);
    // A request of `level` gets a slot while the highest level that still waits is
    // `highest_waiting`.
    void admitted(service_id service, priority_level level,
                  std::optional<priority_level> highest_waiting, time_point now);

    // Whether a higher level than `level` has been refused at this very instant.
    bool outranked(service_id service, priority_level level, time_point now) const;

    void check(violations& found) const;

private:
    struct row {
        // The highest level refused at the instant `refused_at`.
        std::optional<priority_level> refused_level;
        time_point refused_at;
    };

    void add_violation(service_id service, priority_level seen, priority_level allowed);

    std::vector<row> rows;
    // The first few violations since the start.
    violations seen_violations;
};

} // namespace bth::steering
