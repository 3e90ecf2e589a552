#include "bth/fleet/neighbours.h"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::entry_host;
using bth::fleet::neighbour_table;

constexpr time_point start{1h};

std::vector<entry_host> hosts(const std::vector<std::string>& names)
{
    std::vector<entry_host> out;
    out.reserve(names.size());
    for (const auto& name : names) {
        out.push_back({name, {}, "north", true, {}});
    }
    return out;
}

} // namespace

TEST_GROUP(neighbour_table){};

TEST(neighbour_table, the_first_report_is_applied_even_if_isolated)
{
    neighbour_table table;
    table.record_reported(hosts({"a", "b"}));
    CHECK_TRUE(table.apply_reported(false));
    LONGS_EQUAL(2, table.hosts().size());
}

// Without a leader, a control host knows the entry hosts that report to it and few others. Its
// report must not remove the rest.
TEST(neighbour_table, an_isolated_control_host_removes_no_host)
{
    neighbour_table table;
    table.record_reported(hosts({"a", "b", "c"}));
    table.apply_reported(true);
    table.discard_reported();
    table.record_reported(hosts({"a"}));
    CHECK_FALSE(table.apply_reported(false));
    LONGS_EQUAL(3, table.hosts().size());
}

TEST(neighbour_table, the_last_report_is_applied_once_contact_is_back)
{
    neighbour_table table;
    table.record_reported(hosts({"a", "b"}));
    table.apply_reported(true);
    table.record_reported(hosts({"a", "c"}));
    CHECK_FALSE(table.apply_reported(false));
    CHECK_TRUE(table.apply_reported(true));
    STRCMP_EQUAL("c", table.hosts().back().name.c_str());
    CHECK_FALSE(table.apply_reported(true));
}

// A region of 91 hosts, which all start within a second.
TEST(neighbour_table, hosts_of_a_large_region_are_not_connected_before_they_are_used)
{
    neighbour_table table;
    std::vector<std::string> names(91);
    for (std::size_t i = 0; i < names.size(); ++i) {
        names[i] = "host-" + std::to_string(i);
    }
    table.record_reported(hosts(names));
    table.apply_reported(true);
    LONGS_EQUAL(0, table.hosts_to_connect(start).size());
    table.record_use(start, "host-7");
    LONGS_EQUAL(1, table.hosts_to_connect(start).size());
}

TEST(neighbour_table,
     a_host_stays_connected_for_a_while_after_its_last_use_even_if_no_longer_reported)
{
    neighbour_table table;
    table.record_reported(hosts({"a", "b"}));
    table.apply_reported(true);
    table.record_use(start, "a");
    table.record_use(start, "b");
    LONGS_EQUAL(2, table.hosts_to_connect(start).size());
    table.record_reported(hosts({"a"}));
    table.apply_reported(true);
    table.record_use(start + 10s, "a");
    LONGS_EQUAL(2, table.hosts_to_connect(start + 15s).size());
    LONGS_EQUAL(1, table.hosts_to_connect(start + 16s).size());
    LONGS_EQUAL(0, table.hosts_to_connect(start + 26s).size());
}
