#include "bth/dispatch/host_count.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::host_count;

namespace {
constexpr time_point start{1h};
} // namespace

TEST_GROUP(host_count){};

// Two halves of the control hosts each know half of the entry hosts; with their own counts all
// hosts together would send twice what a cold target bears.
TEST(host_count, half_of_the_fleet_out_of_sight_still_counts)
{
    host_count count;
    count.take(start, 9, 8);
    count.take(start + 1s, 4, 3);
    LONGS_EQUAL(9, count.hosts());
    LONGS_EQUAL(8, count.rank());
}

TEST(host_count, hosts_that_stay_away_are_forgotten)
{
    host_count count;
    count.take(start, 9, 8);
    count.take(start + 20s, 4, 3);
    LONGS_EQUAL(4, count.hosts());
}

TEST(host_count, the_first_seconds_are_not_settled)
{
    host_count count;
    CHECK_FALSE(count.is_settled(start));
    count.take(start, 2, 0);
    CHECK_FALSE(count.is_settled(start + 3s));
    CHECK_TRUE(count.is_settled(start + 4s));
}
