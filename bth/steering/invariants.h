// Violations of the invariants that a node must satisfy at every instant. Tests and benchmarks fail
// if a check reports one.
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
    slots_exceeded,        // A target has more attempts in flight than slots or connections.
    slots_miscounted,      // The attempts counted at a target differ from the request table.
    queue_miscounted,      // The queue length differs from the queued requests in the table.
    queue_too_long,        // The queue is longer than its bound.
    priority_inverted,     // A lower class was admitted while a higher one waited or was refused.
    slot_left_idle,        // A request is queued although a target that it may use has a free slot.
    retry_budget_exceeded, // Retries exceed their allowed share of first attempts.
    hops_exceeded,         // A request was forwarded more often than max_hops.
    in_flight_promised,    // Own load plus outstanding grants exceeds the service's in-flight cap.
    rate_promised,         // Own rate plus granted rates exceeds the service's cap per second.
    link_promised,         // Granted bytes exceed the service's share of a link.
    shift_cap_exceeded,    // A window holds more shifts than the cap; found by shift_audit.
};
inline constexpr std::size_t violation_kind_count = 12;

// Returns the name of the enumerator, such as "priority_inverted".
std::string_view to_string(violation_kind kind);

struct violation {
    violation_kind kind{violation_kind::slots_exceeded};
    service_id service;
    // The observed number, and the maximum or exact number expected.
    std::uint64_t observed{};
    std::uint64_t allowed{};
};

using violations = std::vector<violation>;

} // namespace bth::steering
