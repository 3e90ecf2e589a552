// What the accounts of shifts and the claims between domains share.
#pragma once

#include "bth/steering/shift_limiter.h"

#include <algorithm>

namespace bth::steering::internal {

inline constexpr std::size_t slices_per_quarter = shift_limiter::slices_per_window / 4;
// A claim older than this tells nothing of callers who come by themselves.
inline constexpr duration claim_fresh_for = std::chrono::seconds{3};
inline constexpr duration claim_interval = std::chrono::seconds{1};

inline double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// The rate at which the callers' home owes requests to the domain that made the claim.
inline double owed_rate(const shift_claim& claim, duration age)
{
    const double direct = age <= claim_fresh_for ? claim.direct.value() : 0.0;
    return std::max(0.0, claim.settled.value() - direct);
}

} // namespace bth::steering::internal
