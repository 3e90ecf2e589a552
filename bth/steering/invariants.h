// What must hold in a node at every instant, as typed violations that tests and benches look for.
//
//   for (const violation& each : core.check_invariants()) { report(to_string(each.kind)); }
#pragma once

#include "bth/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bth::steering {

enum class violation_kind : std::uint8_t {
    slots_exceeded,        // More tries at a target than its slots or connections.
    slots_miscounted,      // The tries counted at a target aren't those of the request table.
    queue_miscounted,      // The queue and the request table disagree about who waits.
    queue_too_long,        // More requests wait than the bound of the queue allows.
    priority_inverted,     // A lower class was admitted while a higher one waited or was refused.
    slot_left_idle,        // A request waits although a target that it may use has a free slot.
    retry_budget_exceeded, // More retries than the share of first tries.
    hops_exceeded,         // A request was forwarded more often than max_hops.
    in_flight_promised,    // Own load and outstanding grants exceed the part of the in-flight cap.
    rate_promised,         // The same for requests per second.
    link_promised,         // Granted bytes exceed the part of a link.
    shift_cap_exceeded,    // A window holds more shifts than the cap; found by shift_audit.
};
inline constexpr std::size_t violation_kind_count = 12;

// The fixed name, such as "priority_inverted".
std::string_view to_string(violation_kind kind);

struct violation {
    violation_kind kind{violation_kind::slots_exceeded};
    service_id service;
    // What was seen, and the most or the exact number that is right.
    std::uint64_t observed{};
    std::uint64_t allowed{};
};

using violations = std::vector<violation>;

} // namespace bth::steering
