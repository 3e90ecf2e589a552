#include "bth/fleet/relay_hosts.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::fleet;

const bth::dispatch::domain_regions regions{
    {"n1", "north"}, {"n2", "north"}, {"s1", "south"}, {"s2", "south"}};

// Twenty hosts in each failure domain; those of the domains in `cut_off` reach no target.
std::vector<entry_host> hosts_with(const std::string& cut_off)
{
    std::vector<entry_host> out;
    for (const auto& [domain, region] : regions) {
        for (int i = 0; i < 20; ++i) {
            out.push_back({domain + "-" + std::to_string(i),
                           {},
                           domain,
                           true,
                           {},
                           cut_off.find(domain) == std::string::npos});
        }
    }
    return out;
}

} // namespace

TEST_GROUP(relay_hosts){};

TEST(relay_hosts, are_in_the_region_while_hosts_there_reach_targets)
{
    const auto hosts = hosts_with("n1");
    std::map<std::string, int> load;
    for (int i = 0; i < 20; ++i) {
        const auto selected = select_relay_hosts(hosts[std::size_t(i)], hosts, regions);
        LONGS_EQUAL(max_relay_hosts, selected.size());
        for (const auto& each : selected) {
            STRCMP_EQUAL("n2", each.domain.c_str());
            ++load[each.name];
        }
    }
    // Spread over the other hosts: four for each on average.
    CHECK(load.size() >= 15);
    for (const auto& [host, count] : load) {
        CHECK(count <= 10);
    }
}

TEST(relay_hosts, are_in_other_regions_if_a_whole_region_is_cut_off)
{
    const auto hosts = hosts_with("n1 n2");
    for (const auto& each : select_relay_hosts(hosts.front(), hosts, regions)) {
        CHECK_TRUE(each.domain == "s1" || each.domain == "s2");
    }
}

TEST(relay_hosts, are_none_if_no_host_reaches_targets)
{
    const auto hosts = hosts_with("n1 n2 s1 s2");
    CHECK_TRUE(select_relay_hosts(hosts.front(), hosts, regions).empty());
}
