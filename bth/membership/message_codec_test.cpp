#include "bth/membership/messages.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;

// clang-format off
TEST_GROUP(message_codec) {};
// clang-format on

namespace {

std::vector<message> one_of_each()
{
    const config_mark mark{revision{7}, config::table_digest{8}};
    const auto bytes = std::make_shared<const std::string>("delta");
    const config::snapshot_cursor cursor{true, true, {config::section::hosts, "h"}, {{256}, 24}};
    return {probe_message{probe_kind::indirect_request,
                          3,
                          "subject",
                          {mark, "relay", std::chrono::milliseconds{50}},
                          {{"host", incarnation{4}, 5, liveness::suspect}}},
            delta_push{"relay", bytes},
            pull{revision{7}, cursor},
            pull_answer{mark, {bytes, bytes}, snapshot_part{bytes, cursor}},
            confirm{revision{7}},
            confirm_answer{revision{7}},
            control_heartbeat{mark, "relay"},
            domain_summary{revision{7}, 2, {"a", "b"}}};
}

} // namespace

TEST(message_codec, every_message_comes_back_the_same)
{
    for (const message& each : one_of_each()) {
        const std::string bytes = encode(each);
        const auto back = decode_message(bytes);
        CHECK_TRUE(back.has_value());
        UNSIGNED_LONGS_EQUAL(each.index(), back->index());
        CHECK_TRUE(encode(*back) == bytes);
    }
}

TEST(message_codec, damaged_and_cut_bytes_are_refused_or_decode_to_valid_values)
{
    for (const message& each : one_of_each()) {
        const std::string bytes = encode(each);
        for (std::size_t place = 0; place < bytes.size(); ++place) {
            for (const unsigned flipped : {0x01U, 0x80U, 0xffU}) {
                std::string damaged = bytes;
                damaged[place] = static_cast<char>(damaged[place] ^ static_cast<char>(flipped));
                const auto back = decode_message(damaged);
                const auto* probe = back ? std::get_if<probe_message>(&*back) : nullptr;
                CHECK_TRUE(probe == nullptr || probe->kind <= probe_kind::indirect_answer);
            }
        }
        CHECK_FALSE(decode_message(bytes.substr(0, bytes.size() / 2)).has_value());
    }
}
