#include "bth/consensus/codec.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::consensus;

const member_id host_a{"a", bth::incarnation{1}};
const member_id host_b{"b", bth::incarnation{77}};
const configuration both{{host_a, host_b}, {{"c", bth::incarnation{3}}}, {{"a", "x"}, {"c", "z"}}};
const leader_stamp stamp{5, bth::time_point{bth::duration{123456}}};
const std::vector<log_entry> entries{
    {{4}, term_number{2}, entry_kind::command, std::string{"x\0y", 3}, {}},
    {{5}, term_number{2}, entry_kind::configuration, {}, both}};

std::vector<envelope> every_message()
{
    const term_number term{9};
    return {{host_a, host_b, vote_request{term, true, {3}, term}},
            {host_a, host_b, vote_answer{term, false, true}},
            {host_a, host_b, append_request{term, stamp, {3}, term, {2}, entries}},
            {host_a, host_b, append_answer{term, stamp, true, {5}}},
            {host_a, host_b, snapshot_request{term, stamp, {3}, term, both, 10, 4, "data"}},
            {host_a, host_b, snapshot_answer{term, stamp, {3}, 8}},
            {host_a, host_b, join_request{}},
            {host_a, host_b, join_request{host_b}},
            {host_a, host_b, join_request{host_b, "y"}}};
}

} // namespace

// clang-format off
TEST_GROUP(consensus_codec) {};
// clang-format on

TEST(consensus_codec, every_message_is_read_back_as_it_was)
{
    for (const auto& sent : every_message()) {
        const auto bytes = encode(sent);
        const auto read = decode_envelope(bytes);
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(read->from == sent.from && read->to == sent.to);
        CHECK_TRUE(read->body.index() == sent.body.index());
        CHECK_TRUE(encode(*read) == bytes);
    }
}

TEST(consensus_codec, durable_values_are_read_back_as_they_were)
{
    const folder_identity identity{host_b, both};
    CHECK_TRUE(decode_identity(encode(identity)) == identity);
    const durable_batch batch{hard_state{term_number{3}, host_a}, entries};
    CHECK_TRUE(decode_batch(encode(batch)) == batch);
    const snapshot taken{{7}, term_number{3}, both, "state"};
    CHECK_TRUE(decode_snapshot(encode(taken)) == taken);
}

TEST(consensus_codec, damaged_bytes_never_stop_the_decoder)
{
    std::mt19937_64 generator{1};
    for (const auto& sent : every_message()) {
        const auto whole = encode(sent);
        for (int round = 0; round < 500; ++round) {
            auto bytes = whole.substr(0, generator() % (whole.size() + 1));
            if (!bytes.empty()) {
                bytes.at(generator() % bytes.size()) = static_cast<char>(generator());
            }
            (void)decode_envelope(bytes);
        }
    }
    CHECK_FALSE(decode_envelope("").has_value());
    CHECK_FALSE(decode_envelope("not a message at all").has_value());
}
