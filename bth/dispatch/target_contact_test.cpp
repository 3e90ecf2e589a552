// Series of events at a host that is cut off from all targets, in the ways in which that happens,
// and at hosts whose targets fail for other reasons.
#include "bth/dispatch/target_contact.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::dispatch;
using bth::time_point;

constexpr time_point start{1h};

std::string name_of(int target)
{
    return "t" + std::to_string(target);
}

const std::vector<std::string> listed = [] {
    std::vector<std::string> out;
    out.reserve(12);
    for (int i = 0; i < 12; ++i) {
        out.push_back(name_of(i));
    }
    return out;
}();

// A host that has had answers of twelve targets.
target_contact usual_contact()
{
    target_contact contact;
    for (int i = 0; i < 12; ++i) {
        contact.record_answer(start - 1s + 10ms * i, name_of(i), true);
    }
    return contact;
}

} // namespace

TEST_GROUP(target_contact){};

TEST(target_contact, a_host_whose_new_connections_are_refused_is_cut_off_if_probes_fail)
{
    auto contact = usual_contact();
    contact.record_failure(start, name_of(0));
    contact.record_failure(start + 20ms, name_of(0));
    contact.record_failure(start + 40ms, name_of(1));
    CHECK_FALSE(contact.needs_probes(start + 40ms));
    contact.record_failure(start + 60ms, name_of(2));
    CHECK_TRUE(contact.needs_probes(start + 60ms));
    CHECK_FALSE(contact.is_cut_off());
    CHECK_TRUE(contact.record_probes(start + 100ms, {4, 0}, {}));
    CHECK_TRUE(contact.is_cut_off());
    CHECK(contact.changed_at() == start + 100ms);
}

TEST(target_contact, answers_on_kept_connections_do_not_clear_a_suspicion)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 20ms * i, name_of(i));
        contact.record_answer(start + 20ms * i, name_of(5), false);
    }
    CHECK_TRUE(contact.is_suspected(start + 60ms));
    contact.record_answer(start + 70ms, name_of(5), true);
    CHECK_FALSE(contact.is_suspected(start + 70ms));
}

TEST(target_contact, requests_that_no_target_answers_are_a_suspicion)
{
    auto contact = usual_contact();
    for (int i = 0; i < 4; ++i) {
        contact.record_request(start + 10ms * i, name_of(i));
    }
    CHECK_FALSE(contact.is_suspected(start + 900ms));
    CHECK_TRUE(contact.is_suspected(start + 1100ms));
    contact.record_answer(start + 1200ms, name_of(2), false);
    CHECK_FALSE(contact.is_suspected(start + 5s));
}

TEST(target_contact, requests_that_were_given_up_owe_no_answer)
{
    auto contact = usual_contact();
    for (int i = 0; i < 4; ++i) {
        contact.record_request(start, name_of(i));
        contact.record_withdrawal(name_of(i));
    }
    CHECK_FALSE(contact.is_suspected(start + 5s));
}

TEST(target_contact, targets_that_end_together_are_no_cut)
{
    auto contact = usual_contact();
    for (int i = 0; i < 6; ++i) {
        contact.record_failure(start + 10ms * i, name_of(i));
    }
    CHECK_TRUE(contact.needs_probes(start + 60ms));
    // Those without failures are probed.
    const auto probes = contact.choose_probes(listed);
    LONGS_EQUAL(target_contact::max_probes, probes.size());
    for (const auto& each : probes) {
        CHECK(each >= name_of(6) || each == name_of(10) || each == name_of(11));
    }
    CHECK_FALSE(contact.record_probes(start + 80ms, {4, 1}, {}));
    CHECK_FALSE(contact.is_cut_off());
    CHECK_FALSE(contact.is_suspected(start + 80ms));
    // The next test waits.
    for (int i = 0; i < 6; ++i) {
        contact.record_failure(start + 100ms, name_of(i));
    }
    CHECK_TRUE(contact.is_suspected(start + 100ms));
    CHECK_FALSE(contact.needs_probes(start + 100ms));
    CHECK_TRUE(contact.needs_probes(start + 80ms + target_contact::test_interval));
}

TEST(target_contact, failures_long_apart_are_no_suspicion)
{
    auto contact = usual_contact();
    for (int i = 0; i < 6; ++i) {
        contact.record_failure(start + 2s * i, name_of(i));
        CHECK_FALSE(contact.is_suspected(start + 2s * i));
    }
}

