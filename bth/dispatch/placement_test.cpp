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
using bth::dispatch::placement_question;
using bth::dispatch::send_outcome;
using bth::dispatch::target_board;
using bth::dispatch::target_facts;
using bth::dispatch::work_estimate;

constexpr time_point start{1h};
const bth::dispatch::domain_regions regions{
    {"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}};

target_facts facts(const std::string& id, const std::string& domain)
{
    return {id, "orders", {}, domain, 3, false, {}};
}

target_board make_board()
{
    target_board board{regions};
    board.apply(start,
                {facts("a", "north-1"), facts("b", "north-1"), facts("c", "north-2"),
                 facts("d", "south-1")},
                {}, true);
    return board;
}

placement_question make_question(object_key key)
{
    placement_question question;
    question.now = start;
    question.service = "orders";
    question.key = key;
    question.sticky = true;
    question.domain = "north-1";
    question.region = "north";
    question.time_left = 800ms;
    question.objective_left = 250ms;
    question.cold_allowance = 1;
    return question;
}

const work_estimate work{100ms, 300ms};

void fill(target_board& board, const std::string& id, int requests)
{
    for (const auto& row : board.of_service("orders")) {
        for (int each = 0; row->facts().id == id && each < requests; ++each) {
            row->begin(start, 0);
        }
    }
}

} // namespace

TEST_GROUP(placement){};

TEST(placement, hosts_of_a_region_send_an_object_to_the_same_target)
{
    const auto first = make_board();
    const auto second = make_board();
    for (object_key key = 1; key < 50; ++key) {
        auto here = make_question(key);
        auto there = make_question(key);
        there.domain = "north-2";
        STRCMP_EQUAL(place(first, here, work)->where->facts().id.c_str(),
                     place(second, there, work)->where->facts().id.c_str());
    }
}

TEST(placement, waiting_for_a_warm_target_beats_a_cold_one_only_while_it_is_shorter)
{
    auto board = make_board();
    auto question = make_question(5);
    question.objective_left = 500ms;
    const auto home = place(board, question, work)->where->facts().id;
    fill(board, home, 7);
    STRCMP_EQUAL(home.c_str(), place(board, question, work)->where->facts().id.c_str());
    fill(board, home, 3);
    CHECK(home != place(board, question, work)->where->facts().id);
}

// Targets remember few objects. An object whose home is busy is taught to one other target, the
// same from every host, and not to whichever is the least busy at the moment.
TEST(placement, an_object_whose_home_is_busy_goes_to_the_same_second_home_from_every_host)
{
    for (object_key key = 1; key < 30; ++key) {
        auto first = make_board();
        auto second = make_board();
        auto here = make_question(key);
        here.objective_left = 500ms;
        auto there = here;
        there.domain = "north-2";
        const auto home = place(first, here, work)->where->facts().id;
        fill(first, home, 14);
        fill(second, home, 14);
        const auto spilled = place(first, here, work);
        CHECK(spilled->where->facts().id != home);
        STRCMP_EQUAL(spilled->where->facts().id.c_str(),
                     place(second, there, work)->where->facts().id.c_str());
    }
}

TEST(placement, an_evacuated_domain_is_nobodys_home)
{
    auto board = make_board();
    board.set_evacuated(start, {"north-1"}, 3s);
    for (object_key key = 1; key < 20; ++key) {
        const auto found = place(board, make_question(key), work);
        STRCMP_EQUAL("c", found->where->facts().id.c_str());
        CHECK_TRUE(found->warm);
    }
}

TEST(placement, the_other_region_is_used_when_the_own_one_is_full)
{
    auto board = make_board();
    for (const auto* id : {"a", "b", "c"}) {
        fill(board, id, 12);
    }
    // Where it can still be in time.
    auto question = make_question(5);
    question.objective_left = 400ms;
    STRCMP_EQUAL("d", place(board, question, work)->where->facts().id.c_str());
}

TEST(placement, the_other_region_is_used_when_all_targets_of_the_own_one_have_failed)
{
    const auto board = make_board();
    auto question = make_question(5);
    for (const auto& row : board.of_service("orders")) {
        if (row->facts().id != "d") {
            question.tried.push_back(row.get());
        }
    }
    STRCMP_EQUAL("d", place(board, question, work)->where->facts().id.c_str());
}

TEST(placement, only_allowed_regions_are_used)
{
    const auto board = make_board();
    const std::vector<std::string> south{"south"};
    auto question = make_question(5);
    question.allowed_regions = &south;
    STRCMP_EQUAL("d", place(board, question, work)->where->facts().id.c_str());
}

TEST(placement, what_would_come_too_late_is_refused_at_once)
{
    const auto board = make_board();
    auto question = make_question(0);
    question.time_left = 50ms;
    const auto found = place(board, question, work);
    CHECK_FALSE(found.has_value());
    CHECK(found.error().why == placement_failure::too_late);
}

// A service asked for more than it can do: who would be late anyway may only join a short queue,
// and the less urgent a shorter one, so that those behind them are still answered in time.
TEST(placement, behind_a_queue_the_late_are_refused_and_the_less_urgent_first)
{
    auto board = make_board();
    for (const auto* id : {"a", "b", "c", "d"}) {
        fill(board, id, 4);
    }
    auto urgent = make_question(5);
    urgent.objective_left = 100ms;
    auto later = urgent;
    later.priority = 5;
    CHECK_TRUE(place(board, urgent, work).has_value());
    const auto refused = place(board, later, work);
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().why == placement_failure::overload);
    CHECK(refused.error().come_back > 0ms);
}

