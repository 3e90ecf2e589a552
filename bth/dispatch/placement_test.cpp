#include "bth/dispatch/placement.h"

#include "bth/dispatch/cold_share.h"
#include "bth/dispatch/retry_window.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::fractional_ms;
using bth::dispatch::object_key;
using bth::dispatch::place;
using bth::dispatch::placement_failure;
using bth::dispatch::placement_request;
using bth::dispatch::send_outcome;
using bth::dispatch::service_time_estimate;
using bth::dispatch::target_info;
using bth::dispatch::target_registry;

constexpr time_point start{1h};
const bth::dispatch::domain_regions regions{
    {"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}};

target_info make_info(const std::string& id, const std::string& domain)
{
    return {id, "orders", {}, domain, 3, false, {}};
}

target_registry make_registry()
{
    target_registry registry{regions};
    registry.apply(start,
                   {make_info("a", "north-1"), make_info("b", "north-1"), make_info("c", "north-2"),
                    make_info("d", "south-1")},
                   {}, true);
    return registry;
}

placement_request make_request(object_key key)
{
    placement_request request;
    request.now = start;
    request.service = "orders";
    request.key = key;
    request.sticky = true;
    request.domain = "north-1";
    request.region = "north";
    request.remaining_time = 800ms;
    request.remaining_objective = 250ms;
    request.cold_allowance = 1;
    return request;
}

const service_time_estimate estimate{100ms, 300ms};

void add_requests(target_registry& registry, const std::string& id, int requests)
{
    for (const auto& candidate : registry.targets_of_service("orders")) {
        for (int attempt = 0; candidate->info().id == id && attempt < requests; ++attempt) {
            candidate->begin_request(start, 0);
        }
    }
}

} // namespace

TEST_GROUP(placement){};

TEST(placement, hosts_of_a_region_send_an_object_to_the_same_target)
{
    const auto first = make_registry();
    const auto second = make_registry();
    for (object_key key = 1; key < 50; ++key) {
        auto from_north_1 = make_request(key);
        auto from_north_2 = make_request(key);
        from_north_2.domain = "north-2";
        STRCMP_EQUAL(place(first, from_north_1, estimate)->target->info().id.c_str(),
                     place(second, from_north_2, estimate)->target->info().id.c_str());
    }
}

TEST(placement, waiting_for_a_warm_target_is_preferred_only_while_it_is_faster_than_a_cold_start)
{
    auto registry = make_registry();
    auto request = make_request(5);
    request.remaining_objective = 500ms;
    const auto primary = place(registry, request, estimate)->target->info().id;
    add_requests(registry, primary, 7);
    STRCMP_EQUAL(primary.c_str(), place(registry, request, estimate)->target->info().id.c_str());
    add_requests(registry, primary, 3);
    CHECK(primary != place(registry, request, estimate)->target->info().id);
}

// Targets keep few objects warm. If each host sent the requests for a busy object to whichever
// target is the least busy at the moment, they would make many targets warm for it and evict other
// objects there; all hosts must use the same second target.
TEST(placement, all_hosts_use_the_same_secondary_target_when_the_primary_one_is_busy)
{
    for (object_key key = 1; key < 30; ++key) {
        auto first = make_registry();
        auto second = make_registry();
        auto from_north_1 = make_request(key);
        from_north_1.remaining_objective = 500ms;
        auto from_north_2 = from_north_1;
        from_north_2.domain = "north-2";
        const auto primary = place(first, from_north_1, estimate)->target->info().id;
        add_requests(first, primary, 14);
        add_requests(second, primary, 14);
        const auto overflow = place(first, from_north_1, estimate);
        CHECK(overflow->target->info().id != primary);
        STRCMP_EQUAL(overflow->target->info().id.c_str(),
                     place(second, from_north_2, estimate)->target->info().id.c_str());
    }
}

TEST(placement, targets_of_an_evacuated_domain_are_no_affinity_targets)
{
    auto registry = make_registry();
    registry.set_evacuated(start, {"north-1"}, 3s);
    for (object_key key = 1; key < 20; ++key) {
        const auto found = place(registry, make_request(key), estimate);
        STRCMP_EQUAL("c", found->target->info().id.c_str());
        CHECK_TRUE(found->warm);
    }
}

TEST(placement, another_region_is_used_when_the_own_one_is_full)
{
    auto registry = make_registry();
    for (const auto* id : {"a", "b", "c"}) {
        add_requests(registry, id, 12);
    }
    // The remaining objective allows for a cold start in the other region.
    auto request = make_request(5);
    request.remaining_objective = 400ms;
    STRCMP_EQUAL("d", place(registry, request, estimate)->target->info().id.c_str());
}

TEST(placement, another_region_is_not_used_if_the_caller_leaves_before_its_answer)
{
    auto registry = make_registry();
    for (const auto* id : {"a", "b", "c"}) {
        add_requests(registry, id, 12);
    }
    auto request = make_request(5);
    request.remaining_objective = 400ms;
    request.remaining_time = 200ms;
    const auto placed = place(registry, request, estimate);
    CHECK_FALSE(placed.has_value());
    CHECK(placed.error().reason == placement_failure::deadline_exceeded);
}

// On mhsa-shows-grown scale-1 hosts refused requests for which targets had been full 20 s before.
TEST(placement, targets_that_were_full_some_time_ago_are_tried)
{
    auto registry = make_registry();
    for (const auto& candidate : registry.targets_of_service("orders")) {
        candidate->begin_request(start, 0);
        candidate->end_request(start, send_outcome::answered, 100ms, 0ms,
                               bth::dispatch::load_report{3, 9, 3});
    }
    auto request = make_request(5);
    request.now = start + 2s;
    CHECK_TRUE(place(registry, request, estimate).has_value());
}

TEST(placement, another_region_is_used_when_all_targets_of_the_own_one_were_tried)
{
    const auto registry = make_registry();
    auto request = make_request(5);
    for (const auto& candidate : registry.targets_of_service("orders")) {
        if (candidate->info().id != "d") {
            request.tried.push_back(candidate.get());
        }
    }
    STRCMP_EQUAL("d", place(registry, request, estimate)->target->info().id.c_str());
}

TEST(placement, only_allowed_regions_are_used)
{
    const auto registry = make_registry();
    const std::vector<std::string> south_only{"south"};
    auto request = make_request(5);
    request.allowed_regions = &south_only;
    STRCMP_EQUAL("d", place(registry, request, estimate)->target->info().id.c_str());
}

TEST(placement, request_that_cannot_be_answered_by_its_deadline_is_refused)
{
    const auto registry = make_registry();
    auto request = make_request(0);
    request.remaining_time = 50ms;
    const auto found = place(registry, request, estimate);
    CHECK_FALSE(found.has_value());
    CHECK(found.error().reason == placement_failure::deadline_exceeded);
}

// Guards against an overload in which requests that will be late anyway delay those behind them:
// late requests may only join a short queue, and less urgent ones only a shorter one.
TEST(placement, late_requests_are_refused_at_a_long_queue_with_the_least_urgent_first)
{
    auto registry = make_registry();
    for (const auto* id : {"a", "b", "c", "d"}) {
        add_requests(registry, id, 4);
    }
    auto urgent = make_request(5);
    urgent.remaining_objective = 100ms;
    auto less_urgent = urgent;
    less_urgent.priority = 5;
    CHECK_TRUE(place(registry, urgent, estimate).has_value());
    const auto refused = place(registry, less_urgent, estimate);
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().reason == placement_failure::overload);
    CHECK(refused.error().retry_after > 0ms);
}

