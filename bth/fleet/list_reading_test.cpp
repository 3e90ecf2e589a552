#include "bth/fleet/list_reading.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::fleet::should_read_list;

constexpr auto drain_time = 3s;

bool leader_reads(bth::duration list_age)
{
    return should_read_list({true, true, 0, list_age, drain_time});
}
bool voter_reads(std::uint32_t rank, bth::duration list_age)
{
    return should_read_list({false, true, rank, list_age, drain_time});
}

} // namespace

TEST_GROUP(list_reading){};

TEST(list_reading, only_the_leader_reads_while_its_readings_are_recent)
{
    CHECK_TRUE(leader_reads(1200ms));
    CHECK_FALSE(leader_reads(1199ms));
    CHECK_FALSE(voter_reads(0, 1889ms));
}

// A reading of 1,200 targets takes half a second, and its relay a tenth.
TEST(list_reading, nobody_else_reads_while_a_long_reading_of_the_leader_is_under_way)
{
    CHECK_FALSE(voter_reads(0, 1200ms + 600ms));
}

TEST(list_reading, the_others_read_one_after_another_if_the_leader_stops)
{
    CHECK_TRUE(voter_reads(0, 1890ms));
    CHECK_FALSE(voter_reads(1, 1890ms));
    CHECK_TRUE(voter_reads(1, 2040ms));
}

// Requests to a target must stop within three seconds after the list shows that it is leaving, even
// if the control host that reads the list is lost in the meantime. So even the last of nine control
// hosts to take over must read the list early enough.
TEST(list_reading, the_last_of_nine_hosts_reads_within_two_and_a_half_seconds)
{
    CHECK_TRUE(voter_reads(8, 2500ms));
}

// On a fleet of 27 control hosts 24 were not admitted yet when traffic began. They read the list
// all at once, 25 calls each.
TEST(list_reading, hosts_that_are_not_admitted_never_read)
{
    CHECK_FALSE(should_read_list({false, false, 0, 1h, drain_time}));
}

// After a loss of power of all hosts on large, the first control host ran 0.35 s before the one of
// lowest rank, and nobody had a list for 1.2 s.
TEST(list_reading, every_voter_without_a_list_reads_a_moment_after_its_start)
{
    CHECK_FALSE(bth::fleet::should_read_first_list(true, 149ms));
    CHECK_TRUE(bth::fleet::should_read_first_list(true, 150ms));
    CHECK_FALSE(bth::fleet::should_read_first_list(false, 1h));
}

TEST(list_reading, long_lists_and_the_first_one_are_read_by_domains)
{
    CHECK_TRUE(bth::fleet::reads_by_domain(9, 0));
    CHECK_TRUE(bth::fleet::reads_by_domain(9, 25));
    CHECK_FALSE(bth::fleet::reads_by_domain(9, 10));
    CHECK_FALSE(bth::fleet::reads_by_domain(6, 1));
}
