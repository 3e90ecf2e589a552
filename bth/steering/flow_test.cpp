#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

} // namespace

// clang-format off
TEST_GROUP(flow)
{
    std::shared_ptr<const config::model> model{small_site()};
    node core{{.host_name = "a1", .life = incarnation{1}, .seed = 7}};
    time_point now{10s};

    void setup() override
    {
        this->core.apply(this->model, revision{1}, {this->now, {}});
        settle(this->core, this->now);
        warm_up(this->core, *this->model, this->now);
    }
    void teardown() override { CHECK_EQUAL(0, this->core.check_invariants().size()); }

    // Takes all six slots of "web" by requests 1 to 6.
    void fill_slots()
    {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            const auto out = this->core.arrive(request_of(id, gold, this->now), this->now);
            CHECK_EQUAL(1, all_of<send_to_target>(out).size());
        }
    }
    // Another request of an own caller. No grant is held, so it can't go to a fallback.
    arrival another(std::uint64_t id, class_id caller_class)
    {
        return request_of(id, caller_class, this->now);
    }
    // The same request as from another failure domain, which has a grant.
    arrival foreign(std::uint64_t id, class_id caller_class)
    {
        auto request = request_of(id, caller_class, this->now);
        request.forwarded_by = config::find_host(*this->model, "b1");
        request.hops = 1;
        grant_room(this->core, *request.forwarded_by, id, this->now);
        return request;
    }
    // Lets the node ask domain "b" for room and gives it plenty.
    void hold_grant()
    {
        cool_down(this->core, *this->model, this->now);
        for (std::uint64_t id = 1000; id < 1120; ++id) {
            this->core.arrive(this->another(id, gold), this->now);
        }
        for (std::uint64_t id = 1000; id < 1120; ++id) {
            this->core.finished(end_of(id, try_outcome::cancelled), this->now);
        }
        this->now += tick_interval;
        for (const send_message& each : all_of<send_message>(this->core.tick({this->now, {}}))) {
            if (const auto* request = std::get_if<grant_request>(&each.message)) {
                const granted_room room{web, request_rate{1000.0}, 10, {}, {}};
                this->core.receive(each.to,
                                   capacity_grant{this->model->at(each.to).domain, domain_a,
                                                  request->life, request->sequence, 1s, {room},
                                                  {}},
                                   this->now);
            }
        }
    }
};
// clang-format on

TEST(flow, a_request_is_sent_to_a_target_of_its_service)
{
    const auto sent = all_of<send_to_target>(core.arrive(request_of(1, gold, now), now));
    CHECK_EQUAL(1, sent.size());
    CHECK_TRUE(model->at(sent.front().target).service == web);
    CHECK_TRUE(model->at(sent.front().target).domain == domain_a);
}

TEST(flow, an_own_request_goes_to_a_fallback_under_a_grant_and_a_foreign_one_never)
{
    hold_grant();
    fill_slots();
    std::size_t forwarded = 0;
    for (std::uint64_t id = 100; id < 120; ++id) {
        forwarded += all_of<forward_to_host>(core.arrive(another(id, gold), now)).size();
    }
    CHECK_TRUE(forwarded > 0);
    for (std::uint64_t id = 200; id < 300; ++id) {
        CHECK_EQUAL(0, all_of<forward_to_host>(core.arrive(foreign(id, gold), now)).size());
    }
}

TEST(flow, a_full_domain_forwards_nothing_without_a_grant)
{
    fill_slots();
    for (std::uint64_t id = 100; id < 200; ++id) {
        CHECK_EQUAL(0, all_of<forward_to_host>(core.arrive(another(id, gold), now)).size());
    }
}

TEST(flow, a_request_from_another_domain_without_a_grant_is_refused_as_not_run)
{
    auto request = foreign(1, gold);
    request.forwarded_by = config::find_host(*model, "c1");
    const auto refused = all_of<refuse>(core.arrive(request, now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::grant_missing);
    CHECK_TRUE(refused.front().run == run_state::no);
}

TEST(flow, a_host_that_does_not_own_the_targets_admits_nothing)
{
    node other{{.host_name = "a1", .life = incarnation{1}, .seed = 7}};
    other.apply(model, revision{1}, {now, {}});
    const auto out = other.arrive(request_of(1, gold, now), now);
    CHECK_EQUAL(0, all_of<send_to_target>(out).size());
}

TEST(flow, slots_of_requests_in_flight_stay_taken_when_ids_change)
{
    fill_slots();
    const auto next =
        small_site({{R"("targets":[)",
                     R"("targets":[{"name":"first","service":"shop","failure_domain":"a",
                        "http":"127.2.0.1:80","slots":3,"connections":330},)"}});
    core.apply(next, revision{2}, {now, {}});
    CHECK_EQUAL(0, all_of<send_to_target>(core.arrive(another(7, gold), now)).size());
    CHECK_EQUAL(0, core.check_invariants().size());
    const auto out = core.finished(end_of(1, try_outcome::answered), now);
    CHECK_EQUAL(1, all_of<send_to_target>(out).size());
}

TEST(flow, a_waiting_request_of_a_service_that_goes_gets_its_final_answer)
{
    fill_slots();
    core.arrive(another(7, gold), now);
    const auto next = small_site(
        {{R"("name":"web")", R"("name":"site")"}, {R"("service":"web")", R"("service":"site")"}});
    const auto refused = all_of<refuse>(core.apply(next, revision{2}, {now, {}}));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::unknown_service);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        core.finished(end_of(id, try_outcome::answered), now);
    }
    CHECK_EQUAL(0, core.in_flight());
}

