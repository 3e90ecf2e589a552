// Replays of targets that say that they leave, and of targets that ask for rest, under virtual
// time.
#include "bth/dispatch/placement.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::dispatch;
using bth::duration;
using bth::time_point;

constexpr time_point start{1h};
constexpr duration drain_time = 3s;
const domain_regions regions{{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}};

target_info make_info(const std::string& id, bool draining = false)
{
    return {id, "orders", {}, "north-1", 3, draining, {}};
}

std::vector<target_info> make_targets(std::size_t count)
{
    std::vector<target_info> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(make_info("t" + std::to_string(i)));
    }
    return out;
}

placement_request make_request(time_point now, object_key key)
{
    placement_request request;
    request.now = now;
    request.service = "orders";
    request.key = key;
    request.sticky = true;
    request.domain = "north-1";
    request.region = "north";
    request.remaining_time = 2s;
    request.remaining_objective = 800ms;
    request.leaving_grace = drain_time;
    return request;
}

// Places a request; empty if it is refused.
std::string place_id(const target_registry& registry, time_point now, object_key key)
{
    const auto placed = place(registry, make_request(now, key), {});
    return placed ? placed->target->info().id : "";
}

} // namespace

// clang-format off
TEST_GROUP(target_signals_replay) {};
// clang-format on

TEST(target_signals_replay, word_of_a_leaving_target_holds_without_control_and_against_an_old_list)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(4), {}, true);
    constexpr object_key object = 77;
    const auto home = place_id(registry, start, object);
    CHECK_TRUE(registry.find(home)->record_leaving(start));
    CHECK_FALSE(registry.find(home)->record_leaving(start + 1s));
    const auto next = place_id(registry, start, object);
    CHECK_TRUE(next != home);
    for (duration later = 0s; later < 60s; later += 100ms) {
        if (later % 1s == 0s) {
            // The list goes on showing it as in service, as changes and as a whole.
            registry.apply(start + later, {make_info(home)}, {}, false);
            registry.apply(start + later, make_targets(4), {}, true);
        }
        STRCMP_EQUAL(next.c_str(), place_id(registry, start + later, object).c_str());
    }
}

TEST(target_signals_replay, objects_of_a_leaving_target_go_to_different_targets)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(8), {}, true);
    std::map<std::string, int> objects_on;
    std::vector<object_key> moved;
    for (object_key object = 1; object <= 800; ++object) {
        const auto key = make_object_key("orders", std::to_string(object));
        if (place_id(registry, start, key) == "t0") {
            moved.push_back(key);
        }
    }
    CHECK_TRUE(moved.size() > 50);
    registry.find("t0")->record_leaving(start);
    for (const auto key : moved) {
        ++objects_on[place_id(registry, start, key)];
    }
    UNSIGNED_LONGS_EQUAL(7, objects_on.size());
    for (const auto& [id, count] : objects_on) {
        CHECK_TRUE(static_cast<std::size_t>(count) < moved.size() / 3);
    }
}

TEST(target_signals_replay, other_target_on_the_address_and_one_that_is_listed_anew_start_clean)
{
    target_registry registry{regions};
    registry.apply(start, {make_info("old")}, {}, true);
    registry.find("old")->record_leaving(start);
    // Its address goes to another target within the drain time.
    registry.apply(start + 1s, {make_info("new")}, {"old"}, false);
    STRCMP_EQUAL("new", place_id(registry, start + 1s, 5).c_str());
    registry.find("new")->record_leaving(start + 2s);
    registry.apply(start + 3s, {}, {"new"}, false);
    registry.apply(start + 10s, {make_info("new")}, {}, false);
    STRCMP_EQUAL("new", place_id(registry, start + 10s, 5).c_str());
}

TEST(target_signals_replay,
     service_whose_targets_all_leave_is_served_within_the_bound_and_then_refused)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(3), {}, true);
    for (const auto& each : registry.targets_of_service("orders")) {
        each->record_leaving(start);
    }
    CHECK_FALSE(place_id(registry, start + drain_time, 5).empty());
    const auto refused = place(registry, make_request(start + drain_time + 1ms, 5), {});
    CHECK_TRUE(refused.error().reason == placement_failure::no_target);
    // Once the list says so as well, nothing goes there.
    registry.apply(start + 1s,
                   {make_info("t0", true), make_info("t1", true), make_info("t2", true)}, {},
                   false);
    CHECK_TRUE(place_id(registry, start + 1s, 5).empty());
}

