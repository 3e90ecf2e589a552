// Splits the request rate that a cold target accepts among the hosts that may send to it.
//
//   const auto own_rate = cold_share(limit_per_second, host_count, rank_of_this_host);
#pragma once

#include <algorithm>
#include <cstdint>

namespace bth::dispatch {

// Returns the requests per second that this host may send to a cold target. The shares add up to no
// more than the limit if all hosts use the same `hosts` and each a different `rank` below it for
// the target.
constexpr std::uint32_t cold_share(double limit_per_second, std::uint32_t hosts, std::uint32_t rank)
{
    const auto whole_limit = static_cast<std::uint32_t>(std::max(0.0, limit_per_second));
    const std::uint32_t host_count = std::max<std::uint32_t>(hosts, 1);
    return whole_limit / host_count + (rank < whole_limit % host_count ? 1 : 0);
}

} // namespace bth::dispatch
