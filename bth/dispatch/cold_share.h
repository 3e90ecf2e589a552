// Splits the rate that a cold target bears among the hosts that may send to it.
//
//   const auto mine = cold_share(limit_per_second, host_count, rank_of_this_host);
#pragma once

#include <algorithm>
#include <cstdint>

namespace bth::dispatch {

// The requests per second that this host may send to a cold target. All hosts know their number and
// rank each other alike for a target, so that the parts add up to no more than the limit.
constexpr std::uint32_t cold_share(double limit_per_second, std::uint32_t hosts, std::uint32_t rank)
{
    const auto whole = static_cast<std::uint32_t>(std::max(0.0, limit_per_second));
    const std::uint32_t count = std::max<std::uint32_t>(hosts, 1);
    return whole / count + (rank < whole % count ? 1 : 0);
}

} // namespace bth::dispatch
