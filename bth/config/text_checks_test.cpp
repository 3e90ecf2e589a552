#include "bth/config/text.h"

#include <array>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(text_checks) {};
// clang-format on

namespace {

// Two linked regions with a failure domain each, and one service with a target in both.
const char* const linked_text = R"({
  "regions": [
    {"name": "r1", "cap": {"requests_per_second": 100, "in_flight": 10}},
    {"name": "r2", "cap": {"requests_per_second": 100, "in_flight": 10}}],
  "failure_domains": [
    {"name": "d1", "region": "r1", "cap": {"requests_per_second": 100, "in_flight": 10},
     "fallbacks": ["d2"]},
    {"name": "d2", "region": "r2", "cap": {"requests_per_second": 100, "in_flight": 10},
     "fallbacks": ["d1"]}],
  "links": [
    {"from": "r1", "to": "r2", "megabits_per_second": 300, "delay_us": 20000},
    {"from": "r2", "to": "r1", "megabits_per_second": 300, "delay_us": 20000}],
  "hosts": [
    {"name": "e1", "failure_domain": "d1", "http": "127.0.0.1:1", "peer": "127.0.0.1:2"},
    {"name": "e2", "failure_domain": "d2", "http": "127.0.0.2:1", "peer": "127.0.0.2:2"}],
  "caller_classes": [{"name": "public"}],
  "services": [
    {"name": "s", "depends_on": [], "priority": {"public": 3}, "request_bytes": 1,
     "answer_bytes": 1, "service_time_us": 1000, "shift_cap": {"share": 0.6, "window_s": 60}}],
  "targets": [
    {"name": "t1", "service": "s", "failure_domain": "d1", "http": "127.0.0.1:3", "slots": 3,
     "connections": 330},
    {"name": "t2", "service": "s", "failure_domain": "d2", "http": "127.0.0.2:3", "slots": 3,
     "connections": 330}],
  "client_blocks": [
    {"block": "10.1.0.0/16", "failure_domain": "d1"},
    {"block": "10.2.0.0/16", "failure_domain": "d2"}],
  "drains": []
}
)";

struct bad_edit {
    const char* from;
    const char* to;
    // What the report says, with the line and column where it says it.
    const char* finding;
    bool error;
};

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = linked_text;
    const auto start = text.find(from);
    CHECK_TRUE_TEXT(start != std::string::npos, from.c_str());
    return text.replace(start, from.size(), to);
}

constexpr std::array<bad_edit, 20> bad_edits{{
    {"10.2.0.0/16", "10.1.0.0/16", "text:27:15: the client block 10.1.0.0/16 stands twice", true},
    {"{\"block\": \"10.2.0.0/16\", \"failure_domain\": \"d2\"",
     "{\"block\": \"10.1.4.0/24\", \"failure_domain\": \"d1\"",
     "text:27:15: warning: the client block 10.1.4.0/24 lies in 10.1.0.0/16", false},
    {"127.0.0.2:3", "127.0.0.1:3", "text:23:68: the endpoint 127.0.0.1:3 stands twice", true},
    {"127.0.0.2:2", "127.0.0.1:1", "text:15:75: the endpoint 127.0.0.1:1 stands twice", true},
    {"{\"name\": \"s\",",
     "{\"name\": \"z\", \"priority\": {\"public\": 1}, \"request_bytes\": 1,\n"
     "\"answer_bytes\": 1, \"service_time_us\": 1},\n{\"name\": \"s\",",
     "text:18:5: service \"z\" has no targets", true},
    {"\"e2\", \"failure_domain\": \"d2\"", "\"e2\", \"failure_domain\": \"d1\"",
     "text:8:5: failure domain \"d2\" has no hosts, so that", true},
    {"\"to\": \"r1\"", "\"to\": \"r9\"", "no region is named \"r9\"", true},
    {",\n    {\"from\": \"r2\", \"to\": \"r1\", \"megabits_per_second\": 300, \"delay_us\": 20000}",
     "", "text:7:19: the fallback \"d2\" can't be reached", true},
    {"[\"d2\"]", "[\"d2\", \"d2\"]", "text:7:19: the fallback \"d2\" stands twice", true},
    {"\"requests_per_second\": 100, \"in_flight\": 10},\n     \"fallbacks\": [\"d1\"]",
     "\"requests_per_second\": 0, \"in_flight\": 10},\n     \"fallbacks\": [\"d1\"]",
     "text:8:43: warning: a cap of zero lets no request through", false},
    {"\"megabits_per_second\": 300", "\"megabits_per_second\": 0",
     "text:11:55: warning: a cap of zero lets no request over the link", false},
    {"[{\"name\": \"public\"}]",
     "[{\"name\": \"public\"}, {\"name\": \"gold\", \"key_sha256\": "
     "\"ad79a07b46f6144be87c96dc58732c06638aa37bceb7a7ceb95bcfa253a20353\"}]",
     "text:18:49: warning: caller class \"gold\" has no priority here", false},
    {"\"drains\": []", "\"drains\": [{\"failure_domain\": \"d1\"}, {\"target\": \"t2\"}]",
     "text:28:13: warning: the drains leave service \"s\" without targets", false},
    {"\"drains\": []", "\"drains\": [{\"region\": \"r1\"}, {\"region\": \"r2\"}]",
     "warning: the fallbacks of drained failure domain \"d1\" have a cap of 0 requests/s", false},
    {"\"share\": 0.6, \"window_s\": 60}}],",
     "\"share\": 0.1, \"window_s\": 60}}],\n"
     "\"drains\": [{\"target\": \"t1\"}],",
     "text:29:3: Duplicate key: 'drains'", true},
    {"\"drains\": []", "\"drains\": [{\"host\": \"e1\"}, {\"host\": \"e1\"}]",
     "text:28:30: this drain stands twice", true},
    {"\"depends_on\": []", "\"depends_on\": [{\"service\": \"s\"}]",
     "text:18:33: service \"s\" depends on itself", true},
    {"[{\"name\": \"public\"}]", "[{\"name\": \"public\"}, {\"name\": \"other\"}]",
     "text:16:21: 2 caller classes have no \"key_sha256\"", true},
    {"{\"name\": \"r2\", \"cap\": {\"requests_per_second\": 100",
     "{\"name\": \"r2\", \"cap\": {\"requests_per_second\": 99",
     "text:4:27: the caps of the failure domains of region \"r2\" exceed its own", true},
    {"\"name\": \"t2\"", "\"name\": \"t1\"", "text:23:14: the name \"t1\" is taken", true},
}};

} // namespace

