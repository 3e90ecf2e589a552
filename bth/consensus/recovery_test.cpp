#include "bth/consensus/testing/fake_group.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::consensus::testing::fake_group;
using bth::consensus::testing::test_result;

// Submits to the leader and waits. Returns the state machine's answer, or nothing.
std::string submit(fake_group& group, const std::string& id)
{
    std::string answer;
    const auto leader = group.leader();
    if (leader) {
        group.submit(*leader, id, group.history().size(),
                     [&](const test_result& result) { answer = result.applied.value_or(""); });
        group.run(500ms);
    }
    return answer;
}

void isolate(fake_group& group, std::size_t host, bool on)
{
    for (std::size_t other = 0; other < group.size(); ++other) {
        group.cut(host, other, on);
        group.cut(other, host, on);
    }
}

} // namespace

// clang-format off
TEST_GROUP(recovery) {};
// clang-format on

TEST(recovery, host_with_a_new_disk_is_not_the_voter_it_was_and_a_second_may_be_lost_after_it)
{
    fake_group group{1, 3};
    group.run(3s);
    const auto behind = (group.leader().value() + 1) % 3;
    const auto first = (group.leader().value() + 2) % 3;
    const auto second = group.leader().value();
    isolate(group, behind, true);
    STRCMP_EQUAL("a accepted as 1", submit(group, "a").c_str());
    group.lose_disk(first);
    group.restart(first);
    isolate(group, second, true);
    isolate(group, behind, false);
    group.cut(second, behind, true);
    group.cut(behind, second, true);
    // The blank host and the one that missed the edit are two of three, yet no majority.
    group.run(5s);
    CHECK_FALSE(group.leader().has_value());
    isolate(group, second, false);
    group.run(5s);
    CHECK_TRUE(group.leader().has_value());
    UNSIGNED_LONGS_EQUAL(3, group.status(*group.leader()).members.voters.size());
    STRCMP_EQUAL("b accepted as 2", submit(group, "b").c_str());
    CHECK_TRUE(group.can_lose_disk(second));
    group.lose_disk(second);
    group.run(3s);
    STRCMP_EQUAL("c accepted as 3", submit(group, "c").c_str());
    group.restart(second);
    group.run(3s);
    UNSIGNED_LONGS_EQUAL(3, group.status(*group.leader()).members.voters.size());
    UNSIGNED_LONGS_EQUAL(3, group.at(second).state().accepted.size());
    CHECK_TRUE(group.violations().empty());
}

TEST(recovery, wiped_host_is_admitted_by_a_leader_that_is_no_seed_and_two_more_disks_may_be_lost)
{
    constexpr std::size_t seeds = 3;
    fake_group group{6, 6};
    group.seed_count = seeds;
    group.run(3s);
    for (int i = 0; i < 20 && group.leader().value() < seeds; ++i) {
        const auto seed = group.leader().value();
        group.kill(seed);
        group.run(3s);
        group.restart(seed);
        group.run(1s);
    }
    const auto leader = group.leader().value();
    CHECK_TRUE(leader >= seeds);
    STRCMP_EQUAL("a accepted as 1", submit(group, "a").c_str());
    for (std::size_t wiped = 0; wiped < seeds; ++wiped) {
        CHECK_TRUE(group.can_lose_disk(wiped));
        group.lose_disk(wiped);
        group.restart(wiped);
        group.run(2s);
        UNSIGNED_LONGS_EQUAL(leader, group.leader().value());
        const auto members = group.status(leader).members;
        UNSIGNED_LONGS_EQUAL(6, members.voters.size());
        CHECK_TRUE(is_voter(members, group.status(wiped).self));
        CHECK_TRUE(group.at(wiped).state().accepted.size() == 1);
    }
    CHECK_TRUE(group.violations().empty());
}

TEST(recovery, resend_after_failover_and_restart_gets_the_first_answer)
{
    fake_group group{2, 3};
    group.run(3s);
    const auto first = submit(group, "a");
    submit(group, "b");
    const auto old = group.leader().value();
    group.power_off(old);
    group.run(3s);
    CHECK_TRUE(submit(group, "a") == first);
    for (std::size_t host = 0; host < group.size(); ++host) {
        group.power_off(host);
        group.restart(host);
    }
    group.run(3s);
    CHECK_TRUE(submit(group, "a") == first);
}

