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

held_state versions(std::uint64_t version, std::uint64_t index, std::uint64_t targets)
{
    return {config_version{version}, agreed_index{index}, catalog_revision{targets}};
}

} // namespace

TEST_GROUP(held_state){};

TEST(held_state, the_first_report_is_accepted)
{
    held_state_tracker tracker;
    CHECK_FALSE(tracker.has_reported());
    CHECK_TRUE(tracker.record_report(start, versions(1, 2, 3)));
    CHECK_TRUE(tracker.has_reported());
    CHECK_TRUE(versions(1, 2, 3) == tracker.assumed());
}

TEST(held_state, a_report_that_crosses_an_update_changes_nothing)
{
    held_state_tracker tracker;
    tracker.record_report(start, versions(1, 2, 3));
    tracker.record_sent(start, versions(1, 4, 3));
    CHECK_FALSE(tracker.record_report(start + 400ms, versions(1, 2, 3)));
    CHECK_TRUE(versions(1, 4, 3) == tracker.assumed());
}

TEST(held_state, a_missed_update_is_detected)
{
    held_state_tracker tracker;
    tracker.record_report(start, versions(1, 2, 3));
    tracker.record_sent(start, versions(1, 4, 5));
    // A repeated update without changes doesn't extend the confirmation timeout.
    tracker.record_sent(start + 800ms, versions(1, 4, 5));
    CHECK_TRUE(tracker.record_report(start + 1200ms, versions(1, 2, 3)));
    CHECK_TRUE(versions(1, 2, 3) == tracker.assumed());
}

TEST(held_state, an_unknown_catalog_revision_counts_as_a_missed_update)
{
    held_state_tracker tracker;
    tracker.record_report(start, versions(1, 2, 3));
    tracker.record_sent(start, versions(1, 2, 5));
    CHECK_TRUE(tracker.record_report(start + 1200ms, versions(1, 2, 0)));
}

TEST(held_state, an_entry_host_with_newer_versions_has_missed_nothing)
{
    held_state_tracker tracker;
    tracker.record_report(start, versions(1, 2, 3));
    tracker.record_sent(start, versions(1, 2, 5));
    CHECK_FALSE(tracker.record_report(start + 5s, versions(2, 3, 5)));
}
