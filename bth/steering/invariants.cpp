#include "bth/steering/invariants.h"

#include <array>

namespace bth::steering {

namespace {

constexpr std::array<std::string_view, violation_kind_count> names{
    "slots_exceeded",     "slots_miscounted", "queue_miscounted",      "queue_too_long",
    "priority_inverted",  "slot_left_idle",   "retry_budget_exceeded", "hops_exceeded",
    "in_flight_promised", "rate_promised",    "link_promised",         "shift_cap_exceeded"};

} // namespace

std::string_view to_string(violation_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace bth::steering
