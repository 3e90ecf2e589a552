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
    node core{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
    time_point now{10s};

    void setup() override
    {
        this->core.apply(this->model, revision{1}, {this->now, {}});
        acquire_ownership(this->core, this->now);
        warm_up(this->core, *this->model, this->now);
    }
    void teardown() override { CHECK_EQUAL(0, this->core.check_invariants().size()); }

    // Fills all six slots of "web" with requests 1 to 6.
    void fill_slots()
    {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            const auto out = this->core.arrive(request_of(id, gold, this->now), this->now);
            CHECK_EQUAL(1, actions_of<send_to_target>(out).size());
        }
    }
    // Returns a request of a caller of this domain. It goes to a fallback domain only after
    // obtain_grant.
    arrival own_request(std::uint64_t id, class_id caller_class)
    {
        return request_of(id, caller_class, this->now);
    }
    // Returns the same request as forwarded by a host of another failure domain, which holds a
    // grant.
    arrival foreign_request(std::uint64_t id, class_id caller_class)
    {
        auto request = request_of(id, caller_class, this->now);
        request.forwarded_by = config::find_host(*this->model, "b1");
        request.hops = 1;
        grant_capacity(this->core, *request.forwarded_by, id, this->now);
        return request;
    }
    // Makes the node request capacity from domain "b" and answers with a large grant.
    void obtain_grant()
    {
        cool_down(this->core, *this->model, this->now);
        for (std::uint64_t id = 1000; id < 1120; ++id) {
            this->core.arrive(this->own_request(id, gold), this->now);
        }
        for (std::uint64_t id = 1000; id < 1120; ++id) {
            this->core.finished(result_of(id, attempt_outcome::cancelled), this->now);
        }
        this->now += tick_interval;
        for (const send_message& each :
             actions_of<send_message>(this->core.tick({this->now, {}}))) {
            if (const auto* request = std::get_if<grant_request>(&each.message)) {
                const granted_capacity capacity{web, request_rate{1000.0}, 10, {}, {}};
                this->core.receive(each.to,
                                   capacity_grant{this->model->at(each.to).domain, domain_a,
                                                  request->incarnation_number, request->sequence,
                                                  1s, {capacity}, {}},
                                   this->now);
            }
        }
    }
};
// clang-format on

TEST(flow, a_request_is_sent_to_a_target_of_its_service)
{
    const auto sent = actions_of<send_to_target>(core.arrive(request_of(1, gold, now), now));
    CHECK_EQUAL(1, sent.size());
    CHECK_TRUE(model->at(sent.front().target).service == web);
    CHECK_TRUE(model->at(sent.front().target).domain == domain_a);
}

TEST(flow, own_requests_use_a_grant_for_a_fallback_and_foreign_ones_are_never_forwarded)
{
    obtain_grant();
    fill_slots();
    std::size_t forwarded = 0;
    for (std::uint64_t id = 100; id < 120; ++id) {
        forwarded += actions_of<forward_to_host>(core.arrive(own_request(id, gold), now)).size();
    }
    CHECK_TRUE(forwarded > 0);
    for (std::uint64_t id = 200; id < 300; ++id) {
        CHECK_EQUAL(
            0, actions_of<forward_to_host>(core.arrive(foreign_request(id, gold), now)).size());
    }
}

TEST(flow, a_full_domain_forwards_nothing_without_a_grant)
{
    fill_slots();
    for (std::uint64_t id = 100; id < 200; ++id) {
        CHECK_EQUAL(0, actions_of<forward_to_host>(core.arrive(own_request(id, gold), now)).size());
    }
}