TEST(placement, request_that_can_meet_its_objective_may_join_any_queue)
{
    auto registry = make_registry();
    for (const auto* id : {"a", "b", "c", "d"}) {
        add_requests(registry, id, 6);
    }
    auto less_urgent = make_request(5);
    less_urgent.priority = 5;
    less_urgent.remaining_objective = 400ms;
    CHECK_TRUE(place(registry, less_urgent, estimate).has_value());
}

// A cold request takes three times the slot time of a warm one. On targets that are busy with warm
// requests it would make those miss their objective.
TEST(placement, busy_targets_are_avoided_for_objects_that_they_are_cold_for)
{
    auto registry = make_registry();
    auto request = make_request(5);
    request.remaining_objective = 500ms;
    const auto primary = place(registry, request, estimate)->target->info().id;
    for (const auto* id : {"a", "b", "c", "d"}) {
        add_requests(registry, id, 3);
    }
    add_requests(registry, primary, 9);
    STRCMP_EQUAL(primary.c_str(), place(registry, request, estimate)->target->info().id.c_str());
}

// Guards against the overload of a region that has few targets for its callers.
TEST(placement, remote_share_of_the_objects_has_an_idle_warm_target_in_the_other_region)
{
    constexpr object_key objects = 400;
    const auto registry = make_registry();
    std::size_t remote_objects = 0;
    for (object_key number = 1; number <= objects; ++number) {
        auto request =
            make_request(bth::dispatch::make_object_key("orders", std::to_string(number)));
        request.remote_share = 0.25;
        const auto found = place(registry, request, estimate);
        CHECK_TRUE(found->warm);
        remote_objects += found->target->info().id == "d" ? 1 : 0;
    }
    CHECK(remote_objects > objects / 5 && remote_objects < objects * 3 / 10);
}

