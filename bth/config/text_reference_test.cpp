// Compares docs/operators/text-reference.md with the keys that the reader knows: an unknown key in
// each object makes the reader list those that it knows there.
#include "bth/config/text.h"

#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(text_reference) {};
// clang-format on

namespace {

// One object a line, each with an unknown key.
const char* const probe_text = R"({"zz": 0,
"regions": [{"zz": 0,
"cap": {"zz": 0}}],
"failure_domains": [{"zz": 0}],
"links": [{"zz": 0}],
"hosts": [{"zz": 0}],
"caller_classes": [{"zz": 0}],
"services": [{"zz": 0, "priority": {},
"shift_cap": {"zz": 0},
"depends_on": [{"zz": 0}]}],
"targets": [{"zz": 0}],
"client_blocks": [{"zz": 0}],
"drains": [{"zz": 0, "target": "t", "host": "h", "failure_domain": "d", "region": "r"}]
})";

// The headings of the page for the objects of the probe, by line.
constexpr std::array<const char*, 13> headings{
    "text",    "regions",        "cap",      "failure_domains", "links",
    "hosts",   "caller_classes", "services", "shift_cap",       "depends_on",
    "targets", "client_blocks",  "drains"};

std::set<std::string> known_keys(const bth::finding& unknown_key)
{
    const std::string start = "one of: ";
    CHECK_EQUAL(0, unknown_key.expected.compare(0, start.size(), start));
    std::set<std::string> keys;
    std::istringstream list{unknown_key.expected.substr(start.size())};
    for (std::string key; std::getline(list, key, ',');) {
        keys.insert(key.substr(key.find_first_not_of(' ')));
    }
    return keys;
}

// The keys in the tables below a heading of the page.
std::set<std::string> keys_on_page(const std::string& heading)
{
    std::ifstream page{"docs/operators/text-reference.md"};
    const std::string wanted = "## `" + heading + "`";
    const std::string row_start = "| `";
    std::set<std::string> keys;
    bool inside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.compare(0, 3, "## ") == 0) {
            inside = line == wanted;
        }
        else if (inside && line.compare(0, row_start.size(), row_start) == 0) {
            keys.insert(
                line.substr(row_start.size(), line.find('`', row_start.size()) - row_start.size()));
        }
    }
    return keys;
}

std::string joined(const std::set<std::string>& keys)
{
    std::string out;
    for (const std::string& key : keys) {
        out += key + " ";
    }
    return out;
}

} // namespace

TEST(text_reference, the_page_lists_the_keys_that_the_reader_knows)
{
    const auto report = bth::config::check_text("probe", probe_text);
    std::size_t compared = 0;
    for (const bth::finding& each : report.found.all()) {
        if (each.message != "unknown key \"zz\"") {
            continue;
        }
        const std::string heading = headings.at(each.place.line - 1);
        STRCMP_EQUAL_TEXT(joined(known_keys(each)).c_str(), joined(keys_on_page(heading)).c_str(),
                          heading.c_str());
        ++compared;
    }
    UNSIGNED_LONGS_EQUAL(headings.size(), compared);
}
