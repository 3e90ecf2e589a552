#include "bth/dispatch/testing/region_replay.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

using namespace std::chrono_literals;
using bth::dispatch::fractional_ms;
using bth::dispatch::testing::region_load;
using bth::dispatch::testing::replay;

// Seconds after which every object has met its target at least once.
constexpr std::size_t warmed_up = 6;

// 90 hosts, 201 targets and 233 objects of long work: by chance, some targets are first for no
// object, others for five. Each host sees a target about once in 30 seconds.
region_load few_objects_per_target(double requests_per_second)
{
    region_load load;
    load.targets = 201;
    load.objects = 233;
    load.length = 16s;
    load.requests_per_second = requests_per_second;
    load.surge_requests_per_second = requests_per_second;
    return load;
}

// 165 targets and 476 objects of short work.
region_load three_objects_per_target(double requests_per_second)
{
    region_load load;
    load.targets = 165;
    load.objects = 476;
    load.warm_work = fractional_ms{168};
    load.cold_work = fractional_ms{672};
    load.objective = fractional_ms{400};
    load.timeout = fractional_ms{1000};
    load.requests_per_second = requests_per_second;
    load.surge_requests_per_second = requests_per_second;
    return load;
}

// The mean share in time over several seeds, once everything is warm.
double mean_share_in_time(region_load load)
{
    constexpr std::uint64_t seeds = 3;
    double sum = 0;
    for (load.seed = 1; load.seed <= seeds; ++load.seed) {
        sum += replay(load).share_in_time(warmed_up);
    }
    return sum / static_cast<double>(seeds);
}

} // namespace

// clang-format off
TEST_GROUP(region_replay)
{
    // The leak detector takes minutes for the millions of allocations of a replay.
    void setup() override { MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads(); }
    void teardown() override { MemoryLeakWarningPlugin::restoreNewDeleteOverloads(); }
};
// clang-format on

TEST(region_replay, nine_of_ten_requests_are_in_time_at_the_usual_load_although_objects_are_uneven)
{
    CHECK_TRUE(mean_share_in_time(few_objects_per_target(336)) >= 0.9);
    CHECK_TRUE(mean_share_in_time(three_objects_per_target(686)) >= 0.9);
}

// Nearly twice the usual load: all slots together are used for 42% if every request is warm, but a
// target that is first for three objects can't serve them alone.
TEST(region_replay, three_of_four_requests_are_in_time_at_peak_load_although_objects_are_uneven)
{
    CHECK_TRUE(mean_share_in_time(few_objects_per_target(620)) >= 0.75);
    CHECK_TRUE(mean_share_in_time(three_objects_per_target(1270)) >= 0.75);
}

// 50% more callers come at once, when everything is warm.
TEST(region_replay, three_of_four_requests_are_in_time_in_a_surge)
{
    auto load = few_objects_per_target(336);
    load.surge_requests_per_second = 504;
    load.surge_from = 8s;
    load.length = 12s;
    CHECK_TRUE(replay(load).share_in_time(8) >= 0.75);
}
