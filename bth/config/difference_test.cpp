#include "bth/config/difference.h"

#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(difference) {};
// clang-format on

namespace {

constexpr std::size_t many = 100;

std::string line(const bth::config::row_difference& row)
{
    return std::string{to_string(row.change)} + " " + row.section + " " + row.name;
}

} // namespace

TEST(difference, rows_are_named_by_section_and_name)
{
    const std::string before = R"({"targets": [{"name": "a", "slots": 3}, {"name": "b"}],
        "links": [{"from": "x", "to": "y", "delay_us": 1}],
        "client_blocks": [{"block": "10.1.0.0/16", "failure_domain": "d"}],
        "drains": [{"target": "a"}]})";
    const std::string after = R"({"targets": [{"name": "c"}, {"name": "a", "slots": 4}],
        "links": [{"from": "x", "to": "y", "delay_us": 2}],
        "client_blocks": [{"block": "10.2.0.0/16", "failure_domain": "d"}]})";
    const auto found = bth::config::difference_of(before, after, many);
    UNSIGNED_LONGS_EQUAL(7, found.rows.size());
    STRCMP_EQUAL("changed links x>y", line(found.rows.at(0)).c_str());
    STRCMP_EQUAL("changed targets a", line(found.rows.at(1)).c_str());
    STRCMP_EQUAL("removed targets b", line(found.rows.at(2)).c_str());
    STRCMP_EQUAL("added targets c", line(found.rows.at(3)).c_str());
    STRCMP_EQUAL("removed drains target:a", line(found.rows.at(4)).c_str());
    STRCMP_EQUAL("removed client_blocks 10.1.0.0/16", line(found.rows.at(5)).c_str());
    STRCMP_EQUAL("added client_blocks 10.2.0.0/16", line(found.rows.at(6)).c_str());
    STRCMP_EQUAL(R"({"name":"a","slots":3})", found.rows.at(1).before.c_str());
    STRCMP_EQUAL(R"({"name":"a","slots":4})", found.rows.at(1).after.c_str());
    STRCMP_EQUAL("d", found.rows.at(6).after.c_str());
}

TEST(difference, order_comments_and_layout_do_not_count)
{
    const auto found = bth::config::difference_of(R"({"regions": [{"name": "a"}, {"name": "b"}]})",
                                                  "// Swapped.\n{\"regions\":[{\"name\":\"b\"},\n"
                                                  "{\"name\":\"a\"}]}",
                                                  many);
    UNSIGNED_LONGS_EQUAL(0, found.rows.size());
}

TEST(difference, rows_over_the_limit_are_counted)
{
    const auto found = bth::config::difference_of(
        "", R"({"regions": [{"name": "a"}, {"name": "b"}, {"name": "c"}]})", 1);
    UNSIGNED_LONGS_EQUAL(1, found.rows.size());
    UNSIGNED_LONGS_EQUAL(2, found.omitted);
}
