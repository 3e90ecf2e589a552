#include "bth/fleet/catalog.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::target_facts;
using bth::fleet::catalog_revision;
using bth::fleet::target_catalog;

constexpr time_point start{1h};

target_facts facts(const std::string& id)
{
    return {id, "orders", {}, "north", 3, false, {}};
}

} // namespace

TEST_GROUP(target_catalog){};

TEST(target_catalog, a_reader_gets_only_what_changed_since_its_revision)
{
    target_catalog catalog;
    CHECK_TRUE(catalog.take({facts("a"), facts("b")}, start));
    const auto known = catalog.revision();
    CHECK_TRUE(catalog.take({facts("b"), facts("c")}, start + 1s));
    const auto delta = catalog.since(known);
    CHECK_FALSE(delta.whole);
    LONGS_EQUAL(1, delta.changed.size());
    STRCMP_EQUAL("c", delta.changed.front().id.c_str());
    LONGS_EQUAL(1, delta.removed.size());
    STRCMP_EQUAL("a", delta.removed.front().c_str());
}

TEST(target_catalog, a_reader_of_another_life_gets_all)
{
    target_catalog catalog;
    catalog.take({facts("a")}, start);
    CHECK_TRUE(catalog.since(catalog_revision{}).whole);
    CHECK_TRUE(catalog.since(catalog_revision{99}).whole);
}

TEST(target_catalog, an_older_reading_never_replaces_a_newer_one)
{
    target_catalog catalog;
    catalog.take({facts("a")}, start + 1s);
    CHECK_FALSE(catalog.take({facts("b")}, start));
    STRCMP_EQUAL("a", catalog.rows().front().id.c_str());
}

TEST(target_catalog, how_cold_a_target_still_is_makes_no_news_but_whether_it_is_does)
{
    target_catalog catalog;
    auto cold = facts("a");
    cold.cold_left = 3s;
    catalog.take({cold}, start);
    cold.cold_left = 2s;
    CHECK_FALSE(catalog.take({cold}, start + 1s));
    cold.cold_left = 0s;
    CHECK_TRUE(catalog.take({cold}, start + 3s));
}

TEST(target_catalog, the_digest_of_the_same_list_confirms_it)
{
    target_catalog first;
    target_catalog second;
    first.take({facts("a"), facts("b")}, start);
    second.take({facts("b"), facts("a")}, start);
    CHECK_TRUE(second.confirm(first.digest(), start + 1s));
    CHECK(second.read_at() == start + 1s);
    first.take({facts("a")}, start + 2s);
    CHECK_FALSE(second.confirm(first.digest(), start + 2s));
}
