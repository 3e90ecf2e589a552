#include "bth/fleet/control_host_selector.h"

#include <bit>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::domain_regions;
using bth::fleet::control_host_selector;

constexpr time_point start{1h};

domain_regions regions()
{
    return {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
}

control_host_selector make_selector()
{
    return {"n1", regions(), {"a", "b", "c"}, 1};
}

// Returns the control hosts selected within ten seconds, while each sends the same update on every
// step: whether it is in contact, and whether it reports other control hosts than itself.
std::set<std::string> selected_within_ten_seconds(control_host_selector& choice, time_point& now,
                                                  bool in_contact, bool names_others)
{
    std::set<std::string> out;
    for (const auto end = now + 10s; now < end; now += 100ms) {
        choice.reselect(now);
        out.insert(choice.current());
        std::vector<bth::fleet::control_host_info> reported{{choice.current(), "s1"}};
        if (names_others) {
            reported = {{"a", "s1"}, {"b", "n2"}, {"d", "n1"}};
        }
        choice.record_update(now, in_contact, std::move(reported));
    }
    return out;
}

// Returns the time from a partition of the control hosts to the first update that an entry host
// gets from the majority. The set bits of `minority` are the control hosts outside the majority.
bth::duration time_to_reach_majority(unsigned minority, std::size_t first)
{
    constexpr auto isolation_detection_delay = 750ms;
    constexpr auto network_delay = 50ms;
    const std::vector<bth::fleet::control_host_info> all{{"c0", "n1"}, {"c1", "n1"}, {"c2", "n2"},
                                                         {"c3", "n2"}, {"c4", "s1"}, {"c5", "s1"},
                                                         {"c6", "s1"}, {"c7", "s1"}, {"c8", "s1"}};
    control_host_selector choice{"n1", regions(), {"c0"}, first};
    choice.reselect(start);
    time_point next_update = start;
    const auto split_at = start + 2s;
    const auto isolation_reported_at = split_at + isolation_detection_delay;
    for (auto now = start; now < split_at + 10s; now += network_delay) {
        if (choice.reselect(now)) {
            next_update = now + network_delay;
        }
        if (now < next_update && now != isolation_reported_at) {
            continue;
        }
        const bool in_minority = (minority >> (choice.current().back() - '0') & 1U) != 0;
        choice.record_update(now, now < isolation_reported_at || !in_minority, all);
        next_update = now + 400ms;
        if (now >= isolation_reported_at && !in_minority) {
            return now - split_at;
        }
    }
    return 10s;
}

} // namespace

TEST_GROUP(control_host_selector){};

TEST(control_host_selector, the_first_selection_is_a_seed)
{
    auto choice = make_selector();
    CHECK_TRUE(choice.reselect(start));
    STRCMP_EQUAL("b", choice.current().c_str());
    CHECK_FALSE(choice.reselect(start + 100ms));
}

TEST(control_host_selector, a_silent_control_host_is_replaced_after_a_second)
{
    auto choice = make_selector();
    choice.reselect(start);
    choice.record_update(start + 500ms, true, {{"b", "s1"}});
    CHECK_FALSE(choice.reselect(start + 1500ms));
    CHECK_TRUE(choice.reselect(start + 1501ms));
    CHECK_TRUE(choice.current() != "b");
}

TEST(control_host_selector, the_control_host_of_the_own_domain_is_selected_once_it_is_known)
{
    auto choice = make_selector();
    auto now = start;
    selected_within_ten_seconds(choice, now, true, true);
    STRCMP_EQUAL("d", choice.current().c_str());
}

// After the loss of all control hosts, the first to return knows only itself and may stay isolated.
// Entry hosts attached to it must still try the others.
TEST(control_host_selector, an_isolated_control_host_that_reports_only_itself_is_abandoned)
{
    auto choice = make_selector();
    auto now = start;
    selected_within_ten_seconds(choice, now, true, true);
    const auto selected = selected_within_ten_seconds(choice, now, false, false);
    CHECK_TRUE(selected.contains("a"));
    CHECK_TRUE(selected.contains("b"));
    CHECK_TRUE(selected.contains("c"));
    CHECK_TRUE(selected.contains("d"));
}

TEST(control_host_selector, a_control_host_in_contact_removes_candidates_it_does_not_report)
{
    auto choice = make_selector();
    auto now = start;
    selected_within_ten_seconds(choice, now, true, true);
    choice.record_update(now, true, {{"a", "s1"}});
    std::set<std::string> selected;
    for (int each = 0; each < 6; ++each) {
        now += 2s;
        CHECK_TRUE(choice.reselect(now));
        selected.insert(choice.current());
    }
    CHECK_TRUE(selected == std::set<std::string>({"a", "b", "c"}));
}

// Four of nine control hosts are partitioned from the others, but not from the entry hosts. A
// change that the majority commits immediately must be in force on every entry host 2.5 s later, so
// no entry host may stay with isolated control hosts for longer.
TEST(control_host_selector, the_majority_of_partitioned_control_hosts_is_found_in_time)
{
    constexpr unsigned hosts = 9;
    constexpr int minority_size = 4;
    constexpr auto max_time_to_apply = 2500ms;
    for (unsigned members = 0; members < 1U << hosts; ++members) {
        if (std::popcount(members) == minority_size) {
            for (std::size_t first = 0; first < hosts; ++first) {
                CHECK(time_to_reach_majority(members, first) <= max_time_to_apply);
            }
        }
    }
}

TEST(control_host_selector, the_only_candidate_is_not_reported_as_a_change)
{
    control_host_selector choice{"n1", regions(), {"a"}, 0};
    CHECK_TRUE(choice.reselect(start));
    CHECK_FALSE(choice.reselect(start + 5s));
    STRCMP_EQUAL("a", choice.current().c_str());
}
