#include "bth/membership/testing/fake_world.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;
using namespace bth::membership::testing;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(spread) {};
// clang-format on

namespace {

// Nine entry hosts in six failure domains of three regions, as both deployments have; every third
// host has no disk. control-a is active.
void add_site(fake_world& world)
{
    world.add_control("control-a");
    world.add_control("control-b");
    const char* const domains[] = {"e-1", "e-2", "w-1", "w-2", "s-1", "s-2"};
    int count = 0;
    for (int index = 0; index < 6; ++index) {
        const std::string domain = domains[index];
        for (const char* const suffix : {"a", "b"}) {
            if (std::string{suffix} == "b" && index % 2 == 1) {
                continue;
            }
            world.add_host("entry-" + domain + suffix, domain, index / 2, count % 3 != 2);
            ++count;
        }
    }
    world.begin();
    world.run_for(3s);
}

const std::string no_violation;

std::string first_violation(const fake_world& world)
{
    return world.violations().empty() ? no_violation : world.violations().front();
}

} // namespace

TEST(spread, an_edit_is_in_force_everywhere_within_half_a_second)
{
    fake_world world{{.seed = 1}};
    add_site(world);
    CHECK_TRUE(world.converged());
    const revision at = world.accept_edit();
    world.run_for(500ms);
    CHECK_TRUE(world.converged());
    const auto done = world.in_force_everywhere(at);
    CHECK_TRUE(done && *done - world.accepted_at(at) < 100ms);
    STRCMP_EQUAL("", first_violation(world).c_str());
}

TEST(spread, control_learns_who_has_not_confirmed)
{
    fake_world world{{.seed = 2}};
    add_site(world);
    world.stop("entry-e-1b");
    world.cut_domain("s-2");
    const revision at = world.accept_edit();
    world.run_for(5s);
    const auto names = world.publisher_of("control-a").unconfirmed(at);
    UNSIGNED_LONGS_EQUAL(2, names.size());
    STRCMP_EQUAL("entry-e-1b", names.at(0).c_str());
    STRCMP_EQUAL("entry-s-2a", names.at(1).c_str());
    world.heal();
    world.start("entry-e-1b");
    world.run_for(5s);
    UNSIGNED_LONGS_EQUAL(0, world.publisher_of("control-a").unconfirmed(at).size());
}

TEST(spread, a_host_that_missed_500_edits_has_them_within_a_second)
{
    constexpr int missed = 500;
    fake_world world{{.seed = 3}};
    add_site(world);
    world.stop("entry-w-1a");
    for (int edit = 0; edit < missed; ++edit) {
        world.accept_edit();
        world.run_for(20ms);
    }
    world.run_for(1s);
    world.start("entry-w-1a");
    world.run_for(1s);
    CHECK_TRUE(world.converged());
    STRCMP_EQUAL("", first_violation(world).c_str());
}

TEST(spread, a_cut_off_domain_keeps_its_revision_and_says_that_it_is_cut_off)
{
    fake_world world{{.seed = 4}};
    add_site(world);
    const revision before = world.accepted();
    world.cut_domain("e-1");
    world.accept_edit();
    world.run_for(10s);
    const agent_status cut = world.agent_of("entry-e-1a").status(world.time());
    CHECK_TRUE(cut.in_force.at == before);
    CHECK_TRUE(cut.cut_off);
    CHECK_TRUE(*cut.control_age > 9s);
    CHECK_FALSE(world.agent_of("entry-e-2a").status(world.time()).cut_off);
    world.heal();
    world.run_for(3s);
    CHECK_TRUE(world.converged());
    CHECK_FALSE(world.agent_of("entry-e-1a").status(world.time()).cut_off);
}

TEST(spread, a_restarted_host_of_a_cut_off_domain_serves_what_its_peers_have)
{
    fake_world world{{.seed = 5}};
    add_site(world);
    world.cut_domain("e-1");
    world.run_for(10s);
    world.stop("entry-e-1a");
    world.start("entry-e-1a", false);
    world.run_for(4s);
    CHECK_TRUE(world.agent_of("entry-e-1a").status(world.time()).ready);
    CHECK_TRUE(world.agent_of("entry-e-1a").status(world.time()).in_force.at == world.accepted());
}

TEST(spread, a_dead_relay_is_replaced)
{
    fake_world world{{.seed = 6}};
    add_site(world);
    world.stop("entry-s-1a");
    const revision at = world.accept_edit();
    world.run_for(2s);
    CHECK_TRUE(world.converged());
    world.run_for(4s);
    const auto names = world.publisher_of("control-a").unconfirmed(at);
    UNSIGNED_LONGS_EQUAL(1, names.size());
    STRCMP_EQUAL("entry-s-1a", names.at(0).c_str());
}

TEST(spread, a_domain_that_only_a_neighbour_domain_reaches_still_gets_edits)
{
    fake_world world{{.seed = 7}};
    add_site(world);
    for (const char* const host : {"entry-e-1a", "entry-e-1b"}) {
        for (const char* const control : {"control-a", "control-b"}) {
            world.cut(control, host);
            world.cut(host, control);
        }
    }
    world.run_for(10s);
    world.accept_edit();
    world.run_for(15s);
    CHECK_TRUE(world.converged());
}
