#include "bth/steering/target_table.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

} // namespace

// clang-format off
TEST_GROUP(target_table)
{
    std::shared_ptr<const config::model> model{small_site()};
    target_table targets;
    time_point now{10s};
    target_id one{0};
    target_id two{1};
    std::vector<target_id> no_targets{};

    void setup() override
    {
        this->targets.apply(*this->model, domain_a, nullptr, this->now);
        this->report_both(0);
        this->serve(this->one, 40, 5ms);
        this->serve(this->two, 40, 5ms);
        this->report_both(0);
    }
    void report_both(std::uint32_t in_flight)
    {
        this->targets.report({this->one, in_flight, 3, false}, this->now);
        this->targets.report({this->two, in_flight, 3, false}, this->now);
    }
    // Fills the target's free slots with successful attempts, until it has given `answers`.
    void serve(target_id target, std::uint32_t answers, duration took)
    {
        for (std::uint32_t served = 0; served < answers;) {
            const std::uint32_t batch = std::max(1U, this->targets.limit(target));
            for (std::uint32_t each = 0; each < batch; ++each) {
                this->targets.begin_attempt(target, this->now);
            }
            this->now += took;
            for (std::uint32_t each = 0; each < batch; ++each, ++served) {
                this->targets.end_attempt(target, result_of(1, attempt_outcome::answered), took,
                                          this->now);
            }
        }
    }
    void fail(target_id target, attempt_outcome outcome, int times)
    {
        for (int count = 0; count < times; ++count) {
            this->targets.begin_attempt(target, this->now);
            this->targets.end_attempt(target, result_of(1, outcome), 1ms, this->now);
        }
    }
    void advance_time(duration time)
    {
        this->now += time;
        this->targets.tick(this->now);
    }
    std::optional<target_id> choose(bool may_probe = true)
    {
        const target_query query{
            .service = web, .avoid = &this->no_targets, .may_probe = may_probe, .queue_wait = {}};
        return this->targets.choose(query);
    }
};
// clang-format on

TEST(target_table, never_more_attempts_than_slots)
{
    for (int count = 0; count < 6; ++count) {
        targets.begin_attempt(choose().value(), now);
    }
    CHECK_FALSE(choose().has_value());
    CHECK_EQUAL(3, targets.in_flight(one));
    CHECK_EQUAL(3, targets.in_flight(two));
}

TEST(target_table, never_more_attempts_than_connections)
{
    const auto few_connections = small_site({{R"("connections":330)", R"("connections":2)"}});
    const model_map change{*model, *few_connections};
    targets.apply(*few_connections, domain_a, &change, now);
    CHECK_EQUAL(2, targets.limit(one));
}

TEST(target_table, the_ramp_of_a_cold_target_grows_with_answers_and_not_with_time)
{
    target_table cold;
    cold.apply(*model, domain_a, nullptr, now);
    now += 1h;
    cold.report({one, 0, 3, false}, now);
    CHECK_EQUAL(1, cold.limit(one));
    targets.set_closed(one, true, now);
    targets.set_closed(one, false, now);
    report_both(0);
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 8, 5ms);
    CHECK_EQUAL(2, targets.limit(one));
}

TEST(target_table, the_limit_of_a_target_without_reports_shrinks_and_does_not_grow)
{
    serve(one, 3, 5ms);
    advance_time(4s);
    CHECK_EQUAL(3, targets.limit(one));
    for (int period = 0; period < 4; ++period) {
        advance_time(5s);
    }
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 40, 5ms);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, a_target_without_reports_keeps_the_limit_that_good_answers_prove)
{
    for (int second = 0; second < 60; ++second) {
        serve(one, 6, 5ms);
        advance_time(1s);
    }
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_target_that_never_reported_takes_one_attempt)
{
    target_table silent;
    silent.apply(*model, domain_a, nullptr, now);
    for (int count = 0; count < 100; ++count) {
        silent.begin_attempt(one, now);
        silent.end_attempt(one, result_of(1, attempt_outcome::answered), 5ms, now);
    }
    CHECK_EQUAL(1, silent.limit(one));
}

