#include "bth/fleet/list_reading.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using bth::fleet::should_read_list;

TEST_GROUP(duties){};

TEST(duties, the_leader_reads_the_list_and_the_others_rest)
{
    CHECK_TRUE(should_read_list({true, 0, 600ms}));
    CHECK_FALSE(should_read_list({true, 0, 599ms}));
    CHECK_FALSE(should_read_list({false, 0, 1199ms}));
}

TEST(duties, a_silent_leader_is_replaced_by_one_reader_after_the_other)
{
    CHECK_TRUE(should_read_list({false, 0, 1200ms}));
    CHECK_FALSE(should_read_list({false, 1, 1200ms}));
    CHECK_TRUE(should_read_list({false, 1, 1350ms}));
}

// A target that leaves must be left alone three seconds after the list shows it, also while the
// reader is lost: the last of nine has to read in time.
TEST(duties, the_last_of_nine_hosts_reads_within_two_and_a_half_seconds)
{
    CHECK_TRUE(should_read_list({false, 8, 2500ms}));
}
