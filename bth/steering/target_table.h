// The targets of an entry host's own failure domain: how much each one carries and which one takes
// the next request.
//
//   target_table targets;
//   targets.apply(model, own_domain, nullptr, now);
//   if (auto id = targets.choose(service, tried, now)) { targets.begin(*id, now); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"
#include "bth/steering/model_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bth::steering {

class target_table {
public:
    // Takes the targets of `domain` in `model`. What is known of a target stays if `change` maps it
    // to a new row; `change` is nullptr for the first model.
    void apply(const config::model& model, domain_id domain, const model_map* change);

    // The best target of `service` with a free slot that isn't in `avoid`, or nothing.
    std::optional<target_id> choose(service_id service, const std::vector<target_id>& avoid,
                                    time_point now) const;
    // A try at `target` begins or ends.
    void begin(target_id target, time_point now);
    void end(target_id target, const try_result& result, duration took, time_point now);

    std::uint32_t in_flight(target_id target) const;

private:
    struct row {
        target_id id;
        std::uint32_t slots{};
        std::uint32_t in_flight{};
    };

    row* find(target_id target);
    const row* find(target_id target) const;

    std::vector<row> rows;
    // Row numbers by service, and by target (no_row for targets of other domains).
    std::vector<std::vector<std::size_t>> by_service;
    std::vector<std::size_t> by_target;
};

} // namespace bth::steering
