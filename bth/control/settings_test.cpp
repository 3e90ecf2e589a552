#include "bth/control/settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(control_settings) {};
// clang-format on

namespace {

const char* const good_settings = R"({
  // One control host.
  "host": "c1", "data_folder": "/tmp/c1", "http": "127.0.0.1:1", "peer": "127.0.0.1:2",
  "members": [{"host": "c1", "peer": "127.0.0.1:2", "http": "127.0.0.1:1"}],
  "log": {"level": "WARN"}
})";

} // namespace

TEST(control_settings, good_settings_are_read)
{
    const auto read = bth::control::read_control_settings("c1.json", good_settings);
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL("c1", read->members.at(0).host.c_str());
    UNSIGNED_LONGS_EQUAL(10'000, read->ids_kept);
}

TEST(control_settings, a_host_that_is_no_member_is_a_finding)
{
    std::string text = good_settings;
    text.replace(text.find("\"c1\""), 4, "\"c2\"");
    const auto read = bth::control::read_control_settings("c2.json", text);
    CHECK_FALSE(read.has_value());
    CHECK_TRUE(to_string(read.error()).find("c2.json:4:") != std::string::npos);
}
