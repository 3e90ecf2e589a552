#include "bth/steering/ownership.h"

#include "bth/steering/testing/ownership_group.h"
#include "bth/steering/testing/small_site.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(ownership) {};
// clang-format on

namespace {

using bth::domain_id;
using bth::duration;
using bth::host_id;
using bth::service_id;
using bth::steering::owner_candidates;
using bth::steering::testing::ownership_group;
using bth::steering::testing::small_site;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr service_id web{0};
constexpr service_id shop{1};

// Returns a configuration in which domain "a" has three hosts.
std::shared_ptr<const bth::config::model> three_hosts()
{
    return small_site({{"{\"name\":\"b1\",\"failure_domain\":\"b\"",
                        R"({"name":"a3","failure_domain":"a","http":"127.1.1.3:80",
                            "peer":"127.1.1.3:90"},{"name":"b1","failure_domain":"b")"}});
}

// Runs until `service` has one owner and that host is running, or until `limit` has passed. Returns
// the time that this took.
duration until_owned(ownership_group& group, service_id service, duration limit)
{
    const auto started = group.now();
    while (group.now() - started < limit) {
        const auto owners = group.owners(service);
        if (owners.size() == 1 && group.running(owners.front())) {
            break;
        }
        group.step();
    }
    return group.now() - started;
}

host_id only_owner(const ownership_group& group, service_id service)
{
    const auto owners = group.owners(service);
    CHECK_EQUAL(1, owners.size());
    return owners.front();
}

// Checks after each step that no service has more than one owner.
void run_checked(ownership_group& group, duration span)
{
    const auto end = group.now() + span;
    while (group.now() < end) {
        group.step();
        CHECK_TRUE(group.owners(web).size() <= 1);
        CHECK_TRUE(group.owners(shop).size() <= 1);
    }
}

} // namespace

TEST(ownership, single_host_owns_all_services_after_its_start_up_delay)
{
    ownership_group group{small_site(), {"b1"}, 1};
    group.run(milliseconds{1000});
    CHECK_EQUAL(0, group.owners(web).size());
    group.run(milliseconds{100});
    CHECK_EQUAL(1, group.owners(web).size());
    CHECK_EQUAL(1, group.owners(shop).size());
}

TEST(ownership, highest_ranking_candidate_owns_when_all_start_together)
{
    const auto model = three_hosts();
    ownership_group group{model, {"a1", "a2", "a3"}, 1};
    run_checked(group, seconds{2});
    for (const service_id service : {web, shop}) {
        CHECK_TRUE(only_owner(group, service) ==
                   owner_candidates(*model, domain_id{0}, service).front());
    }
}

TEST(ownership, next_candidate_waits_until_the_lease_of_a_dead_owner_expires)
{
    for (const auto& [model, names] :
         {std::pair{small_site(), std::vector<std::string>{"a1", "a2"}},
          std::pair{three_hosts(), std::vector<std::string>{"a1", "a2", "a3"}}}) {
        ownership_group group{model, names, 1};
        group.run(seconds{3});
        group.kill(only_owner(group, web));
        const duration outage = until_owned(group, web, seconds{5});
        CHECK_TRUE(outage > milliseconds{700});
        CHECK_TRUE(outage < milliseconds{1300});
    }
}

TEST(ownership, owner_resumed_after_its_lease_expired_owns_nothing)
{
    for (const auto& [model, names] :
         {std::pair{small_site(), std::vector<std::string>{"a1", "a2"}},
          std::pair{three_hosts(), std::vector<std::string>{"a1", "a2", "a3"}}}) {
        ownership_group group{model, names, 1};
        group.run(seconds{3});
        const host_id first = only_owner(group, web);
        group.freeze(first);
        run_checked(group, seconds{4});
        CHECK_FALSE(only_owner(group, web) == first);
        group.thaw(first);
        CHECK_FALSE(group.at(first).owns(web, group.now()));
        run_checked(group, seconds{2});
    }
}

TEST(ownership, resumed_candidate_does_not_presume_the_owner_dead_for_its_own_suspension)
{
    ownership_group group{small_site(), {"a1", "a2"}, 1};
    group.run(seconds{3});
    const host_id owner = only_owner(group, web);
    const host_id other = owner == group.id("a1") ? group.id("a2") : group.id("a1");
    group.freeze(other);
    run_checked(group, seconds{4});
    group.thaw(other);
    run_checked(group, seconds{2});
    CHECK_TRUE(only_owner(group, web) == owner);
}

TEST(ownership, restarted_owner_claims_nothing_while_its_earlier_lease_may_be_valid)
{
    ownership_group group{small_site(), {"b1"}, 1};
    group.run(seconds{3});
    group.start(group.id("b1"));
    const duration outage = until_owned(group, web, seconds{5});
    CHECK_TRUE(outage >= seconds{1});
}

TEST(ownership, isolated_owner_of_three_stops_before_another_candidate_starts)
{
    ownership_group group{three_hosts(), {"a1", "a2", "a3"}, 1};
    group.run(seconds{3});
    const host_id first = only_owner(group, web);
    for (const char* name : {"a1", "a2", "a3"}) {
        group.cut(first, group.id(name));
        group.cut(group.id(name), first);
    }
    run_checked(group, seconds{4});
    CHECK_FALSE(only_owner(group, web) == first);
    group.heal();
    run_checked(group, seconds{4});
}

TEST(ownership, third_candidate_denies_the_claim_of_one_cut_off_from_the_owner)
{
    ownership_group group{three_hosts(), {"a1", "a2", "a3"}, 1};
    group.run(seconds{3});
    const host_id owner = only_owner(group, web);
    const host_id other = owner == group.id("a1") ? group.id("a2") : group.id("a1");
    group.cut(owner, other);
    group.cut(other, owner);
    run_checked(group, seconds{5});
    CHECK_TRUE(only_owner(group, web) == owner);
}

TEST(ownership, one_way_partition_between_two_hosts_never_leads_to_two_owners)
{
    for (const bool from_owner : {true, false}) {
        ownership_group group{small_site(), {"a1", "a2"}, 1};
        group.run(seconds{3});
        const host_id owner = only_owner(group, web);
        const host_id other = owner == group.id("a1") ? group.id("a2") : group.id("a1");
        group.cut(from_owner ? owner : other, from_owner ? other : owner);
        run_checked(group, seconds{5});
        group.heal();
        run_checked(group, seconds{5});
    }
}

TEST(ownership, leaving_owner_hands_over_within_20_milliseconds)
{
    ownership_group group{small_site(), {"a1", "a2"}, 1};
    group.run(seconds{3});
    const host_id first = only_owner(group, web);
    group.at(first).set_leaving(true);
    group.hand_over(first);
    const duration outage = until_owned(group, web, seconds{5});
    CHECK_TRUE(outage <= milliseconds{20});
    CHECK_FALSE(only_owner(group, web) == first);
    run_checked(group, seconds{3});
}

TEST(ownership, highest_ranking_candidate_gets_its_services_back_after_a_restart)
{
    ownership_group group{small_site(), {"a1", "a2"}, 1};
    group.run(seconds{3});
    const host_id first = only_owner(group, web);
    group.kill(first);
    run_checked(group, seconds{2});
    group.start(first);
    for (int step = 0; step < 100; ++step) {
        run_checked(group, milliseconds{100});
        group.hand_over(only_owner(group, web));
        until_owned(group, web, seconds{1});
    }
    CHECK_TRUE(only_owner(group, web) == first);
}

// Groups of two hosts are never partitioned, and lose at most two consecutive messages in each
// direction, since the protocol assumes that some messages get through between two candidates.
// Groups of three may also be partitioned in any way.
TEST(ownership, random_kills_suspensions_restarts_and_partitions_never_lead_to_two_owners)
{
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const bool three = seed % 2 == 0;
        const auto model = three ? three_hosts() : small_site();
        std::vector<std::string> names{"a1", "a2"};
        if (three) {
            names.emplace_back("a3");
        }
        ownership_group group{model, names, seed};
        group.set_loss_percent(group.below(2) * 10);
        group.run(seconds{1});
        for (int event = 0; event < 12; ++event) {
            const host_id host = group.id(names.at(group.below(names.size())));
            const host_id other = group.id(names.at(group.below(names.size())));
            switch (group.below(6)) {
            case 0:
                group.start(host);
                break;
            case 1:
                group.kill(host);
                break;
            case 2:
                if (group.running(host)) {
                    group.freeze(host);
                }
                break;
            case 3:
                if (three) {
                    group.cut(host, other);
                    group.cut(other, host);
                }
                break;
            case 4:
                if (group.running(host)) {
                    group.hand_over(host);
                }
                break;
            default:
                group.heal();
                break;
            }
            const auto end = group.now() + milliseconds{group.below(1500)};
            while (group.now() < end) {
                group.step();
                if (group.owners(web).size() > 1 || group.owners(shop).size() > 1) {
                    FAIL(("a service has more than one owner with seed " + std::to_string(seed))
                             .c_str());
                }
            }
            for (const std::string& name : names) {
                const host_id each = group.id(name);
                if (!group.running(each) && group.below(2) == 0) {
                    group.start(each);
                }
            }
        }
    }
}
