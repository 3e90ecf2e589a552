#include "bth/bench/best_assignment.h"
#include "bth/bench/runs.h"
#include "bth/bench/scenario.h"
#include "bth/bench/targets.h"
#include "bth/bench/testing/careless.h"

#include <cmath>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::bench;
using std::chrono::seconds;

// Read before the first test, so that no test seems to leak it.
const site ogunleye_site = load_site("ogunleye").value();

const site& ogunleye()
{
    return ogunleye_site;
}

run_plan short_plan(double load)
{
    run_plan plan;
    plan.load = load;
    plan.warm_up = seconds{1};
    plan.length = seconds{4};
    return plan;
}

std::uint64_t count_of(const outcome& from, rule which)
{
    return from.breaches.at(static_cast<std::size_t>(which)).count;
}

// How often the fault breaks the rule under a load of a third with half of the targets breaking
// connections.
std::uint64_t breaches_of(carelessness fault, rule which)
{
    run_plan plan = short_plan(0.3);
    for (std::uint32_t target = 0; target < ogunleye().model->targets.size(); target += 2) {
        plan.changes.push_back({seconds{1}, change_kind::target_breaks, target, 0.5});
    }
    return count_of(run_careless(ogunleye(), plan, fault), which);
}

} // namespace

// clang-format off
TEST_GROUP(bench_checks) {};
TEST_GROUP(bench_bounds) {};
TEST_GROUP(bench_histogram) {};
// clang-format on

TEST(bench_checks, faultless_decider_breaks_no_rule_of_answers)
{
    for (const rule which : {rule::one_run, rule::truthful, rule::one_answer, rule::own_answer,
                             rule::priority, rule::grants, rule::leaving}) {
        UNSIGNED_LONGS_EQUAL(0, breaches_of(carelessness::none, which));
    }
}

TEST(bench_checks, second_run_of_a_request_that_may_not_be_repeated_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::repeats_what_broke, rule::one_run) > 0);
}

TEST(bench_checks, false_word_of_not_run_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::says_not_run, rule::truthful) > 0);
}

TEST(bench_checks, missing_answer_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::never_answers, rule::one_answer) > 0);
}

TEST(bench_checks, second_answer_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::answers_twice, rule::one_answer) > 0);
}

TEST(bench_checks, answer_to_another_hosts_request_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::answers_another, rule::own_answer) > 0);
}

TEST(bench_checks, lower_class_that_keeps_its_place_while_a_higher_one_is_refused_is_seen)
{
    CHECK_TRUE(breaches_of(carelessness::keeps_order, rule::priority) > 0);
}

TEST(bench_checks, grants_over_the_cap_are_seen)
{
    CHECK_TRUE(breaches_of(carelessness::grants_too_much, rule::grants) > 0);
}

TEST(bench_checks, nearest_first_is_seen_to_break_slots_and_caps_in_a_surge)
{
    const outcome seen = run_plan_with("nearest_first", ogunleye(), short_plan(1.5));
    CHECK_TRUE(count_of(seen, rule::slots) > 0);
    CHECK_TRUE(count_of(seen, rule::in_flight_cap) > 0);
    CHECK_TRUE(count_of(seen, rule::rate_cap) > 0);
    CHECK_TRUE(seen.peaks.region > 1.0);
    CHECK_TRUE(seen.peaks.over_cap_samples > 0);
}

TEST(bench_checks, new_work_at_a_drained_domain_is_seen)
{
    run_plan plan = short_plan(0.3);
    plan.changes.push_back({seconds{1}, change_kind::drain_domain, 0, -1});
    CHECK_TRUE(count_of(run_plan_with("nearest_first", ogunleye(), plan), rule::leaving) > 0);
}

TEST(bench_checks, sudden_move_of_a_regions_traffic_is_seen)
{
    run_plan plan = short_plan(0.3);
    plan.length = seconds{16};
    plan.changes.push_back({seconds{12}, change_kind::domain_down, 0, 0});
    plan.changes.push_back({seconds{12}, change_kind::domain_down, 1, 0});
    const outcome seen = run_plan_with("nearest_first", ogunleye(), plan);
    CHECK_TRUE(count_of(seen, rule::shift_cap) > 0);
    CHECK_TRUE(seen.peaks.shift > 1.0);
}

TEST(bench_checks, link_over_its_cap_is_seen)
{
    auto thin = *ogunleye().model;
    for (config::link& each : thin.links) {
        each.cap = megabits_per_second(10);
    }
    const site place{"thin", std::make_shared<const config::model>(thin), ogunleye().delay};
    const outcome seen = run_plan_with("random_of_two", place, short_plan(0.3));
    CHECK_TRUE(count_of(seen, rule::link_cap) > 0);
    CHECK_TRUE(seen.peaks.link > 1.0);
}

TEST(bench_checks, same_plan_gives_the_same_run)
{
    run_plan plan = random_plan(*ogunleye().model, 3);
    plan.length = seconds{8};
    const outcome first = run_plan_with("steering", ogunleye(), plan);
    const outcome second = run_plan_with("steering", ogunleye(), plan);
    UNSIGNED_LONGS_EQUAL(first.requests, second.requests);
    UNSIGNED_LONGS_EQUAL(first.runs, second.runs);
    UNSIGNED_LONGS_EQUAL(first.messages, second.messages);
    CHECK_TRUE(first.latency.percentile(0.999) == second.latency.percentile(0.999));
}

TEST(bench_bounds, everything_is_served_below_full_load)
{
    DOUBLES_EQUAL(1.0, best_served_part(ogunleye(), short_plan(0.9)), 1e-9);
}

TEST(bench_bounds, nothing_above_full_load_is_served)
{
    site near = ogunleye();
    near.delay.within_domain = duration{};
    DOUBLES_EQUAL(0.5, best_served_part(near, short_plan(2.0)), 1e-9);
}

TEST(bench_bounds, no_more_moves_than_the_shift_cap_lets)
{
    run_plan plan = short_plan(0.5);
    plan.changes.push_back({seconds{0}, change_kind::domain_load, 0, 3.0});
    const double served = best_served_part(ogunleye(), plan);
    // Five domains at a half and one at three: one whole at home, two over, a quarter may move.
    CHECK_TRUE(served < 1.0);
    CHECK_TRUE(served > 3.5 / 5.5);
}

TEST(bench_histogram, percentiles_err_by_less_than_two_percent)
{
    histogram seen;
    for (int value = 1; value <= 100'000; ++value) {
        seen.add(std::chrono::microseconds{value});
    }
    for (const double part : {0.001, 0.5, 0.99, 0.999}) {
        const double found =
            std::chrono::duration<double, std::micro>(seen.percentile(part)).count();
        CHECK_TRUE(std::abs(found / (part * 100'000) - 1.0) < 0.02);
    }
}
