#include "bth/shell/event_log.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::shell::event;

} // namespace

// What bounds the volume is tested on the running programs, in process_tests/platform_test.py.
TEST_GROUP(event_log){};

TEST(event_log, values_with_blanks_are_quoted_and_times_are_in_milliseconds)
{
    const auto line = event{"refused"}
                          .with("request", "4a")
                          .with("why", "no \"room\"\n")
                          .with("run", false)
                          .with("age_ms", 1500us)
                          .text();
    STRCMP_EQUAL("event=refused request=4a why=\"no \\\"room\\\" \" run=false age_ms=1.5",
                 line.c_str());
}
