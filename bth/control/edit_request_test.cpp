#include "bth/control/edit_request.h"

#include "bth/control/edit_codec.h"

#include <array>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using bth::revision;
using bth::control::drain_kind;
using bth::control::edit;

// clang-format off
TEST_GROUP(edit_request) {};
// clang-format on

namespace {

constexpr std::uint32_t ids_kept = 9;

} // namespace

TEST(edit_request, what_is_written_is_read_again)
{
    constexpr bth::wall_time later{std::chrono::milliseconds{1'800'000'000'000}};
    const std::array<edit, 3> edits{{
        {"a", revision{0}, "ada", bth::control::text_change{"{\"x\": \"\xc3\xa4\"}\n"}, ids_kept},
        {"b", revision{1}, "", bth::control::drain_change{drain_kind::region, "r", later},
         ids_kept},
        {"c", revision{2}, "ben", bth::control::undrain_change{drain_kind::host, "e"}, ids_kept},
    }};
    for (const edit& each : edits) {
        const auto read = bth::control::read_edit_request(write_edit_request(each), ids_kept);
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(bth::control::encode_edit(each) == bth::control::encode_edit(*read));
    }
}

TEST(edit_request, bad_bodies_are_findings)
{
    for (const char* body :
         {"", "[]", "{", "{\"edit_id\": 1}", R"({"edit_id": "a", "expected_version": 0})",
          R"({"edit_id": "a", "expected_version": -1, "text": "{}"})",
          R"({"edit_id": "a", "expected_version": 0, "text": "{}", "drain": {"host": "e"}})",
          R"({"edit_id": "a", "expected_version": 0, "drain": {}})",
          R"({"edit_id": "a", "expected_version": 0, "drain": {"host": "e", "region": "r"}})",
          R"({"edit_id": "a", "expected_version": 0, "drain": {"host": "e", "form_unix_ms": 1}})",
          R"({"edit_id": "a", "expected_version": 0, "undrain": ["e"]})",
          R"({"edit_id": "a\u0000", "expected_version": 0, "text": "{}"})"}) {
        CHECK_FALSE(bth::control::read_edit_request(body, ids_kept).has_value());
    }
}

TEST(edit_request, damaged_bodies_never_crash)
{
    const std::string good = bth::control::write_edit_request(
        {"a", revision{7}, "ada", bth::control::drain_change{drain_kind::target, "t", {}}, 1});
    constexpr unsigned seeds = 2000;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937_64 random{seed};
        std::string body = good;
        body.at(random() % body.size()) = static_cast<char>(random() % 256);
        body.erase(random() % body.size(), random() % 4);
        const auto read = bth::control::read_edit_request(body, ids_kept);
        CHECK_TRUE(read.has_value() || !read.error().empty());
    }
}
