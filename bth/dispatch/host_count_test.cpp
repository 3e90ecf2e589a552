#include "bth/dispatch/host_count.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::host_count_tracker;

namespace {
constexpr time_point start{1h};
} // namespace

TEST_GROUP(host_count_tracker){};

// A network partition leaves two groups of control hosts that each know half of the entry hosts. If
// the entry hosts used these smaller counts, all of them together would send twice the rate that a
// cold target accepts.
TEST(host_count_tracker, partitioned_half_of_the_fleet_stays_counted)
{
    host_count_tracker tracker;
    tracker.update(start, 9, 8);
    tracker.update(start + 1s, 4, 3);
    LONGS_EQUAL(9, tracker.hosts());
    LONGS_EQUAL(8, tracker.rank());
}

TEST(host_count_tracker, smaller_count_is_used_after_the_retention_time)
{
    host_count_tracker tracker;
    tracker.update(start, 9, 8);
    tracker.update(start + 20s, 4, 3);
    LONGS_EQUAL(4, tracker.hosts());
}

TEST(host_count_tracker, is_not_settled_in_the_first_seconds)
{
    host_count_tracker tracker;
    CHECK_FALSE(tracker.is_settled(start));
    tracker.update(start, 2, 0);
    CHECK_FALSE(tracker.is_settled(start + 3s));
    CHECK_TRUE(tracker.is_settled(start + 4s));
}
