#include "bth/dispatch/sender_roster.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::duration;
using bth::time_point;
using bth::dispatch::roster_host;
using bth::dispatch::sender_roster;
using bth::dispatch::target_info;

constexpr time_point start{1h};
const std::vector<roster_host> hosts{{"a", "n1"}, {"b", "n1"}, {"c", "n2"}};

target_info target_in(const std::string& domain, int number)
{
    return {"t" + std::to_string(number), "orders", {}, domain, 3, false, {}};
}

std::string first_sender(const sender_roster& roster, const target_info& target,
                         time_point now = start)
{
    return std::string{roster.senders_of(now, target, 1).front()};
}

void keep_in_contact(sender_roster& roster, time_point since, duration length)
{
    for (duration later = 0s; later <= length; later += 400ms) {
        roster.record_contact(since + later);
    }
}

} // namespace

TEST_GROUP(sender_roster){};

TEST(sender_roster, all_hosts_of_a_region_select_the_same_senders)
{
    sender_roster first{"a", "n1"};
    sender_roster second{"c", "n2"};
    first.record_hosts(start, hosts);
    second.record_hosts(start, {hosts[2], hosts[0], hosts[1]});
    for (int number = 0; number < 50; ++number) {
        const auto target = target_in(number % 2 == 0 ? "n1" : "n2", number);
        CHECK(first.senders_of(start, target, 2) == second.senders_of(start, target, 2));
    }
}

TEST(sender_roster, hosts_of_the_targets_domain_come_first)
{
    sender_roster roster{"a", "n1"};
    roster.record_hosts(start, hosts);
    std::set<std::string> senders;
    for (int number = 0; number < 50; ++number) {
        senders.insert(first_sender(roster, target_in("n1", number)));
        STRCMP_EQUAL("c", first_sender(roster, target_in("n2", number)).c_str());
    }
    CHECK(senders == (std::set<std::string>{"a", "b"}));
}

TEST(sender_roster, senders_of_a_host_that_is_gone_move_after_the_retention_and_all_others_stay)
{
    sender_roster roster{"c", "n2"};
    roster.record_hosts(start, hosts);
    sender_roster reduced = roster;
    reduced.record_hosts(start, {hosts[1], hosts[2]});
    for (int number = 0; number < 50; ++number) {
        const auto target = target_in("n1", number);
        const auto before = first_sender(roster, target);
        STRCMP_EQUAL(before.c_str(),
                     first_sender(reduced, target, start + sender_roster::retention - 1ms).c_str());
        STRCMP_EQUAL("b", first_sender(reduced, target, start + sender_roster::retention).c_str());
    }
}

TEST(sender_roster, a_single_host_is_the_sender_for_all_targets)
{
    sender_roster roster{"a", "n1"};
    STRCMP_EQUAL("a", first_sender(roster, target_in("n2", 1)).c_str());
    keep_in_contact(roster, start, sender_roster::settling_time);
    CHECK_TRUE(roster.is_sender(start + sender_roster::settling_time, target_in("n2", 1), 3));
}

TEST(sender_roster, host_sends_only_after_it_was_in_contact_for_a_while)
{
    sender_roster roster{"a", "n1"};
    const auto target = target_in("n1", 1);
    CHECK_FALSE(roster.is_sender(start, target, 3));
    keep_in_contact(roster, start, 5600ms);
    CHECK_FALSE(roster.is_sender(start + 5900ms, target, 3));
    CHECK_TRUE(roster.is_sender(start + 6s, target, 3));
}

TEST(sender_roster, host_out_of_contact_stops_and_begins_anew)
{
    sender_roster roster{"a", "n1"};
    const auto target = target_in("n1", 1);
    keep_in_contact(roster, start, 8s);
    CHECK_TRUE(roster.is_sender(start + 10s, target, 3));
    CHECK_FALSE(roster.is_sender(start + 10s + 1ms, target, 3));
    roster.record_contact(start + 11s);
    CHECK_FALSE(roster.is_sender(start + 11s, target, 3));
    keep_in_contact(roster, start + 11s, 6s);
    CHECK_TRUE(roster.is_sender(start + 17s, target, 3));
}

TEST(sender_roster, hosts_that_are_not_ready_keep_their_place)
{
    sender_roster roster{"a", "n1"};
    roster.record_hosts(start, {hosts[0], {"b", "n1", false}});
    UNSIGNED_LONGS_EQUAL(2, roster.senders_of(start, target_in("n1", 1), 3).size());
    UNSIGNED_LONGS_EQUAL(1, roster.ready_host_count(start));
    CHECK_FALSE(roster.is_ready("b"));
    CHECK_FALSE(roster.is_ready("unknown"));
}