TEST(flow, a_free_slot_goes_to_the_highest_class_that_waits)
{
    fill_slots();
    core.arrive(another(7, everybody), now);
    core.arrive(another(8, silver), now);
    core.arrive(another(9, gold), now);
    for (const std::uint64_t expected : {9U, 8U, 7U}) {
        const auto out = core.finished(end_of(expected - 6, try_outcome::answered), now);
        CHECK_TRUE(all_of<send_to_target>(out).front().id == request_id{expected});
    }
}

TEST(flow, the_lowest_class_gets_its_final_answer_at_once_when_the_queue_is_full)
{
    fill_slots();
    for (std::uint64_t id = 10; id < 34; ++id) {
        CHECK_EQUAL(0, core.arrive(another(id, everybody), now).size());
    }
    const auto refused = all_of<refuse>(core.arrive(another(40, gold), now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().id == request_id{33});
    CHECK_TRUE(refused.front().reason == refusal_reason::priority);
    CHECK_TRUE(refused.front().run == run_state::no);
    CHECK_TRUE(refused.front().retry_after >= 100ms);
}

TEST(flow, a_failed_try_that_did_not_run_goes_to_another_target_even_if_that_is_fuller)
{
    std::vector<send_to_target> sent;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        sent.push_back(all_of<send_to_target>(core.arrive(request_of(id, gold, now), now)).front());
    }
    const target_id first = sent.front().target;
    for (const send_to_target& each : sent) {
        if (each.target == first && each.id != request_id{1}) {
            core.finished(end_of(each.id.value(), try_outcome::answered), now);
        }
    }
    const auto out = core.finished(end_of(1, try_outcome::connect_failed), now);
    CHECK_EQUAL(1, all_of<count_retry>(out).size());
    CHECK_FALSE(all_of<send_to_target>(out).front().target == first);
}

TEST(flow, a_refusal_of_the_wrong_host_costs_no_retry_budget)
{
    const auto refused_with = [&](std::uint64_t id, refusal_reason reason) {
        auto result = end_of(id, try_outcome::not_run);
        result.peer_reason = reason;
        return core.finished(result, now);
    };
    hold_grant();
    fill_slots();
    std::vector<std::uint64_t> forwarded;
    for (std::uint64_t id = 100; id < 160; ++id) {
        auto request = another(id, gold);
        request.deadline = now + 60s;
        if (!all_of<forward_to_host>(core.arrive(request, now)).empty()) {
            forwarded.push_back(id);
        }
    }
    CHECK_TRUE(forwarded.size() >= 2);
    // Ten seconds later nothing of the budget is left.
    now += 11s;
    const auto full = refused_with(forwarded.at(0), refusal_reason::queue_full);
    CHECK_EQUAL(0, all_of<count_retry>(full).size());
    const auto moved = refused_with(forwarded.at(1), refusal_reason::ownership);
    CHECK_EQUAL(1, all_of<count_retry>(moved).size());
}

TEST(flow, a_request_that_must_not_repeat_is_never_sent_again_once_it_may_have_run)
{
    auto request = request_of(1, gold, now);
    request.repeatable = false;
    core.arrive(request, now);
    const auto out = core.finished(end_of(1, try_outcome::broken), now);
    CHECK_EQUAL(0, all_of<send_to_target>(out).size());
    CHECK_TRUE(all_of<refuse>(out).front().run == run_state::unknown);
}

TEST(flow, a_refusal_after_a_try_that_may_have_run_never_says_that_it_did_not)
{
    core.arrive(request_of(1, gold, now), now);
    core.finished(end_of(1, try_outcome::broken), now);
    const auto out = core.finished(end_of(1, try_outcome::not_run), now);
    const auto third = core.finished(end_of(1, try_outcome::not_run), now);
    auto refused = all_of<refuse>(out);
    for (const refuse& each : all_of<refuse>(third)) {
        refused.push_back(each);
    }
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().run == run_state::unknown);
}

TEST(flow, no_try_begins_that_cannot_end_before_the_deadline)
{
    auto request = request_of(1, gold, now);
    request.deadline = now + 1ms;
    const auto refused = all_of<refuse>(core.arrive(request, now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::deadline);
}

TEST(flow, a_caller_that_goes_while_it_waits_gives_its_place_up)
{
    fill_slots();
    core.arrive(another(7, gold), now);
    core.finished(end_of(7, try_outcome::cancelled), now);
    CHECK_EQUAL(6, core.in_flight());
    CHECK_EQUAL(0, core.finished(end_of(1, try_outcome::answered), now).size());
}

TEST(flow, a_lost_peer_takes_what_it_forwarded_with_it)
{
    cool_down(core, *model, now);
    core.arrive(foreign(1, gold), now);
    const auto out = core.peer_lost(*config::find_host(*model, "b1"), now);
    CHECK_EQUAL(1, all_of<cancel_try>(out).size());
    CHECK_EQUAL(0, core.in_flight());
}