TEST(target_signals_replay, resting_target_gets_nothing_until_the_end_and_then_one_request_at_first)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(2), {}, true);
    constexpr object_key object = 9;
    const auto home = place_id(registry, start, object);
    const auto resting = registry.find(home);
    resting->begin_request(start, object);
    resting->end_request(start, send_outcome::shed, 5ms, {}, std::nullopt);
    resting->record_rest(start, 2s);
    for (duration later = 0s; later < 2s; later += 10ms) {
        CHECK_TRUE(place_id(registry, start + later, object) != home);
    }
    // In steps: one request in flight, and after each answer twice as many.
    const auto now = start + 2s;
    std::size_t allowed = 0;
    while (resting->has_rested(now) && allowed < 10) {
        resting->begin_request(now, object);
        ++allowed;
    }
    UNSIGNED_LONGS_EQUAL(1, allowed);
    resting->end_request(now + 200ms, send_outcome::answered, 200ms, {}, std::nullopt);
    resting->begin_request(now + 200ms, object);
    CHECK_TRUE(resting->has_rested(now + 200ms));
    resting->begin_request(now + 200ms, object);
    CHECK_FALSE(resting->has_rested(now + 200ms));
    resting->end_request(now + 400ms, send_outcome::answered, 200ms, {}, std::nullopt);
    CHECK_TRUE(resting->has_rested(now + 400ms));
}

TEST(target_signals_replay, answers_to_requests_from_before_the_rest_do_not_end_it)
{
    target state{make_info("t0")};
    for (int i = 0; i < 3; ++i) {
        state.begin_request(start, 0);
    }
    state.record_rest(start + 10ms, 1s);
    for (int i = 0; i < 3; ++i) {
        state.end_request(start + 1100ms, send_outcome::answered, 1100ms, {}, std::nullopt);
    }
    CHECK_TRUE(state.has_rested(start + 1100ms));
    state.begin_request(start + 1100ms, 0);
    CHECK_FALSE(state.has_rested(start + 1100ms));
}

TEST(target_signals_replay, callers_are_not_sent_away_for_the_rest_of_one_target)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(2), {}, true);
    registry.find("t0")->record_rest(start, 60s);
    auto tried = make_request(start, 5);
    tried.tried = {registry.find("t1").get()};
    DOUBLES_EQUAL(0, place(registry, tried, {}).error().remaining_rest.count(), 0.0);
    registry.find("t1")->assume_cold(start + 10s);
    DOUBLES_EQUAL(0, place(registry, make_request(start, 5), {}).error().remaining_rest.count(),
                  0.0);
}

TEST(target_signals_replay, target_that_always_sheds_gets_few_requests)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(2), {}, true);
    constexpr object_key object = 9;
    const auto shedding = registry.find(place_id(registry, start, object));
    std::size_t shed = 0;
    for (duration at = 0s; at < 60s; at += 100ms) {
        const auto now = start + at;
        const auto placed = place(registry, make_request(now, object), {})->target;
        placed->begin_request(now, object);
        const bool sheds = placed == shedding;
        shed += sheds ? 1 : 0;
        placed->end_request(now, sheds ? send_outcome::shed : send_outcome::answered, 100ms, {},
                            std::nullopt);
    }
    // A part of the first ones, and then one in 5 s.
    CHECK_TRUE(shed >= 5);
    CHECK_TRUE(shed <= 30);
}

TEST(target_signals_replay, huge_rest_is_bounded)
{
    target state{make_info("t0")};
    state.record_rest(start, 24h);
    CHECK(state.remaining_rest(start) == target::max_rest);
    CHECK_TRUE(state.has_rested(start + target::max_rest));
}

TEST(target_signals_replay,
     callers_are_told_to_return_after_the_first_rest_ends_the_most_urgent_first)
{
    target_registry registry{regions};
    registry.apply(start, make_targets(3), {}, true);
    registry.find("t0")->record_rest(start, 4s);
    registry.find("t1")->record_rest(start, 2s);
    registry.find("t2")->record_rest(start, 3s);
    // No deadline helps: the caller waits, not the host.
    const auto refused = place(registry, make_request(start + 500ms, 5), {}).error();
    CHECK_TRUE(refused.reason == placement_failure::overload);
    DOUBLES_EQUAL(1500, refused.remaining_rest.count(), 0.1);
    for (std::uint32_t priority = 0; priority < 4; ++priority) {
        CHECK_TRUE(return_after_rest(refused.remaining_rest, priority, 0.0) >= 1500ms);
        CHECK_TRUE(return_after_rest(refused.remaining_rest, priority, 1.0) <=
                   return_after_rest(refused.remaining_rest, priority + 1, 0.0));
    }
}

