#include "bth/base/finding.h"
#include "bth/base/reason.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(finding) {};
// clang-format on

TEST(finding, place_counts_lines_and_columns_from_one)
{
    const auto place = bth::place_of_offset("f", "ab\ncd", 4);
    UNSIGNED_LONGS_EQUAL(2, place.line);
    UNSIGNED_LONGS_EQUAL(2, place.column);
}

TEST(finding, text_names_place_and_what_would_be_right)
{
    bth::findings found;
    found.add({"f", 2, 3}, "wrong", "right");
    found.add({"g", 0, 0}, "missing");
    STRCMP_EQUAL("f:2:3: wrong; expected right\ng: missing\n", bth::to_string(found).c_str());
}

TEST(finding, every_reason_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (const auto reason : bth::all_refusal_reasons()) {
        names.insert(bth::to_string(reason));
    }
    UNSIGNED_LONGS_EQUAL(bth::refusal_reason_count, names.size());
}
