// Limits a host's retries to its part of a budget that all hosts share, over a sliding window.
//
//   retry_window window;
//   window.set({0.2, 58, 9}, std::chrono::seconds{10});
//   window.count_first_attempt(now);
//   if (window.try_spend(now)) { retry(); }
#pragma once

#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bth::dispatch {

// The retry budget of a service: in any window, all `host_count` hosts together may send `ratio`
// retries per first attempt and `slack` more.
struct retry_limits {
    double ratio{};
    double slack{};
    std::uint32_t host_count{1};
};

class retry_window {
public:
    // Replaces the budget and the length of the window; attempts counted so far stay counted.
    void set(retry_limits new_limits, duration new_length)
    {
        this->limits = new_limits;
        this->length = new_length;
    }

    void count_first_attempt(time_point now)
    {
        this->expire(now);
        this->first_attempts.push_back(now);
    }

    // Takes one retry out of the budget. Returns false if this host's part of the budget is used
    // up.
    bool try_spend(time_point now)
    {
        this->expire(now);
        // Each host counts only its own requests, and the windows over which the budget is checked
        // don't coincide with this host's, so a part of the budget is left unused as a margin.
        constexpr double used_part_of_ratio = 0.8;
        constexpr double used_part_of_slack = 0.7;
        const double allowed = this->limits.ratio * used_part_of_ratio *
                                   static_cast<double>(this->first_attempts.size()) +
                               this->limits.slack * used_part_of_slack / this->limits.host_count;
        if (static_cast<double>(this->retries.size()) + 1.0 > allowed) {
            return false;
        }
        this->retries.push_back(now);
        return true;
    }

private:
    // Removes attempts that are older than the window.
    void expire(time_point now)
    {
        for (auto* times : {&this->first_attempts, &this->retries}) {
            while (!times->empty() && times->front() + this->length <= now) {
                times->pop_front();
            }
        }
    }

    retry_limits limits;
    duration length{std::chrono::seconds{10}};
    std::deque<time_point> first_attempts;
    std::deque<time_point> retries;
};

} // namespace bth::dispatch
