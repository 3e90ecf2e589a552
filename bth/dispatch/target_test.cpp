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

TEST(dispatch_target, two_consecutive_failures_eject_and_an_answer_ends_the_penalty)
{
    auto tested = make_target();
    tested.begin_request(start, 0);
    tested.end_request(start, send_outcome::broken, 1ms, 1ms, {});
    CHECK_FALSE(tested.is_ejected(start));
    tested.begin_request(start, 0);
    tested.end_request(start, send_outcome::timed_out, 1ms, 1ms, {});
    CHECK_TRUE(tested.is_ejected(start));
    CHECK_FALSE(tested.is_ejected(start + 600ms));
    CHECK_TRUE(tested.is_penalized(start + 600ms));
    tested.begin_request(start + 600ms, 0);
    tested.end_request(start + 700ms, send_outcome::answered, 1ms, 1ms, {});
    CHECK_FALSE(tested.is_penalized(start + 700ms));
}

TEST(dispatch_target, each_further_failure_doubles_the_ejection_up_to_a_maximum)
{
    auto tested = make_target();
    for (int attempt = 0; attempt < 20; ++attempt) {
        tested.begin_request(start, 0);
        tested.end_request(start, send_outcome::not_reached, 1ms, 1ms, {});
    }
    CHECK_TRUE(tested.is_ejected(start + 3900ms));
    CHECK_FALSE(tested.is_ejected(start + 4s));
}

TEST(dispatch_target, abandoned_requests_do_not_count_as_failures)
{
    auto tested = make_target();
    for (int attempt = 0; attempt < 5; ++attempt) {
        tested.begin_request(start, 0);
        tested.end_request(start, send_outcome::abandoned, 1ms, 1ms, {});
    }
    CHECK_FALSE(tested.is_ejected(start));
    LONGS_EQUAL(0, tested.in_flight());
}

TEST(dispatch_target, reported_requests_of_other_hosts_decay_to_their_mean)
{
    auto tested = make_target();
    tested.begin_request(start, 0);
    tested.end_request(start, send_outcome::answered, 1ms, 1ms, load_report{3, 2, 3});
    // One of the five reported requests was this host's own.
    DOUBLES_EQUAL(4.0, tested.occupancy(start), 0.01);
    CHECK(tested.occupancy(start + 300ms) < 2.5);
    DOUBLES_EQUAL(0.4, tested.occupancy(start + 1h), 0.01);
}

// One of 90 hosts of a region sends to each of 200 targets once in half a minute. A target that is
// crowded by chance stays so, and one report has to do.
TEST(dispatch_target, a_single_report_is_remembered_until_it_is_old)
{
    auto tested = make_target();
    tested.begin_request(start, 0);
    tested.end_request(start, send_outcome::answered, 1ms, 1ms, load_report{3, 2, 3});
    CHECK(tested.usual_occupancy(start + 5s) > 3.0);
    tested.begin_request(start + 30s, 0);
    tested.end_request(start + 30s, send_outcome::answered, 1ms, 1ms, load_report{1, 0, 3});
    CHECK(tested.usual_occupancy(start + 35s) < 0.5);
}

TEST(dispatch_target, a_target_that_was_crowded_is_tried_again)
{
    auto tested = make_target();
    tested.begin_request(start, 0);
    tested.end_request(start, send_outcome::answered, 1ms, 1ms, load_report{3, 2, 3});
    CHECK(tested.usual_occupancy(start + 40s) < 1.0);
}

TEST(dispatch_target, has_only_the_objects_of_recent_requests)
{
    auto tested = make_target();
    tested.begin_request(start, 7);
    CHECK_TRUE(tested.has_recent_object(7));
    for (bth::dispatch::object_key other = 100; other < 200; ++other) {
        tested.begin_request(start, other);
    }
    CHECK_FALSE(tested.has_recent_object(7));
}

TEST(dispatch_target, counts_the_sends_of_the_last_second)
{
    auto tested = make_target();
    tested.begin_request(start, 0);
    tested.begin_request(start + 500ms, 0);
    LONGS_EQUAL(2, tested.sends_in_last_second(start + 999ms));
    LONGS_EQUAL(1, tested.sends_in_last_second(start + 1s));
}

TEST(dispatch_target, stays_cold_until_the_latest_of_several_end_times)
{
    auto tested = make_target();
    tested.update(start, {"t1", "orders", {}, "north", 3, false, 2s});
    tested.assume_cold(start + 1s);
    CHECK_TRUE(tested.is_cold(start + 1999ms));
    CHECK_FALSE(tested.is_cold(start + 2s));
}
