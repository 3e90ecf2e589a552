#include "bth/dispatch/region_share.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::away_share;
using bth::dispatch::steady_share;

constexpr time_point start{1h};

} // namespace

TEST_GROUP(region_share){};

TEST(region_share, a_region_with_its_part_of_the_targets_keeps_its_objects)
{
    DOUBLES_EQUAL(0.0, away_share({30, 60, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, away_share({60, 30, 10, 30}), 1e-9);
    // Somewhat fewer targets than callers are borne.
    DOUBLES_EQUAL(0.0, away_share({24, 66, 10, 30}), 1e-9);
}

TEST(region_share, a_region_with_a_tenth_of_the_targets_sends_half_of_its_objects_away)
{
    DOUBLES_EQUAL(0.55, away_share({24, 216, 29, 87}), 0.01);
}

TEST(region_share, a_region_without_targets_sends_all_away_and_the_only_one_none)
{
    DOUBLES_EQUAL(1.0, away_share({0, 30, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, away_share({30, 0, 10, 30}), 1e-9);
    DOUBLES_EQUAL(0.0, away_share({0, 0, 10, 30}), 1e-9);
}

TEST(region_share, the_first_share_is_taken_at_once_and_later_ones_slowly)
{
    steady_share share;
    DOUBLES_EQUAL(0.5, share.move_to(start, 0.5), 1e-9);
    DOUBLES_EQUAL(0.48, share.move_to(start + 1s, 0.0), 1e-9);
    DOUBLES_EQUAL(0.49, share.move_to(start + 1500ms, 0.9), 1e-9);
}

// Two seconds are the window in which users count callers that change their region.
TEST(region_share, no_window_of_two_seconds_moves_more_than_a_third_of_the_cap)
{
    constexpr double cap = 0.15;
    steady_share share;
    share.move_to(start, 0.0);
    double before = 0.0;
    for (auto now = start; now < start + 30s; now += 2s) {
        const double next = share.move_to(now, 1.0);
        CHECK(next - before <= cap / 3);
        before = next;
    }
}