TEST(placement, who_can_still_be_in_time_waits_whatever_the_queue)
{
    auto board = make_board();
    for (const auto* id : {"a", "b", "c", "d"}) {
        fill(board, id, 6);
    }
    auto later = make_question(5);
    later.priority = 5;
    later.objective_left = 400ms;
    CHECK_TRUE(place(board, later, work).has_value());
}

// Work on a new object takes three times the slot time of a known one. On targets that are busy
// with objects that they know it would push those out of their objective.
TEST(placement, a_busy_target_is_spared_objects_that_are_new_to_it)
{
    auto board = make_board();
    auto question = make_question(5);
    question.objective_left = 500ms;
    const auto home = place(board, question, work)->where->facts().id;
    for (const auto* id : {"a", "b", "c", "d"}) {
        fill(board, id, 3);
    }
    fill(board, home, 9);
    STRCMP_EQUAL(home.c_str(), place(board, question, work)->where->facts().id.c_str());
}

// A region with few targets for its callers.
TEST(placement, the_part_of_the_objects_that_lives_away_goes_to_one_target_each_while_idle)
{
    constexpr object_key objects = 400;
    const auto board = make_board();
    std::size_t away = 0;
    for (object_key each = 1; each <= objects; ++each) {
        auto question =
            make_question(bth::dispatch::make_object_key("orders", std::to_string(each)));
        question.away = 0.25;
        const auto found = place(board, question, work);
        CHECK_TRUE(found->warm);
        away += found->where->facts().id == "d" ? 1 : 0;
    }
    CHECK(away > objects / 5 && away < objects * 3 / 10);
}

// All targets of the region are busy; work on an object takes thrice the slot time elsewhere.
TEST(placement, overload_does_not_turn_into_cold_work)
{
    auto board = make_board();
    auto question = make_question(5);
    question.objective_left = 250ms;
    const auto home = place(board, question, work)->where;
    fill(board, home->facts().id, 9);
    // Cold work elsewhere would be late by itself, so that the second home is left to be asked.
    const auto next = place(board, question, work);
    CHECK_TRUE(next.has_value());
    CHECK(next->where != home);
    fill(board, next->where->facts().id, 9);
    question.declined = true;
    for (const auto& row : board.of_service("orders")) {
        const auto found = place(board, question, work);
        CHECK(!found || found->where == home || found->where == next->where);
        CHECK(found || found.error().why == placement_failure::overload);
        question.tried.push_back(row.get());
    }
}

TEST(placement, a_request_that_the_homes_declined_does_not_start_cold_elsewhere_to_be_late)
{
    const auto board = make_board();
    auto question = make_question(5);
    const auto first = place(board, question, work)->where;
    question.tried.push_back(first.get());
    const auto second = place(board, question, work)->where;
    question.tried.push_back(second.get());
    // Homes that failed are passed by; those that are full are not.
    CHECK_TRUE(place(board, question, work).has_value());
    question.declined = true;
    CHECK(place(board, question, work).error().why == placement_failure::overload);
    // In time it may start anywhere.
    question.objective_left = 400ms;
    CHECK_TRUE(place(board, question, work).has_value());
}

// Work of a few milliseconds is never worth a target that is avoided by a fixed time.
TEST(placement, a_target_that_failed_once_gets_requests_again_though_others_are_faster)
{
    const work_estimate quick{2ms, 4ms};
    const auto board = make_board();
    auto question = make_question(5);
    const auto home = place(board, question, quick)->where;
    home->begin(start, 5);
    home->end(start, send_outcome::broken, 1ms, 1ms, {});
    CHECK(place(board, question, quick)->where != home);
    question.now = start + 6s;
    CHECK(place(board, question, quick)->where == home);
}

