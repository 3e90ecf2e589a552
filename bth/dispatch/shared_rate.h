// One sender's part of the request rate that a target accepts from all hosts together.
//
//   shared_rate rate;
//   rate.set(now, 1.5);
//   if (rate.wait(now) == duration{}) { rate.count(now); send(); }
//
// The parts are spaced: a sender that was idle saves up almost nothing, so that the senders of a
// small limit don't all send at once.
#pragma once

#include "bth/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bth::dispatch {

class shared_rate {
public:
    // The number of hosts that send to a target with a limit; each has the same part.
    static constexpr std::size_t senders = 3;
    // Limits are bounded by these, in requests per second. The lower one leaves a request now and
    // then, whose answer tells whether the limit still holds.
    static constexpr double min_limit = 0.05;
    static constexpr double max_limit = 1e6;

    // Sets the requests per second that the target accepts from all hosts together. The first
    // request of a new limit waits like any other, since the target has just got some.
    void set(time_point now, double per_second)
    {
        const double bounded = std::clamp(per_second, min_limit, max_limit);
        if (this->limit == bounded) {
            return;
        }
        const bool is_new = !this->limit.has_value();
        this->limit = bounded;
        const auto after_one = now + this->interval();
        this->next_at = is_new ? after_one : std::min(this->next_at, after_one);
    }
    void lift() { this->limit.reset(); }
    // Returns the limit of all hosts together; nullopt if there is none.
    const std::optional<double>& per_second() const { return this->limit; }

    // Returns how long this sender has to wait before its next request; 0 if it may send now, or if
    // there is no limit.
    duration wait(time_point now) const
    {
        return this->limit ? std::max<duration>(this->next_at - burst_time - now, {}) : duration{};
    }
    // Counts a request of this sender.
    void count(time_point now)
    {
        if (this->limit) {
            this->next_at = std::max(this->next_at, now) + this->interval();
        }
    }

private:
    // A sender may be early by this time, so that large limits allow for small bursts.
    static constexpr std::chrono::milliseconds burst_time{375};

    duration interval() const
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{static_cast<double>(senders) / *this->limit});
    }

    std::optional<double> limit;
    time_point next_at;
};

// Returns how long a host of another region than the target's, which is never a sender, leaves a
// target alone that named a limit. Then it sends one request, whose answer tells whether the limit
// still holds. All `hosts` together use a small part of the limit so, each in its turn by `rank`.
inline duration limit_probe_delay(double limit_per_second, std::uint32_t hosts, std::uint32_t rank)
{
    constexpr double probed_part_of_limit = 0.1;
    constexpr std::chrono::hours max_delay{24};
    const double limit =
        std::clamp(limit_per_second, shared_rate::min_limit, shared_rate::max_limit);
    const double turn = 1.0 / (probed_part_of_limit * limit);
    const std::chrono::duration<double> delay{turn * (std::max(hosts, 1U) + rank)};
    return std::chrono::duration_cast<duration>(
        std::min<std::chrono::duration<double>>(delay, max_delay));
}

} // namespace bth::dispatch
