// A token bucket (Turner 1986): lets events pass at a rate, with short bursts.
//
//   token_bucket bucket;
//   bucket.set(request_rate{50.0}, 2.0, now);
//   if (bucket.try_take(now)) { pass(); }
#pragma once

#include "bth/base/time.h"
#include "bth/base/units.h"

#include <algorithm>

namespace bth::steering {

class token_bucket {
public:
    // Passes `rate` a second and at most `burst` at once from now on. A new bucket is full.
    void set(request_rate rate, double burst, time_point now)
    {
        const double kept = this->started ? this->level(now) : burst;
        this->started = true;
        this->rate = rate;
        this->burst = burst;
        this->tokens = std::min(kept, burst);
        this->filled = now;
    }

    bool has_token(time_point now) const { return this->level(now) >= 1.0; }

    bool try_take(time_point now)
    {
        const double left = this->level(now);
        if (left < 1.0) {
            return false;
        }
        this->tokens = left - 1.0;
        this->filled = std::max(now, this->filled);
        return true;
    }

private:
    double level(time_point now) const
    {
        const auto passed =
            std::chrono::duration<double>(std::max(now, this->filled) - this->filled);
        return std::min(this->burst, this->tokens + passed.count() * this->rate.value());
    }

    request_rate rate;
    double burst{};
    double tokens{};
    time_point filled;
    bool started{};
};

} // namespace bth::steering
