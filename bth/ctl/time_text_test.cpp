#include "bth/ctl/time_text.h"

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(time_text) {};
// clang-format on

TEST(time_text, rfc_3339_and_milliseconds_are_read)
{
    CHECK_TRUE(bth::ctl::parse_wall_time("1800000000000") ==
               bth::wall_time{std::chrono::milliseconds{1'800'000'000'000}});
    CHECK_TRUE(bth::ctl::parse_wall_time("2027-01-15T08:00:00Z") ==
               bth::wall_time{std::chrono::milliseconds{1'800'000'000'000}});
}

TEST(time_text, other_times_are_refused)
{
    for (const char* text :
         {"", "now", "+10m", "-1", "2027-01-15", "2027-01-15T08:00:00", "2027-02-30T08:00:00Z",
          "2027-01-15T24:00:00Z", "2027-01-15T08:60:00Z", "2027-01-15 08:00:00Z",
          "2027-01-15T08:00:00+01:00", "99999999999999999999", "1969-12-31T23:59:59Z"}) {
        CHECK_FALSE_TEXT(bth::ctl::parse_wall_time(text).has_value(), text);
    }
}
