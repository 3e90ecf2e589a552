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

TEST(neighbour_table, the_first_word_counts_whoever_says_it)
{
    neighbour_table table;
    table.hear(hosts({"a", "b"}));
    CHECK_TRUE(table.confirm(false));
    LONGS_EQUAL(2, table.hosts().size());
}

// Without a leader each control host knows the entry hosts that report to it and few others.
TEST(neighbour_table, a_control_host_out_of_contact_takes_nobody_away)
{
    neighbour_table table;
    table.hear(hosts({"a", "b", "c"}));
    table.confirm(true);
    table.change_source();
    table.hear(hosts({"a"}));
    CHECK_FALSE(table.confirm(false));
    LONGS_EQUAL(3, table.hosts().size());
}

TEST(neighbour_table, what_was_named_before_counts_when_contact_is_back)
{
    neighbour_table table;
    table.hear(hosts({"a", "b"}));
    table.confirm(true);
    table.hear(hosts({"a", "c"}));
    CHECK_FALSE(table.confirm(false));
    CHECK_TRUE(table.confirm(true));
    STRCMP_EQUAL("c", table.hosts().back().name.c_str());
    CHECK_FALSE(table.confirm(true));
}

TEST(neighbour_table, a_host_that_is_named_no_more_stays_connected_for_a_while)
{
    neighbour_table table;
    table.hear(hosts({"a", "b"}));
    table.confirm(true);
    LONGS_EQUAL(2, table.to_connect(start).size());
    table.hear(hosts({"a"}));
    table.confirm(true);
    LONGS_EQUAL(2, table.to_connect(start + 15s).size());
    LONGS_EQUAL(1, table.to_connect(start + 16s).size());
}