TEST(target_table, reporting_more_load_than_this_host_sent_lowers_the_limit)
{
    advance_time(11s);
    advance_time(11s);
    targets.report({one, 2, 3, false}, now);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, fast_answers_refute_a_false_report_of_full_load)
{
    advance_time(11s);
    advance_time(11s);
    targets.report({one, 3, 3, false}, now);
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 64, 5ms);
    targets.report({one, 3, 3, false}, now);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_report_of_no_load_does_not_free_slots_in_use)
{
    for (int count = 0; count < 6; ++count) {
        targets.begin_attempt(choose().value(), now);
    }
    report_both(0);
    CHECK_FALSE(choose().has_value());
}

TEST(target_table, a_constant_report_of_no_load_does_not_hide_that_a_target_sheds_load)
{
    auto shed = result_of(1, attempt_outcome::answered);
    shed.shed = true;
    for (int count = 0; count < 3; ++count) {
        targets.begin_attempt(one, now);
        targets.end_attempt(one, shed, 1ms, now);
        report_both(0);
    }
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose() == two);
}

TEST(target_table, a_leaving_target_gets_no_requests)
{
    targets.report({one, 0, 3, true}, now);
    CHECK_EQUAL(0, targets.limit(one));
    CHECK_TRUE(choose() == two);
}

TEST(target_table, an_unhealthy_target_is_ejected_and_returns_after_one_good_probe)
{
    fail(one, attempt_outcome::connect_failed, 2);
    CHECK_EQUAL(0, targets.limit(one));
    advance_time(1s);
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose(false) == two);
    CHECK_TRUE(choose(true) == one);
    targets.begin_attempt(one, now);
    CHECK_TRUE(choose(true) == two);
    targets.end_attempt(one, result_of(1, attempt_outcome::answered), 5ms, now);
    report_both(0);
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 16, 5ms);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_failed_probe_doubles_the_ejection_time)
{
    fail(one, attempt_outcome::connect_failed, 2);
    advance_time(1s);
    fail(one, attempt_outcome::connect_failed, 1);
    advance_time(1s);
    CHECK_EQUAL(0, targets.limit(one));
    advance_time(1s);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, not_all_targets_are_ejected_although_all_look_unhealthy)
{
    for (int round = 0; round < 10; ++round) {
        fail(one, attempt_outcome::broken, 8);
        fail(two, attempt_outcome::broken, 8);
    }
    CHECK_TRUE(choose(false).has_value());
}

TEST(target_table, a_target_with_occasional_failures_keeps_its_slots)
{
    for (int round = 0; round < 20; ++round) {
        fail(one, attempt_outcome::broken, 1);
        serve(one, 5, 5ms);
    }
    report_both(0);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_target_that_fails_every_other_attempt_takes_one_at_a_time)
{
    for (int round = 0; round < 20; ++round) {
        fail(one, attempt_outcome::broken, 1);
        serve(one, 1, 5ms);
        report_both(0);
    }
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose() == two);
    // While the other target is full, only repeatable requests go to the unreliable one.
    for (int count = 0; count < 3; ++count) {
        targets.begin_attempt(two, now);
    }
    CHECK_FALSE(choose(false).has_value());
    CHECK_TRUE(choose(true) == one);
}

TEST(target_table, attempts_of_a_former_owner_use_slots)
{
    targets.set_former_owner_attempts(one, 2);
    targets.set_former_owner_attempts(two, 3);
    targets.begin_attempt(choose().value(), now);
    CHECK_FALSE(choose().has_value());
    targets.set_former_owner_attempts(one, 0);
    CHECK_TRUE(choose() == one);
}

TEST(target_table, a_slow_target_is_chosen_only_when_queueing_takes_longer)
{
    serve(one, 40, 100ms);
    report_both(0);
    for (int count = 0; count < 3; ++count) {
        targets.begin_attempt(choose().value(), now);
    }
    CHECK_EQUAL(3, targets.in_flight(two));
    CHECK_FALSE(choose().has_value());
    const target_query long_queue{
        .service = web, .avoid = &no_targets, .may_probe = true, .queue_wait = 200ms};
    CHECK_TRUE(targets.choose(long_queue) == one);
}