TEST(placement, objects_that_live_away_stay_where_no_other_region_is_allowed)
{
    const auto board = make_board();
    const std::vector<std::string> own{"north"};
    auto question = make_question(5);
    question.away = 1.0;
    question.allowed_regions = &own;
    CHECK(place(board, question, work)->where->facts().id != "d");
}

TEST(placement, leaving_evacuated_and_gone_targets_get_nothing)
{
    auto board = make_board();
    auto leaving = facts("a", "north-1");
    leaving.draining = true;
    board.apply(start, {leaving}, {"b"}, false);
    board.set_evacuated(start, {"north-2"}, 3s);
    for (object_key key = 1; key < 20; ++key) {
        STRCMP_EQUAL("d", place(board, make_question(key), work)->where->facts().id.c_str());
    }
}

TEST(placement, a_domain_taken_back_is_treated_as_cold)
{
    auto board = make_board();
    board.set_evacuated(start, {"south-1"}, 3s);
    board.set_evacuated(start, {}, 3s);
    for (const auto& row : board.of_service("orders")) {
        CHECK_EQUAL(row->facts().domain == "south-1", row->is_cold(start + 1s));
    }
}

TEST(placement, a_cold_target_gets_no_more_than_its_allowance)
{
    target_board board{regions};
    auto cold = facts("a", "north-1");
    cold.cold_left = 3s;
    board.apply(start, {cold}, {}, true);
    const auto question = make_question(1);
    const auto first = place(board, question, work);
    CHECK_TRUE(first.has_value());
    first->where->begin(start, 1);
    CHECK(place(board, question, work).error().why == placement_failure::no_target);
}

// Hosts of three regions that each used the whole allowance would together exceed what it bears.
TEST(placement, a_cold_target_of_another_region_gets_nothing)
{
    target_board board{regions};
    auto cold = facts("d", "south-1");
    cold.cold_left = 3s;
    board.apply(start, {cold}, {}, true);
    CHECK(place(board, make_question(1), work).error().why == placement_failure::no_target);
}

TEST(placement, ejected_targets_are_used_when_there_is_no_other)
{
    target_board board{regions};
    board.apply(start, {facts("a", "north-1")}, {}, true);
    const auto row = board.of_service("orders").front();
    for (int each = 0; each < 3; ++each) {
        row->begin(start, 0);
        row->end(start, send_outcome::broken, 1ms, 1ms, {});
    }
    CHECK_TRUE(row->is_ejected(start));
    CHECK_TRUE(place(board, make_question(1), work).has_value());
}

TEST(placement, an_address_used_again_is_another_target)
{
    auto board = make_board();
    const auto before = board.of_service("orders").front();
    auto moved = before->facts();
    moved.service = "quotes";
    board.apply(start, {moved}, {}, false);
    CHECK_TRUE(before->is_gone());
    LONGS_EQUAL(3, board.of_service("orders").size());
    LONGS_EQUAL(1, board.of_service("quotes").size());
}

TEST_GROUP(cold_share){};

TEST(cold_share, the_parts_of_all_hosts_stay_within_the_limit)
{
    for (std::uint32_t hosts = 1; hosts < 100; ++hosts) {
        std::uint32_t sum = 0;
        for (std::uint32_t rank = 0; rank < hosts; ++rank) {
            sum += bth::dispatch::cold_share(12.8, hosts, rank);
        }
        LONGS_EQUAL(12, sum);
    }
}

TEST_GROUP(retry_window){};

TEST(retry_window, hosts_together_stay_within_the_budget)
{
    constexpr std::uint32_t hosts = 9;
    std::uint32_t spent = 0;
    std::uint32_t firsts = 0;
    for (std::uint32_t host = 0; host < hosts; ++host) {
        bth::dispatch::retry_window window;
        window.set({0.2, 58, hosts}, 10s);
        for (int each = 0; each < 100; ++each) {
            window.count_first(start);
            ++firsts;
        }
        while (window.spend(start)) {
            ++spent;
        }
    }
    CHECK(spent <= 0.2 * firsts + 58);
    CHECK(spent > 0.1 * firsts);
}

TEST(retry_window, what_was_spent_comes_back_after_the_window)
{
    bth::dispatch::retry_window window;
    window.set({0.0, 3, 1}, 10s);
    CHECK_TRUE(window.spend(start));
    CHECK_TRUE(window.spend(start));
    CHECK_FALSE(window.spend(start + 9s));
    CHECK_TRUE(window.spend(start + 10s));
}
