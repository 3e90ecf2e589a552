#include "bth/control/edit_codec.h"

#include "bth/control/edit_book.h"
#include "bth/control/testing/sample_text.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using bth::revision;
using bth::control::drain_kind;
using bth::control::edit;

// clang-format off
TEST_GROUP(edit_codec) {};
// clang-format on

namespace {

constexpr bth::wall_time later{std::chrono::milliseconds{1'800'000'000'000}};

std::vector<edit> one_of_each()
{
    return {
        {"a", revision{0}, "ada", bth::control::text_change{"{}"}, 5},
        {"b", revision{1}, "", bth::control::drain_change{drain_kind::region, "r", later}, 6},
        {"c", revision{2}, "ben", bth::control::undrain_change{drain_kind::host, "e"}, 7},
    };
}

} // namespace

TEST(edit_codec, each_kind_of_edit_survives_the_bytes)
{
    for (const edit& each : one_of_each()) {
        const auto bytes = bth::control::encode_edit(each);
        const auto read = bth::control::decode_edit(bytes);
        CHECK_TRUE(read.has_value());
        STRCMP_EQUAL(each.id.c_str(), read->id.c_str());
        STRCMP_EQUAL(each.author.c_str(), read->author.c_str());
        CHECK_TRUE(each.expected_version == read->expected_version);
        UNSIGNED_LONGS_EQUAL(each.ids_kept, read->ids_kept);
        CHECK_TRUE(bytes == bth::control::encode_edit(*read));
    }
}

TEST(edit_codec, damaged_bytes_are_refused_or_read_but_never_crash)
{
    bth::control::edit_book book;
    book.apply({"a", revision{0}, "ada",
                bth::control::text_change{bth::control::testing::sample_text(3)}, 5});
    book.apply({"b", revision{0}, "ada", bth::control::text_change{"{}"}, 5});
    constexpr unsigned seeds = 2000;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937_64 random{seed};
        auto snapshot = book.snapshot();
        snapshot.at(random() % snapshot.size()) ^= static_cast<std::uint8_t>(1 + random() % 255);
        snapshot.resize(snapshot.size() - random() % 3);
        const auto restored = bth::control::edit_book::restore(snapshot);
        auto bytes = bth::control::encode_edit(one_of_each().at(random() % 3));
        bytes.at(random() % bytes.size()) ^= static_cast<std::uint8_t>(1 + random() % 255);
        const auto read = bth::control::decode_edit(bytes);
        CHECK_TRUE(restored.has_value() || !restored.error().empty());
        CHECK_TRUE(read.has_value() || !read.error().empty());
    }
    CHECK_FALSE(bth::control::edit_book::restore({}).has_value());
    CHECK_FALSE(bth::control::decode_edit({}).has_value());
}
