#include "bth/fleet/registry.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::entry_host;
using bth::fleet::host_registry;

constexpr time_point start{1h};
const bth::dispatch::domain_regions regions{{"n", "north"}, {"s", "south"}};

entry_host host(const std::string& name, const std::string& domain, std::uint16_t port, bool ready)
{
    return {name, {{}, port}, domain, ready, {}};
}

} // namespace

TEST_GROUP(host_registry){};

TEST(host_registry, callers_are_sent_to_ready_hosts_of_their_region)
{
    host_registry registry{regions};
    registry.take("c", {host("a", "n", 1, true), host("b", "n", 2, false), host("d", "s", 3, true)},
                  start);
    const auto found = registry.resolve("north", start);
    LONGS_EQUAL(1, found.size());
    LONGS_EQUAL(1, found.front().port);
}

TEST(host_registry, without_a_host_in_their_region_they_are_sent_to_any)
{
    host_registry registry{regions};
    registry.take("c", {host("b", "n", 2, false), host("d", "s", 3, true)}, start);
    LONGS_EQUAL(3, registry.resolve("north", start).front().port);
    CHECK_TRUE(host_registry{regions}.resolve("north", start).empty());
}

TEST(host_registry, hosts_that_fall_silent_are_forgotten)
{
    host_registry registry{regions};
    registry.take("c", {host("a", "n", 1, true)}, start);
    LONGS_EQUAL(1, registry.resolve("north", start + 3s).size());
    LONGS_EQUAL(0, registry.resolve("north", start + 3001ms).size());
}

TEST(host_registry, the_newest_word_on_a_host_counts_whoever_says_it)
{
    host_registry registry{regions};
    auto old = host("a", "n", 1, true);
    old.age = 2s;
    registry.take("c", {old}, start);
    registry.take("d", {host("a", "n", 1, false)}, start);
    CHECK_TRUE(registry.resolve("north", start).empty());
    LONGS_EQUAL(1, registry.in_service(start).size());
}
