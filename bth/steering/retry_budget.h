// Limits retries to a share of the first attempts of the same service over a sliding window, so
// that many failures at the same time add at most that share to the load.
//
//   retry_budget budget;
//   budget.apply(model, nullptr);
//   budget.count_first_attempt(service, units_per_first_attempt, now);
//   if (budget.spend(service, now)) { retry(); }
//
// A request that passes several entry hosts is a single first attempt. Each of these hosts counts
// only a fraction of it, given by first_attempt_units; the fractions add up to one, so that the
// budgets of all hosts together stay within the share.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/invariants.h"
#include "bth/steering/model_map.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bth::steering {

// First attempts are counted in units of 1/8, so that halves, quarters and eighths stay exact.
inline constexpr std::uint64_t units_per_first_attempt = 8;

// Returns the units that a host counts for a first attempt. The request passed `hops` other entry
// hosts before; this host sends it to a target, or forwards it if `forwards` is set. The units of
// all hosts of a route add up to units_per_first_attempt.
constexpr std::uint64_t first_attempt_units(std::uint8_t hops, bool forwards)
{
    return units_per_first_attempt >> (hops + (forwards ? 1U : 0U));
}

class retry_budget {
public:
    // Takes the shares of the services from `model`. The counts of a service are kept if `change`
    // maps it to a service with the same share; `change` is nullptr for the first model.
    void apply(const config::model& model, const model_map* change);

    // Adds `units` of a first attempt to the window.
    void count_first_attempt(service_id service, std::uint64_t units, time_point now);
    // Counts a retry if the budget allows one more. Returns false if it doesn't.
    bool spend(service_id service, time_point now);

    // Adds a violation for every service whose retries exceed the share of all first attempts since
    // the share was set.
    void check(violations& found) const;

private:
    // The window advances by whole buckets.
    static constexpr std::size_t bucket_count = 10;
    static constexpr duration bucket_length = std::chrono::seconds{1};

    struct bucket {
        std::uint64_t first_attempts_in_units{};
        std::uint64_t retries{};
    };
    struct service_budget {
        double share{};
        std::array<bucket, bucket_count> buckets{};
        // Number of the newest bucket, counted from the epoch of the monotonic clock.
        std::int64_t newest_bucket_number{};
        // Sum of all buckets.
        bucket window;
        // Sum since the share was set.
        bucket total;
    };

    static void advance(service_budget& budget, time_point now);
    static bucket& newest_bucket(service_budget& budget);

    std::vector<service_budget> budgets;
};

} // namespace bth::steering
