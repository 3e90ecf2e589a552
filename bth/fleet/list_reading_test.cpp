#include "bth/fleet/list_reading.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using bth::fleet::should_read_list;

TEST_GROUP(list_reading){};

TEST(list_reading, only_the_leader_reads_while_its_readings_are_recent)
{
    CHECK_TRUE(should_read_list({true, 0, 600ms}));
    CHECK_FALSE(should_read_list({true, 0, 599ms}));
    CHECK_FALSE(should_read_list({false, 0, 1199ms}));
}

TEST(list_reading, the_others_read_one_after_another_if_the_leader_stops)
{
    CHECK_TRUE(should_read_list({false, 0, 1200ms}));
    CHECK_FALSE(should_read_list({false, 1, 1200ms}));
    CHECK_TRUE(should_read_list({false, 1, 1350ms}));
}

// Requests to a target must stop within three seconds after the list shows that it is leaving, even
// if the control host that reads the list is lost in the meantime. So even the last of nine control
// hosts to take over must read the list early enough.
TEST(list_reading, the_last_of_nine_hosts_reads_within_two_and_a_half_seconds)
{
    CHECK_TRUE(should_read_list({false, 8, 2500ms}));
}
