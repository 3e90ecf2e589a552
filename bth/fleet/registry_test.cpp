#include "bth/fleet/registry.h"

#include <chrono>
#include <string>
#include <vector>

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
    const auto resolved = registry.resolve("north", start, 64, 0);
    LONGS_EQUAL(1, resolved.size());
    LONGS_EQUAL(1, resolved.front().port);
}

// A region of 91 hosts, of which an answer names 64 at most.
TEST(entry_host_registry, answers_name_all_hosts_of_a_large_region_equally_often)
{
    constexpr std::uint16_t hosts = 91;
    entry_host_registry registry{regions};
    std::vector<entry_host> rows;
    for (std::uint16_t port = 0; port < hosts; ++port) {
        rows.push_back(host(std::to_string(port), "n", port, true));
    }
    registry.record_hosts("c", rows, start);
    std::vector<int> named(hosts, 0);
    for (std::size_t turn = 0; turn < hosts; ++turn) {
        const auto answer = registry.resolve("north", start, 64, turn);
        LONGS_EQUAL(64, answer.size());
        for (const auto& each : answer) {
            ++named.at(each.port);
        }
    }
    for (const int each : named) {
        LONGS_EQUAL(64, each);
    }
}

// A region starts again after a loss of power: its callers are a half of all.
TEST(entry_host_registry,
     callers_of_a_region_with_few_ready_hosts_are_spread_over_other_regions_too)
{
    entry_host_registry registry{regions};
    std::vector<entry_host> rows;
    for (std::uint16_t port = 0; port < 30; ++port) {
        rows.push_back(host("s" + std::to_string(port), "s", port, true));
    }
    rows.push_back(host("n", "n", 100, true));
    registry.record_hosts("c", rows, start);
    LONGS_EQUAL(15, registry.resolve("north", start, 64, 0).size());
    LONGS_EQUAL(100, registry.resolve("north", start, 64, 0).front().port);
    LONGS_EQUAL(30, registry.resolve("south", start, 64, 0).size());
    for (std::uint16_t port = 0; port < 10; ++port) {
        rows.push_back(host("n" + std::to_string(port), "n", port, true));
    }
    registry.record_hosts("c", rows, start);
    LONGS_EQUAL(11, registry.resolve("north", start, 64, 0).size());
}

TEST(entry_host_registry, callers_without_a_ready_host_in_their_region_are_sent_to_any)
{
    entry_host_registry registry{regions};
    registry.record_hosts("c", {host("b", "n", 2, false), host("d", "s", 3, true)}, start);
    LONGS_EQUAL(3, registry.resolve("north", start, 64, 0).front().port);
    CHECK_TRUE(entry_host_registry{regions}.resolve("north", start, 64, 0).empty());
}

TEST(entry_host_registry, hosts_that_are_no_longer_seen_expire)
{
    entry_host_registry registry{regions};
    registry.record_hosts("c", {host("a", "n", 1, true)}, start);
    LONGS_EQUAL(1, registry.resolve("north", start + 3s, 64, 0).size());
    LONGS_EQUAL(0, registry.resolve("north", start + 3001ms, 64, 0).size());
}

TEST(entry_host_registry, the_newest_state_of_a_host_counts_from_any_source)
{
    entry_host_registry registry{regions};
    auto older = host("a", "n", 1, true);
    older.age = 2s;
    registry.record_hosts("c", {older}, start);
    registry.record_hosts("d", {host("a", "n", 1, false)}, start);
    CHECK_TRUE(registry.resolve("north", start, 64, 0).empty());
    LONGS_EQUAL(1, registry.in_service(start).size());
}

TEST(entry_host_registry, hosts_without_a_way_to_targets_are_left_out_while_others_suffice)
{
    entry_host_registry registry{regions};
    std::vector rows{host("a", "n", 1, true), host("b", "n", 2, true), host("c", "n", 3, true)};
    rows[0].reaches_targets = false;
    registry.record_hosts("control", rows, start);
    LONGS_EQUAL(2, registry.resolve("north", start, 64, 0).size());
    rows[1].reaches_targets = false;
    registry.record_hosts("control", rows, start);
    LONGS_EQUAL(3, registry.resolve("north", start, 64, 0).size());
    rows[2].reaches_targets = false;
    registry.record_hosts("control", rows, start);
    LONGS_EQUAL(3, registry.resolve("north", start, 64, 0).size());
}
