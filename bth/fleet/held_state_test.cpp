#include "bth/fleet/held_state.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::agreed_index;
using bth::fleet::catalog_revision;
using bth::fleet::held_state;
using bth::fleet::held_state_tracker;
using bth::route::config_version;

constexpr time_point start{1h};

held_state state(std::uint64_t version, std::uint64_t index, std::uint64_t targets)
{
    return {config_version{version}, agreed_index{index}, catalog_revision{targets}};
}

} // namespace

TEST_GROUP(held_state){};

TEST(held_state, the_first_report_counts)
{
    held_state_tracker held;
    CHECK_FALSE(held.has_reported());
    CHECK_TRUE(held.reported(start, state(1, 2, 3)));
    CHECK_TRUE(held.has_reported());
    CHECK_TRUE(state(1, 2, 3) == held.now_holds());
}

TEST(held_state, a_report_that_crosses_an_update_changes_nothing)
{
    held_state_tracker held;
    held.reported(start, state(1, 2, 3));
    held.sent(start, state(1, 4, 3));
    CHECK_FALSE(held.reported(start + 400ms, state(1, 2, 3)));
    CHECK_TRUE(state(1, 4, 3) == held.now_holds());
}

TEST(held_state, an_entry_host_that_passed_over_an_update_is_told_again)
{
    held_state_tracker held;
    held.reported(start, state(1, 2, 3));
    held.sent(start, state(1, 4, 5));
    // What is repeated without news doesn't put the question off.
    held.sent(start + 800ms, state(1, 4, 5));
    CHECK_TRUE(held.reported(start + 1200ms, state(1, 2, 3)));
    CHECK_TRUE(state(1, 2, 3) == held.now_holds());
}

TEST(held_state, an_entry_host_with_another_catalog_is_told_again)
{
    held_state_tracker held;
    held.reported(start, state(1, 2, 3));
    held.sent(start, state(1, 2, 5));
    CHECK_TRUE(held.reported(start + 1200ms, state(1, 2, 0)));
}

TEST(held_state, an_entry_host_that_holds_more_is_left_alone)
{
    held_state_tracker held;
    held.reported(start, state(1, 2, 3));
    held.sent(start, state(1, 2, 5));
    CHECK_FALSE(held.reported(start + 5s, state(2, 3, 5)));
}
