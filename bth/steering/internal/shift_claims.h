// Constants and helpers for the counts of the shift limiter and for its claims between domains.
#pragma once

#include "bth/steering/shift_limiter.h"

#include <algorithm>

namespace bth::steering::internal {

inline constexpr std::size_t slices_per_quarter = shift_limiter::slices_per_window / 4;
// A claim older than this no longer tells at which rate callers reach the claiming domain directly.
inline constexpr duration direct_rate_max_age = std::chrono::seconds{3};
inline constexpr duration claim_interval = std::chrono::seconds{1};

inline double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// Returns the rate, in requests per second, at which the owner in the callers' home must forward
// requests to the domain that made the claim: the settled traffic less the requests that callers
// send there directly.
inline double forward_rate(const shift_claim& claim, duration age)
{
    const double direct = age <= direct_rate_max_age ? claim.direct.value() : 0.0;
    return std::max(0.0, claim.settled.value() - direct);
}

} // namespace bth::steering::internal
