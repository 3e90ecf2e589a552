// Splits the request rate that a cold target accepts among the hosts that send to it.
//
//   const auto split = split_cold_rate(limit_per_second);
//   if (roster.is_sender(now, target, split.senders) && sent_in_last_second < split.per_sender) ...
#pragma once

#include <algorithm>
#include <cstdint>

namespace bth::dispatch {

struct cold_rate_split {
    // How many hosts send, and how many requests each of them in any second.
    std::uint32_t senders{};
    std::uint32_t per_sender{};
};

// Returns the split of the requests that a target accepts in any second. The limit holds even with
// one sender more than intended.
constexpr cold_rate_split split_cold_rate(double limit_per_second)
{
    constexpr std::uint32_t max_senders = 3;
    constexpr double max_limit = 1e6;
    const auto limit = static_cast<std::uint32_t>(std::clamp(limit_per_second, 0.0, max_limit));
    if (limit > max_senders) {
        return {max_senders, limit / (max_senders + 1)};
    }
    return {limit / 2 > 0 ? 1U : 0U, limit / 2};
}

} // namespace bth::dispatch