// All targets of the region are busy, and a request occupies a slot three times as long on a
// target that is cold for its object. Cold starts on further targets would add to the overload.
TEST(placement, overload_does_not_turn_into_cold_requests)
{
    auto registry = make_registry();
    auto request = make_request(5);
    request.remaining_objective = 250ms;
    const auto primary = place(registry, request, estimate)->target;
    add_requests(registry, primary->info().id, 9);
    // Any cold start would miss the objective, so only the secondary affinity target is left.
    const auto secondary = place(registry, request, estimate);
    CHECK_TRUE(secondary.has_value());
    CHECK(secondary->target != primary);
    add_requests(registry, secondary->target->info().id, 9);
    request.owner_declined = true;
    for (const auto& candidate : registry.targets_of_service("orders")) {
        const auto found = place(registry, request, estimate);
        CHECK(!found || found->target == primary || found->target == secondary->target);
        CHECK(found || found.error().reason == placement_failure::overload);
        request.tried.push_back(candidate.get());
    }
}

TEST(placement, request_that_owners_declined_is_refused_if_a_cold_start_elsewhere_would_be_late)
{
    const auto registry = make_registry();
    auto request = make_request(5);
    const auto first = place(registry, request, estimate)->target;
    request.tried.push_back(first.get());
    const auto second = place(registry, request, estimate)->target;
    request.tried.push_back(second.get());
    // If no owner has declined the request, the affinity targets that were tried have failed, and
    // others may be used.
    CHECK_TRUE(place(registry, request, estimate).has_value());
    request.owner_declined = true;
    CHECK(place(registry, request, estimate).error().reason == placement_failure::overload);
    // A request that can still meet its objective may start on any target.
    request.remaining_objective = 400ms;
    CHECK_TRUE(place(registry, request, estimate).has_value());
}

// The cost added to a target after a failure is far above a service time of a few milliseconds. If
// it never ended, such a target would get no requests again while others work.
TEST(placement, target_that_failed_once_gets_requests_again_after_the_penalty_time)
{
    const service_time_estimate short_estimate{2ms, 4ms};
    const auto registry = make_registry();
    auto request = make_request(5);
    const auto primary = place(registry, request, short_estimate)->target;
    primary->begin_request(start, 5);
    primary->end_request(start, send_outcome::broken, 1ms, 1ms, {});
    CHECK(place(registry, request, short_estimate)->target != primary);
    request.now = start + 6s;
    CHECK(place(registry, request, short_estimate)->target == primary);
}

TEST(placement, remote_share_is_ignored_if_only_the_own_region_is_allowed)
{
    const auto registry = make_registry();
    const std::vector<std::string> north_only{"north"};
    auto request = make_request(5);
    request.remote_share = 1.0;
    request.allowed_regions = &north_only;
    CHECK(place(registry, request, estimate)->target->info().id != "d");
}

TEST(placement, draining_evacuated_and_removed_targets_get_no_requests)
{
    auto registry = make_registry();
    auto draining_info = make_info("a", "north-1");
    draining_info.draining = true;
    registry.apply(start, {draining_info}, {"b"}, false);
    registry.set_evacuated(start, {"north-2"}, 3s);
    for (object_key key = 1; key < 20; ++key) {
        STRCMP_EQUAL("d", place(registry, make_request(key), estimate)->target->info().id.c_str());
    }
}

TEST(placement, targets_of_a_domain_that_is_no_longer_evacuated_are_treated_as_cold)
{
    auto registry = make_registry();
    registry.set_evacuated(start, {"south-1"}, 3s);
    registry.set_evacuated(start, {}, 3s);
    for (const auto& candidate : registry.targets_of_service("orders")) {
        CHECK_EQUAL(candidate->info().domain == "south-1", candidate->is_cold(start + 1s));
    }
}

TEST(placement, a_cold_target_gets_no_more_than_its_allowance)
{
    target_registry registry{regions};
    auto cold = make_info("a", "north-1");
    cold.remaining_cold_time = 3s;
    registry.apply(start, {cold}, {}, true);
    const auto request = make_request(1);
    const auto first = place(registry, request, estimate);
    CHECK_TRUE(first.has_value());
    first->target->begin_request(start, 1);
    CHECK(place(registry, request, estimate).error().reason == placement_failure::no_target);
}

// If the hosts of each of three regions used the whole rate that a cold target accepts, they would
// together exceed it.
TEST(placement, a_cold_target_of_another_region_gets_no_requests)
{
    target_registry registry{regions};
    auto cold = make_info("d", "south-1");
    cold.remaining_cold_time = 3s;
    registry.apply(start, {cold}, {}, true);
    CHECK(place(registry, make_request(1), estimate).error().reason ==
          placement_failure::no_target);
}

