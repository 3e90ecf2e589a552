// Limits retries to a share of the first tries of the same service over a sliding window, so that a
// storm of failures adds at most that share to the load.
//
//   retry_budget budget;
//   budget.apply(model, nullptr);
//   budget.count_first_try(service, whole_first_try, now);
//   if (budget.spend(service, now)) { try_again(); }
//
// A request that passes two entry hosts is one first try in all: each of them counts the part that
// first_try_part states, so that the budgets of all hosts together stay within the share.
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

// First tries are counted in parts of this many, so that halves stay exact.
inline constexpr std::uint64_t whole_first_try = 8;

// The part of a first try that counts at a host which the request reached after `hops` other entry
// hosts, and which sends it to a target or forwards it. The parts along a way add up to one.
constexpr std::uint64_t first_try_part(std::uint8_t hops, bool forwards)
{
    return whole_first_try >> (hops + (forwards ? 1U : 0U));
}

class retry_budget {
public:
    // Takes the shares of `model`; counts stay for services that `change` maps.
    void apply(const config::model& model, const model_map* change);

    void count_first_try(service_id service, std::uint64_t part, time_point now);
    // Takes one retry out of the budget. False if it is spent.
    bool spend(service_id service, time_point now);

    // Services whose retries exceed the share of all first tries since the share was set.
    void check(violations& found) const;

private:
    // The window moves by whole buckets.
    static constexpr std::size_t bucket_count = 10;
    static constexpr duration bucket_length = std::chrono::seconds{1};

    struct bucket {
        std::uint64_t first_parts{};
        std::uint64_t retries{};
    };
    struct row {
        double share{};
        std::array<bucket, bucket_count> buckets{};
        // Number of the newest bucket since the beginning of time.
        std::int64_t newest{};
        bucket window;
        bucket total;
    };

    static void advance(row& at, time_point now);
    static bucket& newest_bucket(row& at);

    std::vector<row> rows;
};

} // namespace bth::steering
