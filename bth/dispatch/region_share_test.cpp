#include "bth/dispatch/region_share.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::rate_limited_share;
using bth::dispatch::wanted_remote_share;

constexpr time_point start{1h};

} // namespace

TEST_GROUP(region_share){};

TEST(region_share, is_zero_if_a_region_has_its_part_of_the_targets)
{
    DOUBLES_EQUAL(0.0, wanted_remote_share({30, 60, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, wanted_remote_share({60, 30, 10, 30}), 1e-9);
    // The headroom covers a slot share that is somewhat below the caller share.
    DOUBLES_EQUAL(0.0, wanted_remote_share({24, 66, 10, 30}), 1e-9);
}

// At twice the usual load such a region kept 45% of its objects on 10% of the slots, which were
// used for three quarters on average and mostly full, while the others were used for a half.
TEST(region_share,
     loads_a_region_with_a_tenth_of_the_slots_and_a_third_of_the_callers_like_the_others)
{
    const double share = wanted_remote_share({24, 216, 29, 87});
    const double own_load = (1.0 - share) * 29 / 24;
    const double other_load = (58 + share * 29) / 216;
    CHECK_TRUE(own_load <= 1.25 * other_load);
    CHECK_TRUE(own_load >= 0.8 * other_load);
}

TEST(region_share, is_one_without_own_targets_and_zero_without_targets_elsewhere)
{
    DOUBLES_EQUAL(1.0, wanted_remote_share({0, 30, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, wanted_remote_share({30, 0, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, wanted_remote_share({0, 0, 10, 30}), 1e-9);
}

TEST(region_share, first_value_is_taken_immediately_and_later_ones_are_approached_slowly)
{
    rate_limited_share share;
    DOUBLES_EQUAL(0.5, share.move_toward(start, 0.5), 1e-9);
    DOUBLES_EQUAL(0.48, share.move_toward(start + 1s, 0.0), 1e-9);
    DOUBLES_EQUAL(0.49, share.move_toward(start + 1500ms, 0.9), 1e-9);
}

// The users of the system limit the share of callers that change their region within any window of
// two seconds. Changes of the remote share must take no more than a third of that limit, because
// other changes add to them.
TEST(region_share, changes_by_at_most_a_third_of_the_limit_in_any_two_seconds)
{
    constexpr double change_limit = 0.15;
    rate_limited_share share;
    share.move_toward(start, 0.0);
    double before = 0.0;
    for (auto now = start; now < start + 30s; now += 2s) {
        const double after = share.move_toward(now, 1.0);
        CHECK(after - before <= change_limit / 3);
        before = after;
    }
}