TEST(placement, limited_target_without_room_is_passed_over_and_callers_hear_when_it_has_some)
{
    target_registry registry{regions};
    registry.apply(start, {make_info("a", "north-1"), make_info("b", "north-1")}, {}, true);
    auto request = make_request(1);
    registry.find("a")->record_limit(start, 1.0);
    for (object_key key = 1; key < 20; ++key) {
        request.key = key;
        STRCMP_EQUAL("b", place(registry, request, estimate)->target->info().id.c_str());
    }
    registry.find("b")->record_limit(start, 0.5);
    const auto refused = place(registry, request, estimate).error();
    CHECK(refused.reason == placement_failure::overload);
    DOUBLES_EQUAL(2625, refused.remaining_rest.count(), 1);
    // A sender that was asked has room only later.
    registry.find("a")->postpone(start, 4s);
    DOUBLES_EQUAL(4000, place(registry, request, estimate).error().remaining_rest.count(), 1);
    CHECK_TRUE(registry.find("a")->lift_limit());
    CHECK_TRUE(place(registry, request, estimate).has_value());
}

TEST(placement, limited_target_of_another_region_is_tried_again_when_its_turn_comes)
{
    target_registry registry{regions};
    registry.apply(start, {make_info("d", "south-1")}, {}, true);
    const auto limited = registry.find("d");
    limited->record_limit(start, 1.0);
    limited->set_limit_probe(start + 60s);
    auto request = make_request(1);
    CHECK(place(registry, request, estimate).error().reason == placement_failure::no_target);
    request.now = start + 60s;
    CHECK_TRUE(place(registry, request, estimate).has_value());
}

TEST(placement, ejected_targets_are_used_when_there_is_no_other)
{
    target_registry registry{regions};
    registry.apply(start, {make_info("a", "north-1")}, {}, true);
    const auto candidate = registry.targets_of_service("orders").front();
    for (int attempt = 0; attempt < 3; ++attempt) {
        candidate->begin_request(start, 0);
        candidate->end_request(start, send_outcome::broken, 1ms, 1ms, {});
    }
    CHECK_TRUE(candidate->is_ejected(start));
    CHECK_TRUE(place(registry, make_request(1), estimate).has_value());
}

TEST(placement, an_id_listed_with_another_service_is_another_target)
{
    auto registry = make_registry();
    const auto before = registry.targets_of_service("orders").front();
    auto changed_service = before->info();
    changed_service.service = "quotes";
    registry.apply(start, {changed_service}, {}, false);
    CHECK_TRUE(before->is_removed());
    LONGS_EQUAL(3, registry.targets_of_service("orders").size());
    LONGS_EQUAL(1, registry.targets_of_service("quotes").size());
}

TEST_GROUP(cold_share){};

TEST(cold_share, shares_of_all_senders_and_one_more_stay_within_the_limit)
{
    for (double limit = 0; limit < 100; limit += 0.1) {
        const auto split = bth::dispatch::split_cold_rate(limit);
        CHECK((split.senders + 1) * split.per_sender <= limit);
        CHECK(limit < 4 || split.senders * split.per_sender >= limit / 3);
    }
    LONGS_EQUAL(0, bth::dispatch::split_cold_rate(-1).per_sender);
    LONGS_EQUAL(3, bth::dispatch::split_cold_rate(1e300).senders);
}

TEST_GROUP(retry_window){};

TEST(retry_window, hosts_together_stay_within_the_budget)
{
    constexpr std::uint32_t hosts = 9;
    std::uint32_t retries = 0;
    std::uint32_t first_attempts = 0;
    for (std::uint32_t host = 0; host < hosts; ++host) {
        bth::dispatch::retry_window window;
        window.set({0.2, 58, hosts}, 10s);
        for (int attempt = 0; attempt < 100; ++attempt) {
            window.count_first_attempt(start);
            ++first_attempts;
        }
        while (window.try_spend(start)) {
            ++retries;
        }
    }
    CHECK(retries <= 0.2 * first_attempts + 58);
    CHECK(retries > 0.1 * first_attempts);
}

TEST(retry_window, spent_retries_are_available_again_after_the_window)
{
    bth::dispatch::retry_window window;
    window.set({0.0, 3, 1}, 10s);
    CHECK_TRUE(window.try_spend(start));
    CHECK_TRUE(window.try_spend(start));
    CHECK_FALSE(window.try_spend(start + 9s));
    CHECK_TRUE(window.try_spend(start + 10s));
}
