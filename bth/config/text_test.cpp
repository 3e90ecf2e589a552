#include "bth/config/text.h"

#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(text) {};
// clang-format on

namespace {

const char* const small_text = R"({
  // One region with one failure domain.
  "regions": [{"name": "r", "cap": {"requests_per_second": 100, "in_flight": 10}}],
  "failure_domains": [{"name": "d", "region": "r",
                       "cap": {"requests_per_second": 100, "in_flight": 10}}],
  "hosts": [{"name": "e", "failure_domain": "d", "http": "127.0.0.1:1", "peer": "127.0.0.1:2"}],
  "caller_classes": [{"name": "public"}],
  "services": [{"name": "s", "priority": {"public": 3}, "request_bytes": 1, "answer_bytes": 1,
                "service_time_us": 1000}],
  "targets": [{"name": "t", "service": "s", "failure_domain": "d", "http": "127.0.0.1:3",
               "slots": 3, "connections": 330}],
  "client_blocks": [{"block": "127.0.0.0/8", "failure_domain": "d"}]
})";

} // namespace

TEST(text, small_text_becomes_a_model)
{
    const auto read = bth::config::read_text("small", small_text);
    CHECK_TRUE(read.has_value());
    UNSIGNED_LONGS_EQUAL(1, read->targets.size());
    UNSIGNED_LONGS_EQUAL(3, read->services.at(0).priority.at(0).value());
}

TEST(text, all_findings_are_reported_with_their_place)
{
    std::string text = small_text;
    text.replace(text.find("\"slots\""), 7, "\"slot\"");
    text.replace(text.find("127.0.0.0/8"), 11, "127.0.0.1/8");
    const auto read = bth::config::read_text("small", text);
    CHECK_FALSE(read.has_value());
    const std::string report = to_string(read.error());
    CHECK_TRUE(report.find("unknown key \"slot\"") != std::string::npos);
    CHECK_TRUE(report.find("key \"slots\" is missing") != std::string::npos);
    CHECK_TRUE(report.find("small:12:") != std::string::npos);
}