TEST(text_checks, a_sound_text_has_no_findings)
{
    const auto report = bth::config::check_text("text", linked_text);
    STRCMP_EQUAL("", to_string(report.found).c_str());
    CHECK_TRUE(report.read.has_value());
}

TEST(text_checks, each_mistake_is_found_at_its_place)
{
    for (const bad_edit& each : bad_edits) {
        const auto report = bth::config::check_text("text", replaced(each.from, each.to));
        const std::string shown = to_string(report.found);
        CHECK_TRUE_TEXT(shown.find(each.finding) != std::string::npos,
                        (std::string{each.finding} + " not in:\n" + shown).c_str());
        CHECK_TRUE_TEXT(report.found.has_errors() == each.error, shown.c_str());
        CHECK_TRUE(report.read.has_value() != each.error);
    }
}

TEST(text_checks, a_drain_over_the_shift_cap_is_a_warning)
{
    std::string text = replaced("\"share\": 0.6", "\"share\": 0.1");
    text.replace(text.find("\"drains\": []"), 12, "\"drains\": [{\"target\": \"t1\"}]");
    const auto report = bth::config::check_text("text", text);
    CHECK_TRUE(report.read.has_value());
    CHECK_TRUE(to_string(report.found)
                   .find("take 50% of the slots of service \"s\", but its shift "
                         "cap is 10% in 60 s") != std::string::npos);
}

TEST(text_checks, damaged_texts_never_crash_and_never_pass_without_a_model)
{
    constexpr unsigned seeds = 3000;
    const std::string good = linked_text;
    const std::array<const char*, 8> pieces{"null",  "{}",   "[]",     "-1",
                                            "1e999", "\"\"", "\"d1\"", "true"};
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937_64 random{seed};
        std::string text = good;
        for (std::uint64_t change = random() % 3; change < 3; ++change) {
            const std::size_t at = random() % text.size();
            switch (random() % 4) {
            case 0:
                text.at(at) = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, random() % 20);
                break;
            case 2: {
                const std::size_t value = text.find(": ", at);
                const std::size_t end = text.find_first_of(",}\n", value + 2);
                if (value != std::string::npos && end != std::string::npos) {
                    text.replace(value + 2, end - value - 2, pieces.at(random() % pieces.size()));
                }
                break;
            }
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 40));
            }
        }
        const auto report = bth::config::check_text("text", text);
        CHECK_TRUE(report.read.has_value() != report.found.has_errors());
    }
}
