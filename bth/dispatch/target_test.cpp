#include "bth/dispatch/target.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::fractional_ms;
using bth::dispatch::load_report;
using bth::dispatch::send_outcome;
using bth::dispatch::target;

target make_target()
{
    return target{{"t1", "orders", {}, "north", 3, false, {}}};
}

constexpr time_point start{1h};

} // namespace

TEST_GROUP(dispatch_target){};

TEST(dispatch_target, two_failures_in_a_row_eject_and_a_success_takes_it_back)
{
    auto row = make_target();
    row.begin(start, 0);
    row.end(start, send_outcome::broken, 1ms, 1ms, {});
    CHECK_FALSE(row.is_ejected(start));
    row.begin(start, 0);
    row.end(start, send_outcome::timed_out, 1ms, 1ms, {});
    CHECK_TRUE(row.is_ejected(start));
    CHECK_FALSE(row.is_ejected(start + 600ms));
    CHECK_TRUE(row.on_trial(start + 600ms));
    row.begin(start + 600ms, 0);
    row.end(start + 700ms, send_outcome::answered, 1ms, 1ms, {});
    CHECK_FALSE(row.on_trial(start + 700ms));
}

TEST(dispatch_target, each_further_failure_doubles_the_ejection_up_to_a_bound)
{
    auto row = make_target();
    for (int each = 0; each < 20; ++each) {
        row.begin(start, 0);
        row.end(start, send_outcome::not_reached, 1ms, 1ms, {});
    }
    CHECK_TRUE(row.is_ejected(start + 3900ms));
    CHECK_FALSE(row.is_ejected(start + 4s));
}

TEST(dispatch_target, a_caller_that_leaves_says_nothing_about_the_target)
{
    auto row = make_target();
    for (int each = 0; each < 5; ++each) {
        row.begin(start, 0);
        row.end(start, send_outcome::abandoned, 1ms, 1ms, {});
    }
    CHECK_FALSE(row.is_ejected(start));
    LONGS_EQUAL(0, row.in_flight());
}

TEST(dispatch_target, the_report_of_others_requests_fades_to_their_mean)
{
    auto row = make_target();
    row.begin(start, 0);
    row.end(start, send_outcome::answered, 1ms, 1ms, load_report{3, 2, 3});
    // Of the five, one was this host's own.
    DOUBLES_EQUAL(4.0, row.occupancy(start), 0.01);
    CHECK(row.occupancy(start + 300ms) < 2.5);
    DOUBLES_EQUAL(0.4, row.occupancy(start + 1h), 0.01);
}

TEST(dispatch_target, knows_the_objects_it_was_sent_lately)
{
    auto row = make_target();
    row.begin(start, 7);
    CHECK_TRUE(row.knows(7));
    for (bth::dispatch::object_key other = 100; other < 200; ++other) {
        row.begin(start, other);
    }
    CHECK_FALSE(row.knows(7));
}

TEST(dispatch_target, counts_the_requests_of_the_last_second)
{
    auto row = make_target();
    row.begin(start, 0);
    row.begin(start + 500ms, 0);
    LONGS_EQUAL(2, row.sent_lately(start + 999ms));
    LONGS_EQUAL(1, row.sent_lately(start + 1s));
}

TEST(dispatch_target, stays_cold_as_long_as_the_longest_word_says)
{
    auto row = make_target();
    row.update(start, {"t1", "orders", {}, "north", 3, false, 2s});
    row.assume_cold(start + 1s);
    CHECK_TRUE(row.is_cold(start + 1999ms));
    CHECK_FALSE(row.is_cold(start + 2s));
}