TEST(recovery, host_that_missed_five_hundred_edits_catches_up_within_a_second)
{
    fake_group group{3, 3};
    group.log_bytes = 1U << 20U;
    group.run(3s);
    const auto behind = (group.leader().value() + 1) % 3;
    group.power_off(behind);
    for (int i = 0; i < 500; ++i) {
        group.submit(*group.leader(), "edit-" + std::to_string(i), static_cast<std::size_t>(i),
                     [](const auto&) {});
        group.run(30ms);
    }
    group.run(100ms);
    UNSIGNED_LONGS_EQUAL(500, group.history().size());
    group.restart(behind);
    group.run(1s);
    UNSIGNED_LONGS_EQUAL(500, group.at(behind).state().accepted.size());
    CHECK_TRUE(group.status(behind).caught_up);
}

TEST(recovery, member_whose_disk_was_full_takes_part_again_and_loses_nothing)
{
    for (const bool leads : {true, false}) {
        fake_group group{5, 3};
        group.resumes_after_failure = true;
        group.run(3s);
        STRCMP_EQUAL("a accepted as 1", submit(group, "a").c_str());
        const auto full = (group.leader().value() + (leads ? 0 : 1)) % 3;
        const auto other = (full + 1) % 3;
        group.fail_disk_after(full, 0);
        submit(group, "b");
        group.run(3s);
        CHECK_TRUE(group.at(full).failure().has_value());
        CHECK_FALSE(group.status(full).leader.has_value());
        CHECK_FALSE(group.status(full).caught_up);
        CHECK_FALSE(submit(group, "b").empty());
        group.repair_disk(full);
        group.run(3s);
        CHECK_FALSE(group.at(full).failure().has_value());
        CHECK_TRUE(group.status(full).caught_up);
        UNSIGNED_LONGS_EQUAL(2, group.at(full).state().accepted.size());
        // It counts in a majority again, also after a loss of power.
        group.power_off(other);
        group.run(3s);
        STRCMP_EQUAL("c accepted as 3", submit(group, "c").c_str());
        group.power_off(full);
        group.restart(full);
        group.run(3s);
        UNSIGNED_LONGS_EQUAL(3, group.at(full).state().accepted.size());
        CHECK_TRUE(group.violations().empty());
    }
}

// The others have lost their leader meanwhile, and need its vote.
TEST(recovery, member_whose_disk_has_room_again_votes_without_waiting_for_its_former_leader)
{
    fake_group group{5, 3};
    group.resumes_after_failure = true;
    group.run(3s);
    const auto former = group.leader().value();
    const auto full = (former + 1) % 3;
    group.fail_disk_after(full, 0);
    submit(group, "a");
    CHECK_TRUE(group.at(full).failure().has_value());
    group.power_off(former);
    group.run(3s);
    CHECK_FALSE(group.leader().has_value());
    group.repair_disk(full);
    while (group.at(full).failure()) {
        group.run(10ms);
    }
    const auto resumed = group.now();
    while (!group.leader() && group.now() - resumed < 5s) {
        group.run(10ms);
    }
    // The candidate asks again every 150 to 450 ms.
    CHECK_TRUE(group.now() - resumed < 600ms);
    CHECK_TRUE(group.violations().empty());
}

TEST(recovery, member_whose_disk_stays_full_tries_again_and_stays_stopped)
{
    fake_group group{7, 3};
    group.resumes_after_failure = true;
    group.run(3s);
    const auto full = (group.leader().value() + 1) % 3;
    group.fail_disk_after(full, 0);
    submit(group, "a");
    const auto term = group.status(*group.leader()).term;
    group.run(30s);
    CHECK_TRUE(group.at(full).failure().has_value());
    // Its attempts disturb nobody.
    CHECK_TRUE(group.status(*group.leader()).term == term);
    CHECK_FALSE(submit(group, "b").empty());
    CHECK_TRUE(group.violations().empty());
}

TEST(recovery, full_disk_stops_the_member_and_the_others_go_on)
{
    fake_group group{4, 3};
    group.run(3s);
    const auto full = group.leader().value();
    group.fail_disk_after(full, 0);
    submit(group, "a");
    CHECK_FALSE(group.running(full));
    group.run(3s);
    CHECK_FALSE(submit(group, "a").empty());
    CHECK_TRUE(group.violations().empty());
}