TEST(target_contact, a_host_that_reaches_a_target_again_is_no_longer_cut_off)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start, name_of(i));
    }
    contact.record_probes(start, {4, 0}, {});
    CHECK_FALSE(contact.needs_probes(start + 200ms));
    CHECK_TRUE(contact.needs_probes(start + target_contact::return_interval));
    CHECK_FALSE(contact.record_probes(start + 300ms, {4, 0}, {}));
    CHECK_TRUE(contact.record_probes(start + 600ms, {4, 1}, {}));
    CHECK_FALSE(contact.is_cut_off());
    CHECK_FALSE(contact.needs_probes(start + 10s));
}

TEST(target_contact, a_cut_that_comes_back_soon_after_targets_were_reached_again_is_tested_at_once)
{
    auto contact = usual_contact();
    contact.record_probes(start, {4, 0}, {});
    CHECK_TRUE(contact.is_cut_off());
    contact.record_probes(start + 300ms, {4, 4}, {});
    CHECK_FALSE(contact.is_cut_off());
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 400ms, name_of(i));
    }
    CHECK_TRUE(contact.needs_probes(start + 400ms));
    // Only the look that found targets again is no test: the next one waits.
    contact.record_probes(start + 410ms, {4, 4}, {});
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 420ms, name_of(i));
    }
    CHECK_FALSE(contact.needs_probes(start + 420ms));
    CHECK_TRUE(contact.needs_probes(start + 410ms + target_contact::test_interval));
}

TEST(target_contact, a_host_that_never_had_an_answer_probes_what_failed)
{
    target_contact contact;
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start, name_of(i));
    }
    LONGS_EQUAL(target_contact::max_probes, contact.choose_probes(listed).size());
    CHECK_TRUE(contact.record_probes(start, {3, 0}, {}));
}

TEST(target_contact, a_host_finds_targets_that_replaced_all_it_knew)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start, name_of(i));
    }
    contact.record_probes(start, {4, 0}, {});
    const std::vector<std::string> replaced{"n0", "n1", "n2", "n3", "n4", "n5", "n6"};
    std::set<std::string> probed;
    for (int round = 0; round < 2; ++round) {
        for (const auto& each : contact.choose_probes(replaced)) {
            probed.insert(each);
        }
    }
    LONGS_EQUAL(replaced.size(), probed.size());
}

TEST(target_contact, while_cut_off_not_only_the_targets_that_answered_last_are_probed)
{
    auto contact = usual_contact();
    contact.record_probes(start, {4, 0}, {});
    std::set<std::string> probed;
    for (int round = 0; round < 6; ++round) {
        for (const auto& each : contact.choose_probes(listed)) {
            probed.insert(each);
        }
    }
    LONGS_EQUAL(listed.size(), probed.size());
}

TEST(target_contact, without_targets_to_probe_nothing_is_concluded)
{
    target_contact contact;
    CHECK_FALSE(contact.record_probes(start, {0, 0}, {}));
    CHECK_FALSE(contact.is_cut_off());
}

// A host whose link is full, as seen in a replay of hosts that are stopped in turn: eight
// connections in a row time out, then four probes, while answers go on arriving over kept ones.
TEST(target_contact, a_host_whose_link_is_full_is_not_cut_off)
{
    auto contact = usual_contact();
    for (int i = 0; i < 8; ++i) {
        contact.record_request(start + 40ms * i, name_of(i));
        contact.record_withdrawal(name_of(i));
        contact.record_failure(start + 40ms * i + 80ms, name_of(i));
        contact.record_answer(start + 40ms * i + 90ms, name_of(8 + i % 4), false);
    }
    CHECK_TRUE(contact.needs_probes(start + 400ms));
    LONGS_EQUAL(target_contact::max_probes, contact.choose_probes(listed).size());
    CHECK_FALSE(contact.record_probes(start + 560ms, {4, 0, 4}, {3, 0, 3}));
    CHECK_FALSE(contact.is_cut_off());
    CHECK_TRUE(contact.is_link_full());
    // The suspicion stays, and is tested again.
    CHECK_FALSE(contact.needs_probes(start + 700ms));
    CHECK_TRUE(contact.needs_probes(start + 560ms + target_contact::test_interval));
}