TEST(flow, a_request_from_another_domain_without_a_grant_is_refused_as_not_run)
{
    auto request = foreign_request(1, gold);
    request.forwarded_by = config::find_host(*model, "c1");
    const auto refused = actions_of<refuse>(core.arrive(request, now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::grant_missing);
    CHECK_TRUE(refused.front().run == run_state::no);
}

TEST(flow, a_host_that_does_not_own_the_targets_sends_no_request_to_them)
{
    node other{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
    other.apply(model, revision{1}, {now, {}});
    const auto out = other.arrive(request_of(1, gold, now), now);
    CHECK_EQUAL(0, actions_of<send_to_target>(out).size());
}

TEST(flow, slots_of_requests_in_flight_stay_in_use_when_a_configuration_changes_ids)
{
    fill_slots();
    const auto next =
        small_site({{R"("targets":[)",
                     R"("targets":[{"name":"first","service":"shop","failure_domain":"a",
                        "http":"127.2.0.1:80","slots":3,"connections":330},)"}});
    core.apply(next, revision{2}, {now, {}});
    CHECK_EQUAL(0, actions_of<send_to_target>(core.arrive(own_request(7, gold), now)).size());
    CHECK_EQUAL(0, core.check_invariants().size());
    const auto out = core.finished(result_of(1, attempt_outcome::answered), now);
    CHECK_EQUAL(1, actions_of<send_to_target>(out).size());
}

TEST(flow, a_queued_request_is_refused_when_its_service_is_removed)
{
    fill_slots();
    core.arrive(own_request(7, gold), now);
    const auto next = small_site(
        {{R"("name":"web")", R"("name":"site")"}, {R"("service":"web")", R"("service":"site")"}});
    const auto refused = actions_of<refuse>(core.apply(next, revision{2}, {now, {}}));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::unknown_service);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        core.finished(result_of(id, attempt_outcome::answered), now);
    }
    CHECK_EQUAL(0, core.in_flight());
}

TEST(flow, a_free_slot_goes_to_the_highest_queued_class)
{
    fill_slots();
    core.arrive(own_request(7, public_class), now);
    core.arrive(own_request(8, silver), now);
    core.arrive(own_request(9, gold), now);
    for (const std::uint64_t expected : {9U, 8U, 7U}) {
        const auto out = core.finished(result_of(expected - 6, attempt_outcome::answered), now);
        CHECK_TRUE(actions_of<send_to_target>(out).front().id == request_id{expected});
    }
}

TEST(flow, a_full_queue_immediately_refuses_a_request_of_the_lowest_class)
{
    fill_slots();
    for (std::uint64_t id = 10; id < 34; ++id) {
        CHECK_EQUAL(0, core.arrive(own_request(id, public_class), now).size());
    }
    const auto refused = actions_of<refuse>(core.arrive(own_request(40, gold), now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().id == request_id{33});
    CHECK_TRUE(refused.front().reason == refusal_reason::priority);
    CHECK_TRUE(refused.front().run == run_state::no);
    CHECK_TRUE(refused.front().retry_after >= 100ms);
}

TEST(flow,
     a_retry_of_a_request_that_did_not_run_avoids_the_failed_target_even_if_the_other_is_busier)
{
    std::vector<send_to_target> sent;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        sent.push_back(
            actions_of<send_to_target>(core.arrive(request_of(id, gold, now), now)).front());
    }
    const target_id first = sent.front().target;
    for (const send_to_target& each : sent) {
        if (each.target == first && each.id != request_id{1}) {
            core.finished(result_of(each.id.value(), attempt_outcome::answered), now);
        }
    }
    const auto out = core.finished(result_of(1, attempt_outcome::connect_failed), now);
    CHECK_EQUAL(1, actions_of<count_retry>(out).size());
    CHECK_FALSE(actions_of<send_to_target>(out).front().target == first);
}

TEST(flow, a_retry_after_an_ownership_refusal_needs_no_retry_budget)
{
    const auto refused_with = [&](std::uint64_t id, refusal_reason reason) {
        auto result = result_of(id, attempt_outcome::not_run);
        result.peer_reason = reason;
        return core.finished(result, now);
    };
    obtain_grant();
    fill_slots();
    std::vector<std::uint64_t> forwarded;
    for (std::uint64_t id = 100; id < 160; ++id) {
        auto request = own_request(id, gold);
        request.deadline = now + 60s;
        if (!actions_of<forward_to_host>(core.arrive(request, now)).empty()) {
            forwarded.push_back(id);
        }
    }
    CHECK_TRUE(forwarded.size() >= 2);
    // The retry budget covers the last ten seconds; it is empty now.
    now += 11s;
    const auto full = refused_with(forwarded.at(0), refusal_reason::queue_full);
    CHECK_EQUAL(0, actions_of<count_retry>(full).size());
    const auto misdirected = refused_with(forwarded.at(1), refusal_reason::ownership);
    CHECK_EQUAL(1, actions_of<count_retry>(misdirected).size());
}

TEST(flow, a_non_repeatable_request_is_not_retried_once_it_may_have_run)
{
    auto request = request_of(1, gold, now);
    request.repeatable = false;
    core.arrive(request, now);
    const auto out = core.finished(result_of(1, attempt_outcome::broken), now);
    CHECK_EQUAL(0, actions_of<send_to_target>(out).size());
    CHECK_TRUE(actions_of<refuse>(out).front().run == run_state::unknown);
}

TEST(flow, a_refusal_after_an_attempt_that_may_have_run_reports_run_state_unknown)
{
    core.arrive(request_of(1, gold, now), now);
    core.finished(result_of(1, attempt_outcome::broken), now);
    const auto out = core.finished(result_of(1, attempt_outcome::not_run), now);
    const auto third = core.finished(result_of(1, attempt_outcome::not_run), now);
    auto refused = actions_of<refuse>(out);
    for (const refuse& each : actions_of<refuse>(third)) {
        refused.push_back(each);
    }
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().run == run_state::unknown);
}

TEST(flow, no_attempt_starts_that_cannot_end_before_the_deadline)
{
    auto request = request_of(1, gold, now);
    request.deadline = now + 1ms;
    const auto refused = actions_of<refuse>(core.arrive(request, now));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::deadline);
}

TEST(flow, a_queued_request_is_removed_when_its_caller_disconnects)
{
    fill_slots();
    core.arrive(own_request(7, gold), now);
    core.finished(result_of(7, attempt_outcome::cancelled), now);
    CHECK_EQUAL(6, core.in_flight());
    CHECK_EQUAL(0, core.finished(result_of(1, attempt_outcome::answered), now).size());
}

TEST(flow, a_lost_peer_connection_cancels_the_requests_that_the_peer_forwarded)
{
    cool_down(core, *model, now);
    core.arrive(foreign_request(1, gold), now);
    const auto out = core.peer_lost(*config::find_host(*model, "b1"), now);
    CHECK_EQUAL(1, actions_of<abort_attempt>(out).size());
    CHECK_EQUAL(0, core.in_flight());
}