namespace {

// Hosts that send to targets which turn requests away and ask for rest when their queue is full.
// Callers come back once, after the time they were told.
struct surge_result {
    std::size_t asked{};
    std::size_t served{};
    // The most requests that reached one target from one host within a rest, half a second after it
    // was asked for.
    std::size_t most_in_a_rest{};
    // The requests served in each second.
    std::array<std::size_t, 20> served_in{};
};

surge_result replay_surge(double load, bool obeys_rest)
{
    constexpr std::size_t hosts = 9;
    constexpr std::size_t targets = 12;
    constexpr std::size_t slots = 3;
    constexpr std::size_t queue = 3;
    constexpr duration work = 300ms;
    constexpr duration rest = 1s;
    constexpr duration step = 10ms;
    const double per_step = load * targets * slots / 0.3 * 0.01;
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    struct running_request {
        time_point ends;
        std::size_t host;
    };
    struct rest_seen {
        time_point asked;
        std::size_t arrivals{};
    };
    std::vector<std::vector<running_request>> running(targets);
    std::map<std::pair<std::size_t, std::size_t>, rest_seen> rests;
    std::vector<target_registry> registries;
    for (std::size_t host = 0; host < hosts; ++host) {
        registries.emplace_back(regions);
        registries.back().apply(start, make_targets(targets), {}, true);
    }
    struct caller {
        object_key key;
        bool returned;
    };
    std::multimap<time_point, caller> returning;
    surge_result out;
    double due = 0;
    const service_time_estimate estimate{300ms, 300ms};
    for (duration at = 0s; at < 20s; at += step) {
        const auto now = start + at;
        for (std::size_t each = 0; each < targets; ++each) {
            auto& at_target = running.at(each);
            std::erase_if(at_target, [&](const auto& request) {
                if (request.ends > now) {
                    return false;
                }
                registries.at(request.host)
                    .find("t" + std::to_string(each))
                    ->end_request(now, send_outcome::answered, 300ms, {}, std::nullopt);
                ++out.served;
                ++out.served_in.at(static_cast<std::size_t>(at / 1s));
                return true;
            });
        }
        std::vector<caller> asking;
        for (due += per_step; due >= 1; due -= 1) {
            asking.push_back({random() | 1U, false});
            ++out.asked;
        }
        while (!returning.empty() && returning.begin()->first <= now) {
            asking.push_back(returning.begin()->second);
            returning.erase(returning.begin());
        }
        for (const auto& each : asking) {
            const std::size_t host = random() % hosts;
            auto& registry = registries.at(host);
            auto request = make_request(now, each.key);
            request.sticky = false;
            const auto placed = place(registry, request, estimate);
            duration comes_back = 150ms;
            if (placed) {
                const std::size_t index = std::stoul(placed->target->info().id.substr(1));
                placed->target->begin_request(now, each.key);
                auto& seen = rests[{host, index}];
                if (now - seen.asked > 500ms && now - seen.asked < rest) {
                    out.most_in_a_rest = std::max(out.most_in_a_rest, ++seen.arrivals);
                }
                auto& at_target = running.at(index);
                if (at_target.size() < slots + queue) {
                    const auto ahead = at_target.size() / slots;
                    at_target.push_back({now + work * (1 + static_cast<int>(ahead)), host});
                    continue;
                }
                placed->target->end_request(now, send_outcome::shed, 1ms, {}, std::nullopt);
                if (now - seen.asked >= rest) {
                    seen = {now, 0};
                }
                if (obeys_rest) {
                    placed->target->record_rest(now, rest);
                }
            }
            else if (placed.error().remaining_rest > fractional_ms{}) {
                comes_back = std::chrono::duration_cast<duration>(
                    return_after_rest(placed.error().remaining_rest, 0, uniform(random)));
            }
            if (!each.returned) {
                returning.emplace(now + comes_back, caller{each.key, true});
            }
        }
    }
    return out;
}

} // namespace

TEST(target_signals_replay, targets_that_all_ask_for_rest_under_twice_the_load_keep_serving)
{
    const auto before = replay_surge(2.0, false);
    const auto after = replay_surge(2.0, true);
    std::printf(
        "\nserved of %zu asked under twice the load: %zu without rests, %zu with them; best "
        "possible %zu\n",
        after.asked, before.served, after.served, after.asked / 2);
    CHECK_TRUE(before.most_in_a_rest > 2);
    CHECK_TRUE(after.most_in_a_rest <= 2);
    // The load must not swing: no second after the first ones without service.
    for (std::size_t second = 2; second < after.served_in.size(); ++second) {
        CHECK_TRUE(after.served_in.at(second) * 2 > after.asked / 2 / after.served_in.size());
    }
}
