#include "bth/fleet/agreement_lag.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::agreed_index;
using bth::fleet::agreement_lag;

constexpr time_point start{1h};

} // namespace

// clang-format off
TEST_GROUP(agreement_lag) {};
// clang-format on

TEST(agreement_lag, host_that_stands_still_is_behind_while_others_report_more)
{
    agreement_lag lag;
    constexpr agreed_index stopped_at{11};
    lag.record(start, stopped_at, stopped_at);
    CHECK_FALSE(lag.is_behind(start + 10s, stopped_at));
    // A change every 0.3 s, each reported by another host.
    for (std::uint64_t change = 1; change <= 10; ++change) {
        lag.record(start + change * 300ms, stopped_at, agreed_index{11 + change});
    }
    CHECK_FALSE(lag.is_behind(start + 300ms + agreement_lag::tolerance, stopped_at));
    CHECK_TRUE(lag.is_behind(start + 301ms + agreement_lag::tolerance, stopped_at));
    // Others repeat the newest index every second.
    for (int second = 4; second <= 60; ++second) {
        lag.record(start + second * 1s, stopped_at, agreed_index{21});
        CHECK_TRUE(lag.is_behind(start + second * 1s, stopped_at));
    }
    // It catches up, first with a part.
    lag.record(start + 61s, agreed_index{12}, agreed_index{21});
    CHECK_TRUE(lag.is_behind(start + 61s, agreed_index{12}));
    CHECK_FALSE(lag.is_behind(start + 61s, agreed_index{21}));
}

TEST(agreement_lag, host_that_is_seconds_late_in_a_series_of_changes_stays_behind)
{
    agreement_lag lag;
    // A change every 100 ms, which this host learns 3 s after the others.
    for (std::uint64_t step = 0; step < 2000; ++step) {
        const auto now = start + step * 10ms;
        const agreed_index newest{1 + step / 10};
        const agreed_index own{step < 300 ? 0 : 1 + (step - 300) / 10};
        lag.record(now, own, newest);
        LONGS_EQUAL(now - start > agreement_lag::tolerance, lag.is_behind(now, own));
    }
}

TEST(agreement_lag, report_that_nobody_repeats_is_forgotten)
{
    agreement_lag lag;
    constexpr agreed_index own{5};
    lag.record(start, own, agreed_index{1000});
    CHECK_TRUE(lag.is_behind(start + 1s, own));
    CHECK_FALSE(lag.is_behind(start + 4s, own));
    // Later reports don't bring the wrong one back.
    lag.record(start + 4s, own, agreed_index{6});
    CHECK_FALSE(lag.is_behind(start + 4s, own));
    CHECK_FALSE(lag.is_behind(start + 5s, agreed_index{6}));
}

TEST(agreement_lag, follower_a_little_behind_each_of_many_changes_is_not_behind)
{
    agreement_lag lag;
    // A change every 100 ms, which this host learns 150 ms after the others.
    for (std::uint64_t step = 0; step < 600; ++step) {
        const auto now = start + step * 10ms;
        const agreed_index newest{1 + step / 10};
        const agreed_index own{step < 15 ? 0 : 1 + (step - 15) / 10};
        lag.record(now, own, newest);
        CHECK_FALSE(lag.is_behind(now, own));
    }
}

TEST(agreement_lag, older_reports_count_for_nothing)
{
    agreement_lag lag;
    lag.record(start, agreed_index{5}, agreed_index{3});
    CHECK_FALSE(lag.is_behind(start + 10s, agreed_index{5}));
}
