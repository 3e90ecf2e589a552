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
    std::vector<target_id> nothing{};

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
    // Fills the target's free slots and ends all tries well, until `answers` have come.
    void serve(target_id target, std::uint32_t answers, duration took)
    {
        for (std::uint32_t served = 0; served < answers;) {
            const std::uint32_t batch = std::max(1U, this->targets.limit(target));
            for (std::uint32_t each = 0; each < batch; ++each) {
                this->targets.begin(target, this->now);
            }
            this->now += took;
            for (std::uint32_t each = 0; each < batch; ++each, ++served) {
                this->targets.end(target, end_of(1, try_outcome::answered), took, this->now);
            }
        }
    }
    void fail(target_id target, try_outcome outcome, int times)
    {
        for (int count = 0; count < times; ++count) {
            this->targets.begin(target, this->now);
            this->targets.end(target, end_of(1, outcome), 1ms, this->now);
        }
    }
    void pass(duration time)
    {
        this->now += time;
        this->targets.tick(this->now);
    }
    std::optional<target_id> choose(bool may_probe = true)
    {
        const target_query query{
            .service = web, .avoid = &this->nothing, .may_probe = may_probe, .patience = {}};
        return this->targets.choose(query);
    }
};
// clang-format on

TEST(target_table, never_more_tries_than_slots)
{
    for (int count = 0; count < 6; ++count) {
        targets.begin(choose().value(), now);
    }
    CHECK_FALSE(choose().has_value());
    CHECK_EQUAL(3, targets.in_flight(one));
    CHECK_EQUAL(3, targets.in_flight(two));
}

TEST(target_table, never_more_tries_than_connections)
{
    const auto thin = small_site({{R"("connections":330)", R"("connections":2)"}});
    const model_map change{*model, *thin};
    targets.apply(*thin, domain_a, &change, now);
    CHECK_EQUAL(2, targets.limit(one));
}

TEST(target_table, a_cold_target_gets_more_by_answers_not_by_time)
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

TEST(target_table, a_target_whose_reports_stop_gets_no_new_work_and_less_of_the_old)
{
    serve(one, 3, 5ms);
    pass(4s);
    CHECK_EQUAL(3, targets.limit(one));
    for (int period = 0; period < 4; ++period) {
        pass(5s);
    }
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 40, 5ms);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, a_target_whose_reports_stop_keeps_the_work_that_it_goes_on_proving)
{
    for (int second = 0; second < 60; ++second) {
        serve(one, 6, 5ms);
        pass(1s);
    }
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_target_that_never_reported_takes_one_try)
{
    target_table silent;
    silent.apply(*model, domain_a, nullptr, now);
    for (int count = 0; count < 100; ++count) {
        silent.begin(one, now);
        silent.end(one, end_of(1, try_outcome::answered), 5ms, now);
    }
    CHECK_EQUAL(1, silent.limit(one));
}

TEST(target_table, a_target_that_claims_to_be_fuller_than_seen_gets_less)
{
    pass(11s);
    pass(11s);
    targets.report({one, 2, 3, false}, now);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, a_false_claim_to_be_full_is_refuted_by_quick_answers)
{
    pass(11s);
    pass(11s);
    targets.report({one, 3, 3, false}, now);
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 64, 5ms);
    targets.report({one, 3, 3, false}, now);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_target_that_claims_to_be_idle_is_still_counted_full)
{
    for (int count = 0; count < 6; ++count) {
        targets.begin(choose().value(), now);
    }
    report_both(0);
    CHECK_FALSE(choose().has_value());
}

TEST(target_table, a_stuck_report_cannot_hide_that_a_target_sheds)
{
    auto shed = end_of(1, try_outcome::answered);
    shed.shed = true;
    for (int count = 0; count < 3; ++count) {
        targets.begin(one, now);
        targets.end(one, shed, 1ms, now);
        report_both(0);
    }
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose() == two);
}

TEST(target_table, a_leaving_target_gets_nothing)
{
    targets.report({one, 0, 3, true}, now);
    CHECK_EQUAL(0, targets.limit(one));
    CHECK_TRUE(choose() == two);
}

TEST(target_table, a_bad_target_is_ejected_and_comes_back_by_one_try)
{
    fail(one, try_outcome::connect_failed, 2);
    CHECK_EQUAL(0, targets.limit(one));
    pass(1s);
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose(false) == two);
    CHECK_TRUE(choose(true) == one);
    targets.begin(one, now);
    CHECK_TRUE(choose(true) == two);
    targets.end(one, end_of(1, try_outcome::answered), 5ms, now);
    report_both(0);
    CHECK_EQUAL(1, targets.limit(one));
    serve(one, 16, 5ms);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_failed_probe_makes_the_next_one_wait_longer)
{
    fail(one, try_outcome::connect_failed, 2);
    pass(1s);
    fail(one, try_outcome::connect_failed, 1);
    pass(1s);
    CHECK_EQUAL(0, targets.limit(one));
    pass(1s);
    CHECK_EQUAL(1, targets.limit(one));
}

TEST(target_table, never_all_are_ejected_because_all_look_bad)
{
    for (int round = 0; round < 10; ++round) {
        fail(one, try_outcome::broken, 8);
        fail(two, try_outcome::broken, 8);
    }
    CHECK_TRUE(choose(false).has_value());
}

TEST(target_table, a_target_that_breaks_now_and_then_keeps_its_slots)
{
    for (int round = 0; round < 20; ++round) {
        fail(one, try_outcome::broken, 1);
        serve(one, 5, 5ms);
    }
    report_both(0);
    CHECK_EQUAL(3, targets.limit(one));
}

TEST(target_table, a_target_that_breaks_every_other_try_takes_one_at_a_time)
{
    for (int round = 0; round < 20; ++round) {
        fail(one, try_outcome::broken, 1);
        serve(one, 1, 5ms);
        report_both(0);
    }
    CHECK_EQUAL(1, targets.limit(one));
    CHECK_TRUE(choose() == two);
}

TEST(target_table, tries_of_a_former_owner_take_slots)
{
    targets.set_handed(one, 2);
    targets.set_handed(two, 3);
    targets.begin(choose().value(), now);
    CHECK_FALSE(choose().has_value());
    targets.set_handed(one, 0);
    CHECK_TRUE(choose() == one);
}

TEST(target_table, a_slow_target_is_left_out_until_waiting_costs_more)
{
    serve(one, 40, 100ms);
    report_both(0);
    for (int count = 0; count < 3; ++count) {
        targets.begin(choose().value(), now);
    }
    CHECK_EQUAL(3, targets.in_flight(two));
    CHECK_FALSE(choose().has_value());
    const target_query patient{
        .service = web, .avoid = &nothing, .may_probe = true, .patience = 200ms};
    CHECK_TRUE(targets.choose(patient) == one);
}