TEST(target_contact, a_host_is_cut_off_whose_probes_hang_while_a_neighbour_is_reached)
{
    for (const auto& neighbours :
         {probe_results{3, 1, 2}, probe_results{3, 3, 0}, probe_results{1, 1, 0}}) {
        auto contact = usual_contact();
        for (int i = 0; i < 3; ++i) {
            contact.record_failure(start + 10ms * i, name_of(i));
            contact.record_answer(start + 10ms * i + 5ms, name_of(5), false);
        }
        CHECK_TRUE(contact.record_probes(start + 110ms, {4, 0, 4}, neighbours));
        CHECK_TRUE(contact.is_cut_off());
        CHECK_FALSE(contact.is_link_full());
    }
}

TEST(target_contact, a_host_is_cut_off_whose_probes_are_refused_while_neighbours_time_out)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 10ms * i, name_of(i));
        contact.record_answer(start + 10ms * i + 5ms, name_of(5), false);
    }
    const probe_results one_refused{4, 0, 3};
    CHECK_FALSE(target_contact::needs_neighbours(one_refused));
    CHECK_TRUE(contact.record_probes(start + 110ms, one_refused, {3, 0, 3}));
}

TEST(target_contact, one_neighbour_that_stands_still_hides_no_cut)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 10ms * i, name_of(i));
        contact.record_answer(start + 10ms * i + 5ms, name_of(5), false);
    }
    CHECK_TRUE(contact.record_probes(start + 110ms, {4, 0, 4}, {1, 0, 1}));
}

// Nothing arrives any more, from targets or from other hosts.
TEST(target_contact, a_host_with_few_answers_whose_link_is_full_is_not_cut_off)
{
    auto contact = usual_contact();
    contact.record_answer(start, name_of(5), false);
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 400ms + 10ms * i, name_of(i));
    }
    CHECK_FALSE(contact.record_probes(start + 600ms, {4, 0, 4}, {3, 0, 3}));
    CHECK_TRUE(contact.is_link_full());
}

TEST(target_contact,
     a_host_that_is_cut_off_from_everything_finds_that_a_second_after_the_last_answer)
{
    auto contact = usual_contact();
    contact.record_answer(start, name_of(5), false);
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start + 900ms, name_of(i));
    }
    CHECK_TRUE(contact.record_probes(start + 1001ms, {4, 0, 4}, {3, 0, 3}));
    CHECK_TRUE(contact.is_cut_off());
}

TEST(target_contact, a_host_whose_full_link_is_cut_finds_that_within_a_second_and_a_test)
{
    auto contact = usual_contact();
    for (int i = 0; i < 3; ++i) {
        contact.record_failure(start, name_of(i));
    }
    contact.record_answer(start + 100ms, name_of(5), false);
    contact.record_probes(start + 160ms, {4, 0, 4}, {3, 0, 3});
    CHECK_TRUE(contact.is_link_full());
    CHECK_TRUE(contact.record_probes(start + 1200ms, {4, 0, 4}, {3, 0, 3}));
    CHECK_TRUE(contact.is_cut_off());
    CHECK_FALSE(contact.is_link_full());
}

TEST(target_contact, other_failure_domains_are_probed_first_and_hosts_in_turn)
{
    target_contact contact;
    const std::vector<roster_host> ready{{"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"},
                                         {"b-2", "b"}, {"c-1", "c"}, {"c-2", "c"}};
    std::set<std::string> probed;
    for (int round = 0; round < 2; ++round) {
        const auto chosen = contact.choose_neighbours(ready, "a");
        LONGS_EQUAL(target_contact::max_neighbour_probes, chosen.size());
        probed.insert(chosen.begin(), chosen.end());
    }
    CHECK(probed == (std::set<std::string>{"b-1", "b-2", "c-1", "c-2"}));
    const auto few = contact.choose_neighbours({{"a-1", "a"}, {"b-1", "b"}}, "a");
    CHECK(few == (std::vector<std::string>{"b-1", "a-1"}));
    CHECK_TRUE(contact.choose_neighbours({}, "a").empty());
    // A host that is cut off looks for targets only.
    contact.record_probes(start, {4, 0}, {});
    CHECK_TRUE(contact.choose_neighbours(ready, "a").empty());
}
