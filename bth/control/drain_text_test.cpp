#include "bth/control/drain_text.h"

#include "bth/config/text.h"
#include "bth/control/testing/sample_text.h"

#include <string>

#include <CppUTest/TestHarness.h>

using bth::control::drain_kind;
using bth::control::testing::sample_text;

// clang-format off
TEST_GROUP(drain_text) {};
// clang-format on

namespace {

constexpr bth::wall_time later{std::chrono::milliseconds{1'800'000'000'000}};

} // namespace

TEST(drain_text, a_drain_goes_in_and_out_and_the_rest_stays)
{
    const auto drained =
        bth::control::with_drain(sample_text(3), {drain_kind::target, "t1", later});
    CHECK_TRUE(drained.has_value());
    CHECK_TRUE(drained->find("// One region with one failure domain.") != std::string::npos);
    const auto read = bth::config::read_text("text", *drained);
    CHECK_TRUE(read.has_value());
    UNSIGNED_LONGS_EQUAL(1, read->drains.size());
    CHECK_TRUE(read->drains.at(0).from == later);
    const auto restored = bth::control::without_drain(*drained, {drain_kind::target, "t1"});
    CHECK_TRUE(restored.has_value());
    const auto read_again = bth::config::read_text("text", *restored);
    CHECK_TRUE(read_again.has_value());
    UNSIGNED_LONGS_EQUAL(0, read_again->drains.size());
}

TEST(drain_text, a_second_drain_of_one_thing_replaces_the_first)
{
    auto text = bth::control::with_drain(sample_text(3), {drain_kind::target, "t1", later});
    text = bth::control::with_drain(*text, {drain_kind::target, "t2", later});
    text = bth::control::with_drain(*text, {drain_kind::target, "t1", {}});
    CHECK_TRUE(text.has_value());
    const auto read = bth::config::read_text("text", *text);
    CHECK_TRUE(read.has_value());
    UNSIGNED_LONGS_EQUAL(2, read->drains.size());
    CHECK_TRUE(read->drains.at(1).from == bth::wall_time{});
}

TEST(drain_text, what_is_not_drained_cannot_be_undrained)
{
    CHECK_FALSE(
        bth::control::without_drain(sample_text(3), {drain_kind::target, "t1"}).has_value());
    CHECK_FALSE(bth::control::with_drain("", {drain_kind::target, "t1", {}}).has_value());
}

TEST(drain_text, a_name_with_quotes_stays_one_string)
{
    const auto text = bth::control::with_drain(sample_text(3), {drain_kind::host, "a\"b\\", {}});
    CHECK_TRUE(text.has_value());
    const auto read = bth::config::read_text("text", *text);
    CHECK_FALSE(read.has_value());
    UNSIGNED_LONGS_EQUAL(1, read.error().size());
    CHECK_TRUE(to_string(read.error()).find("no host is named") != std::string::npos);
}
