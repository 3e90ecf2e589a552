// Limits repeats of requests to this host's part of a budget that all hosts share, over a sliding
// window.
//
//   retry_window window;
//   window.set({0.2, 58, 9}, std::chrono::seconds{10});
//   window.count_first(now);
//   if (window.spend(now)) { send_again(); }
#pragma once

#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bth::dispatch {

// The budget of a service: repeats up to `ratio` of its requests and `slack` more, in any window,
// for all `hosts` together.
struct retry_terms {
    double ratio{};
    double slack{};
    std::uint32_t hosts{1};
};

class retry_window {
public:
    void set(retry_terms next, duration length)
    {
        this->terms = next;
        this->length = length;
    }

    void count_first(time_point now)
    {
        this->expire(now);
        this->firsts.push_back(now);
    }

    // Takes one repeat out of the budget. False if this host's part is spent.
    bool spend(time_point now)
    {
        this->expire(now);
        // Hosts count their own requests only, and windows of the judge slide past ours: a part of
        // the ratio is left as a margin.
        constexpr double ratio_margin = 0.8;
        constexpr double slack_margin = 0.7;
        const double allowed =
            this->terms.ratio * ratio_margin * static_cast<double>(this->firsts.size()) +
            this->terms.slack * slack_margin / this->terms.hosts;
        if (static_cast<double>(this->repeats.size()) + 1.0 > allowed) {
            return false;
        }
        this->repeats.push_back(now);
        return true;
    }

private:
    void expire(time_point now)
    {
        for (auto* each : {&this->firsts, &this->repeats}) {
            while (!each->empty() && each->front() + this->length <= now) {
                each->pop_front();
            }
        }
    }

    retry_terms terms;
    duration length{std::chrono::seconds{10}};
    std::deque<time_point> firsts;
    std::deque<time_point> repeats;
};

} // namespace bth::dispatch
