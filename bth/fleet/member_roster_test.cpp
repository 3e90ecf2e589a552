#include "bth/fleet/member_roster.h"

#include "bth/base/ids.h"

#include <chrono>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::fleet;
using namespace std::chrono_literals;
using bth::consensus::configuration;
using bth::consensus::founding_incarnation;
using domain_map = std::map<std::string, std::string>;

constexpr bth::time_point start{1h};

configuration group_of(const std::vector<std::string>& voters, const domain_map& domains)
{
    configuration out;
    for (const auto& each : voters) {
        out.voters.push_back({each, founding_incarnation});
    }
    out.domains = domains;
    return out;
}

// Returns when the leader finds that a member was replaced, if only the hosts of `alive` are
// connected from `start` on; nothing if that isn't so for a minute.
std::optional<bth::duration> time_until_replaced(member_roster roster, const configuration& members,
                                                 const std::set<std::string>& alive,
                                                 const std::string& expected)
{
    for (bth::duration passed{}; passed < 60s; passed += 100ms) {
        const auto now = start + passed;
        roster.record_contact(now, members,
                              [&](const std::string& host) { return alive.contains(host); });
        if (const auto found = roster.find_replaced(now, members)) {
            STRCMP_EQUAL(expected.c_str(), found->c_str());
            return passed;
        }
    }
    return std::nullopt;
}

const std::set<std::string> domains{"x", "y", "z"};

} // namespace

// clang-format off
TEST_GROUP(member_roster) {};
// clang-format on

// After all hosts were killed nobody has heard a host that doesn't come back, so that it stayed a
// voter for ever; four of them ended the majority.
TEST(member_roster, host_that_no_living_one_has_heard_is_replaced_by_the_record)
{
    const auto members =
        group_of({"a", "b", "c", "c2"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"c2", "z"}});
    const auto found = time_until_replaced(member_roster{domains}, members, {"a", "b", "c2"}, "c");
    CHECK_TRUE(found.has_value());
    // 4 s from the successor's start, less an election and its admission.
    CHECK_TRUE(*found <= 2s);
}

TEST(member_roster, host_without_a_successor_stays)
{
    const auto members = group_of({"a", "b", "c"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}});
    CHECK_FALSE(time_until_replaced(member_roster{domains}, members, {"a", "b"}, "").has_value());
    auto with_learner = members;
    with_learner.learners.push_back({"c2", founding_incarnation});
    with_learner.domains.emplace("c2", "z");
    CHECK_FALSE(time_until_replaced(member_roster{domains}, with_learner, {"a", "b", "c2"}, "")
                    .has_value());
}

// A domain may have two hosts; one that restarts isn't replaced by one that was there before.
TEST(member_roster, host_beside_one_that_joined_before_it_has_time_to_come_back)
{
    const auto members =
        group_of({"a", "b", "c", "c2"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"c2", "z"}});
    const auto found = time_until_replaced(member_roster{domains}, members, {"a", "b", "c"}, "c2");
    CHECK_TRUE(found.has_value());
    CHECK_TRUE(*found > 5s);
}

TEST(member_roster, learner_that_is_gone_is_removed)
{
    auto members = group_of({"a", "b", "c"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"c2", "z"}});
    members.learners.push_back({"c2", founding_incarnation});
    CHECK_TRUE(
        time_until_replaced(member_roster{domains}, members, {"a", "b", "c"}, "c2").has_value());
}

// A build that didn't record domains leaves such a group behind.
TEST(member_roster, host_without_a_record_is_replaced_if_every_domain_has_a_voter)
{
    const auto members = group_of({"gone", "a", "b", "c"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}});
    CHECK_TRUE(
        time_until_replaced(member_roster{domains}, members, {"a", "b", "c"}, "gone").has_value());
    CHECK_FALSE(time_until_replaced(member_roster{domains}, members, {"a", "b"}, "").has_value());
    CHECK_FALSE(
        time_until_replaced(member_roster{{"w", "x", "y", "z"}}, members, {"a", "b", "c"}, "")
            .has_value());
    CHECK_FALSE(time_until_replaced(member_roster{{}}, members, {"a", "b", "c"}, "").has_value());
}

TEST(member_roster, new_leader_judges_by_its_own_contacts)
{
    const auto members =
        group_of({"a", "b", "c", "c2"}, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"c2", "z"}});
    member_roster roster{domains};
    const auto all_but_c = [](const std::string& host) {
        return host != "c";
    };
    roster.record_contact(start, members, all_but_c);
    roster.reset();
    roster.record_contact(start + 1h, members, all_but_c);
    CHECK_FALSE(roster.find_replaced(start + 1h, members).has_value());
}

TEST(member_roster, domains_that_the_group_lacks_are_recorded)
{
    auto members = group_of({"a", "b"}, {{"a", "x"}});
    members.learners.push_back({"c", founding_incarnation});
    const auto missing =
        unrecorded_domains(members, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"other", "w"}});
    CHECK_TRUE((missing == domain_map{{"b", "y"}, {"c", "z"}}));
    // Another machine has the address.
    CHECK_TRUE((unrecorded_domains(members, {{"a", "z"}}) == domain_map{{"a", "z"}}));
    CHECK_TRUE(unrecorded_domains(members, {}).empty());
}
