#include "bth/fleet/catalog.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::target_info;
using bth::fleet::catalog_revision;
using bth::fleet::target_catalog;

constexpr time_point start{1h};

target_info facts(const std::string& id)
{
    return {id, "orders", {}, "north", 3, false, {}};
}

} // namespace

TEST_GROUP(target_catalog){};

TEST(target_catalog, a_reader_gets_only_what_changed_since_its_revision)
{
    target_catalog catalog;
    CHECK_TRUE(catalog.record_reading({facts("a"), facts("b")}, start));
    const auto known = catalog.revision();
    CHECK_TRUE(catalog.record_reading({facts("b"), facts("c")}, start + 1s));
    const auto delta = catalog.changes_since(known);
    CHECK_FALSE(delta.is_full);
    LONGS_EQUAL(1, delta.changed.size());
    STRCMP_EQUAL("c", delta.changed.front().id.c_str());
    LONGS_EQUAL(1, delta.removed.size());
    STRCMP_EQUAL("a", delta.removed.front().c_str());
}

TEST(target_catalog, a_reader_with_an_unknown_revision_gets_the_full_list)
{
    target_catalog catalog;
    catalog.record_reading({facts("a")}, start);
    CHECK_TRUE(catalog.changes_since(catalog_revision{}).is_full);
    CHECK_TRUE(catalog.changes_since(catalog_revision{99}).is_full);
}

TEST(target_catalog, an_older_reading_never_replaces_a_newer_one)
{
    target_catalog catalog;
    catalog.record_reading({facts("a")}, start + 1s);
    CHECK_FALSE(catalog.record_reading({facts("b")}, start));
    STRCMP_EQUAL("a", catalog.rows().front().id.c_str());
}

TEST(target_catalog, whether_a_target_is_cold_is_a_change_but_its_remaining_cold_time_is_not)
{
    target_catalog catalog;
    auto cold = facts("a");
    cold.remaining_cold_time = 3s;
    catalog.record_reading({cold}, start);
    cold.remaining_cold_time = 2s;
    CHECK_FALSE(catalog.record_reading({cold}, start + 1s));
    cold.remaining_cold_time = 0s;
    CHECK_TRUE(catalog.record_reading({cold}, start + 3s));
}

TEST(target_catalog, the_digest_of_the_same_list_confirms_it)
{
    target_catalog first;
    target_catalog second;
    first.record_reading({facts("a"), facts("b")}, start);
    second.record_reading({facts("b"), facts("a")}, start);
    CHECK_TRUE(second.confirm(first.digest(), start + 1s));
    CHECK(second.read_at() == start + 1s);
    first.record_reading({facts("a")}, start + 2s);
    CHECK_FALSE(second.confirm(first.digest(), start + 2s));
}
