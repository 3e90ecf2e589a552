#include "bth/fleet/registry.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::entry_host;
using bth::fleet::entry_host_registry;

constexpr time_point start{1h};
const bth::dispatch::domain_regions regions{{"n", "north"}, {"s", "south"}};

entry_host host(const std::string& name, const std::string& domain, std::uint16_t port, bool ready)
{
    return {name, {{}, port}, domain, ready, {}};
}

} // namespace

TEST_GROUP(entry_host_registry){};

TEST(entry_host_registry, callers_are_sent_to_ready_hosts_of_their_region)
{
    entry_host_registry registry{regions};
    registry.record_hosts(
        "c", {host("a", "n", 1, true), host("b", "n", 2, false), host("d", "s", 3, true)}, start);
    const auto resolved = registry.resolve("north", start);
    LONGS_EQUAL(1, resolved.size());
    LONGS_EQUAL(1, resolved.front().port);
}

TEST(entry_host_registry, callers_without_a_ready_host_in_their_region_are_sent_to_any)
{
    entry_host_registry registry{regions};
    registry.record_hosts("c", {host("b", "n", 2, false), host("d", "s", 3, true)}, start);
    LONGS_EQUAL(3, registry.resolve("north", start).front().port);
    CHECK_TRUE(entry_host_registry{regions}.resolve("north", start).empty());
}

TEST(entry_host_registry, hosts_that_are_no_longer_seen_expire)
{
    entry_host_registry registry{regions};
    registry.record_hosts("c", {host("a", "n", 1, true)}, start);
    LONGS_EQUAL(1, registry.resolve("north", start + 3s).size());
    LONGS_EQUAL(0, registry.resolve("north", start + 3001ms).size());
}

TEST(entry_host_registry, the_newest_state_of_a_host_counts_from_any_source)
{
    entry_host_registry registry{regions};
    auto older = host("a", "n", 1, true);
    older.age = 2s;
    registry.record_hosts("c", {older}, start);
    registry.record_hosts("d", {host("a", "n", 1, false)}, start);
    CHECK_TRUE(registry.resolve("north", start).empty());
    LONGS_EQUAL(1, registry.in_service(start).size());
}
