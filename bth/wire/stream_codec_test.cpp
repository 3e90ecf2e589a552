#include "bth/wire/stream_codec.h"

#include "bth/wire/stream_generated.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(stream_codec) {};
// clang-format on

namespace {

using bth::wire::bytes;

const bytes some_body{'b', 'o', 'd', 'y'};

bytes example_open()
{
    bth::wire::stream_open open;
    open.service = "entries";
    open.caller_class = "steward";
    open.home = "east-mids-1";
    open.method = "POST";
    open.path = "/fee?show=7";
    open.fields = {{"Content-Length", "4"}, {"Accept", "*/*"}};
    open.timeout = std::chrono::milliseconds{1500};
    open.body = some_body;
    open.last = true;
    return bth::wire::encode({42, true, open});
}

bytes refusal_with(std::uint8_t run, std::uint8_t reason)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto refusal = bth::wire::fbs::Createrefusal(builder, run, reason, 0);
    const auto root = bth::wire::fbs::Createstream_frame(
        builder, 1, false, bth::wire::fbs::stream_content::refusal, refusal.Union());
    bth::wire::fbs::Finishstream_frameBuffer(builder, root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

bytes answer_with(std::uint16_t status)
{
    return bth::wire::encode({1, false, bth::wire::stream_answer{status, {}, {}, true}});
}

} // namespace

TEST(stream_codec, open_round_trips)
{
    const bytes payload = example_open();
    const auto frame = bth::wire::decode_stream(payload).value();
    CHECK_EQUAL(42U, frame.stream);
    CHECK_TRUE(frame.from_opener);
    const auto& open = std::get<bth::wire::stream_open>(frame.content);
    CHECK_TRUE(open.service == "entries" && open.home == "east-mids-1");
    CHECK_TRUE(open.method == "POST" && open.path == "/fee?show=7");
    CHECK_TRUE(open.fields.at(1).name == "Accept" && open.fields.at(1).value == "*/*");
    CHECK_TRUE(open.timeout == std::chrono::milliseconds{1500});
    CHECK_TRUE(bytes(open.body.begin(), open.body.end()) == some_body);
    CHECK_TRUE(open.last && !open.repeatable);
}

TEST(stream_codec, values_out_of_range_are_refused)
{
    CHECK_TRUE(bth::wire::decode_stream(refusal_with(1, 20)).has_value());
    CHECK_FALSE(bth::wire::decode_stream(refusal_with(2, 0)).has_value());
    CHECK_FALSE(bth::wire::decode_stream(refusal_with(0, bth::refusal_reason_count)).has_value());
    CHECK_TRUE(bth::wire::decode_stream(answer_with(200)).has_value());
    CHECK_FALSE(bth::wire::decode_stream(answer_with(100)).has_value());
    CHECK_FALSE(bth::wire::decode_stream(answer_with(600)).has_value());
    CHECK_FALSE(bth::wire::decode_stream({}).has_value());
}

TEST(stream_codec, endless_timeout_is_cut)
{
    bth::wire::stream_refusal refusal;
    refusal.retry_after = std::chrono::microseconds::max();
    const bytes payload = bth::wire::encode({1, false, refusal});
    const auto frame = bth::wire::decode_stream(payload).value();
    CHECK_TRUE(std::get<bth::wire::stream_refusal>(frame.content).retry_after <=
               std::chrono::hours{1});
}

TEST(stream_codec, random_damage_is_refused_or_stays_inside)
{
    constexpr std::uint64_t seed = 31;
    std::mt19937_64 random{seed};
    const bytes good = example_open();
    for (int round = 0; round < 20000; ++round) {
        bytes damaged = good;
        damaged.resize(random() % 4 == 0 ? random() % good.size() : good.size());
        for (std::uint64_t hits = 1 + random() % 4; hits > 0 && !damaged.empty(); --hits) {
            damaged.at(random() % damaged.size()) = static_cast<std::uint8_t>(random());
        }
        const auto frame = bth::wire::decode_stream(damaged);
        const auto* open = frame ? std::get_if<bth::wire::stream_open>(&frame->content) : nullptr;
        if (open != nullptr) {
            CHECK_TRUE(open->body.size() <= good.size() && open->path.size() <= good.size());
        }
    }
}
