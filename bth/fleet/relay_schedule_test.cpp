#include "bth/fleet/relay_schedule.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::fleet::relay_schedule;

constexpr time_point start{1h};

} // namespace

TEST_GROUP(relay_schedule){};

TEST(relay_schedule, relays_are_repeated_without_changes)
{
    relay_schedule schedule;
    CHECK_TRUE(schedule.is_due(start));
    schedule.record_sent(start);
    CHECK_FALSE(schedule.is_due(start + 999ms));
    CHECK_TRUE(schedule.is_due(start + 1000ms));
}

TEST(relay_schedule, a_single_change_is_relayed_at_once_after_a_quiet_time)
{
    relay_schedule schedule;
    schedule.record_sent(start);
    schedule.request();
    CHECK_TRUE(schedule.is_due(start + 300ms));
}

// Hundreds of entry hosts start within two seconds: each attaches, and becomes ready later.
TEST(relay_schedule, many_changes_share_a_few_relays)
{
    relay_schedule schedule;
    int sent = 0;
    for (auto now = start; now < start + 2s; now += 5ms) {
        schedule.request();
        if (schedule.is_due(now)) {
            schedule.record_sent(now);
            ++sent;
        }
    }
    LONGS_EQUAL(7, sent);
}
