// A token bucket (Turner 1986): limits events to an average rate and allows short bursts.
//
//   token_bucket bucket;
//   bucket.set(request_rate{50.0}, 2.0, now);
//   if (bucket.try_take(now)) { send(); }
#pragma once

#include "bth/base/time.h"
#include "bth/base/units.h"

#include <algorithm>

namespace bth::steering {

class token_bucket {
public:
    // Sets the refill rate and the capacity `burst`, in tokens. The first call fills the bucket;
    // later ones keep its tokens, up to the new capacity.
    void set(request_rate rate, double burst, time_point now)
    {
        const double kept = this->configured ? this->tokens_at(now) : burst;
        this->configured = true;
        this->rate = rate;
        this->burst = burst;
        this->tokens = std::min(kept, burst);
        this->updated_at = now;
    }

    // Returns whether try_take would succeed.
    bool has_token(time_point now) const { return this->tokens_at(now) >= 1.0; }

    // Removes one token. Returns false if less than one is left.
    bool try_take(time_point now)
    {
        const double available = this->tokens_at(now);
        if (available < 1.0) {
            return false;
        }
        this->tokens = available - 1.0;
        this->updated_at = std::max(now, this->updated_at);
        return true;
    }

private:
    double tokens_at(time_point now) const
    {
        const auto elapsed =
            std::chrono::duration<double>(std::max(now, this->updated_at) - this->updated_at);
        return std::min(this->burst, this->tokens + elapsed.count() * this->rate.value());
    }

    request_rate rate;
    double burst{};
    double tokens{};
    time_point updated_at;
    bool configured{};
};

} // namespace bth::steering
