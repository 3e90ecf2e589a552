#include "bth/wire/frame.h"

#include "bth/wire/frame_generated.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(frame) {};
// clang-format on

namespace {

using bth::wire::bytes;
using bth::wire::frame_error;
using bth::wire::frame_kind;

bytes payload_of(std::size_t size)
{
    bytes out(size);
    for (std::size_t i = 0; i < size; ++i) {
        out.at(i) = static_cast<std::uint8_t>(i);
    }
    return out;
}

bytes envelope_with(std::uint16_t version, std::uint8_t kind)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto root = bth::wire::fbs::Createenvelope(builder, version,
                                                     static_cast<bth::wire::fbs::frame_kind>(kind));
    bth::wire::fbs::FinishSizePrefixedenvelopeBuffer(builder, root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

bytes truncated_inside(bytes frame)
{
    frame.resize(frame.size() - 8);
    const auto length = static_cast<std::uint32_t>(frame.size() - 4);
    flatbuffers::WriteScalar(frame.data(), length);
    return frame;
}

bytes with_byte(bytes frame, std::size_t at, std::uint8_t value)
{
    frame.at(at) = value;
    return frame;
}

struct bad_frame {
    const char* what;
    bytes input;
    frame_error error;
};

} // namespace

TEST(frame, round_trips_payloads_of_every_alignment_in_any_pieces)
{
    for (std::size_t size = 0; size < 40; ++size) {
        bth::wire::frame_reader reader;
        const bytes sent = payload_of(size);
        const bytes wire = bth::wire::encode_frame(frame_kind::membership, sent);
        for (std::size_t i = 0; i + 1 < wire.size(); ++i) {
            reader.append({&wire.at(i), 1});
            CHECK_FALSE(reader.next().value().has_value());
        }
        reader.append({&wire.back(), 1});
        const auto got = reader.next().value().value();
        CHECK_TRUE(got.kind == frame_kind::membership);
        CHECK_TRUE(bytes(got.payload.begin(), got.payload.end()) == sent);
        CHECK_TRUE(size == 0 || reinterpret_cast<std::uintptr_t>(got.payload.data()) % 8 == 0);
    }
}

TEST(frame, hello_names_sender_and_life)
{
    bth::wire::frame_reader reader;
    reader.append(bth::wire::encode_hello("entry-a", bth::incarnation{77}));
    const auto got = reader.next().value().value();
    CHECK_TRUE(got.sender == "entry-a");
    CHECK_TRUE(got.life == bth::incarnation{77});
}

TEST(frame, table_of_bad_frames_is_refused_with_its_reason)
{
    const bytes good = bth::wire::encode_frame(frame_kind::stream, payload_of(64));
    const std::vector<bad_frame> table{
        {"length zero", {0, 0, 0, 0}, frame_error::too_short},
        {"length below an envelope", {11, 0, 0, 0}, frame_error::too_short},
        {"length above the bound", {0, 0, 64, 0, 1}, frame_error::too_long},
        {"length of all ones", {255, 255, 255, 255}, frame_error::too_long},
        {"other version", envelope_with(2, 1), frame_error::wrong_version},
        {"version zero", envelope_with(0, 1), frame_error::wrong_version},
        {"unknown kind", envelope_with(1, 6), frame_error::unknown_kind},
        {"largest kind", envelope_with(1, 255), frame_error::unknown_kind},
        {"other identifier", with_byte(good, 8, 'X'), frame_error::damaged},
        {"root outside", with_byte(good, 5, 0xff), frame_error::damaged},
        {"cut inside", truncated_inside(good), frame_error::damaged},
        {"text in place of a frame", {'G', 'E', 'T', 0, '/', ' ', 'H'}, frame_error::too_long},
    };
    for (const bad_frame& row : table) {
        bth::wire::frame_reader reader;
        reader.append(row.input);
        const auto got = reader.next();
        CHECK_TRUE_TEXT(!got.has_value(), row.what);
        CHECK_TRUE_TEXT(got.error() == row.error, row.what);
    }
}

TEST(frame, random_damage_never_reads_outside_of_the_frame)
{
    constexpr std::uint64_t seed = 20261203;
    std::mt19937_64 random{seed};
    const bytes good = bth::wire::encode_frame(frame_kind::stream, payload_of(100));
    for (int round = 0; round < 20000; ++round) {
        bytes damaged = good;
        for (std::uint64_t hits = 1 + random() % 4; hits > 0; --hits) {
            damaged.at(4 + random() % (damaged.size() - 4)) = static_cast<std::uint8_t>(random());
        }
        bth::wire::frame_reader reader;
        reader.append(damaged);
        const auto got = reader.next();
        if (got.has_value() && got->has_value()) {
            CHECK_TRUE((*got)->payload.size() <= good.size());
        }
    }
}

// Frames before the hello of many connections took all memory of a host.
TEST(frame, frame_longer_than_the_reader_takes_is_refused_by_its_length)
{
    const bytes long_frame =
        bth::wire::encode_frame(frame_kind::stream, payload_of(bth::wire::max_hello_bytes));
    bth::wire::frame_reader reader{bth::wire::max_hello_bytes};
    reader.append(bth::wire::encode_hello("a", bth::incarnation{1}));
    CHECK_TRUE(reader.next()->has_value());
    reader.append(bth::wire::byte_view{long_frame}.first(4));
    const auto refused = reader.next();
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(refused.error() == frame_error::too_long);
    reader.set_max_bytes(bth::wire::max_frame_bytes);
    reader.append(bth::wire::byte_view{long_frame}.subspan(4));
    CHECK_TRUE(reader.next()->has_value());
}

TEST(frame, reader_releases_the_memory_of_a_long_frame)
{
    constexpr std::size_t payload_bytes = 1024UL * 1024;
    bth::wire::frame_reader reader;
    reader.append(bth::wire::encode_frame(frame_kind::stream, payload_of(payload_bytes)));
    CHECK_TRUE(reader.next()->has_value());
    CHECK_TRUE(reader.held_bytes() > payload_bytes);
    // Also while the beginning of the next frame is there already.
    const bytes next = bth::wire::encode_frame(frame_kind::stream, payload_of(1000));
    reader.append(bth::wire::byte_view{next}.first(500));
    CHECK_FALSE(reader.next()->has_value());
    CHECK_COMPARE(reader.held_bytes(), <, 1000);
    reader.append(bth::wire::byte_view{next}.subspan(500));
    CHECK_TRUE(reader.next()->has_value());
}

TEST(frame, frames_behind_each_other_are_all_read)
{
    bth::wire::frame_reader reader;
    bytes wire = bth::wire::encode_frame(frame_kind::steering, payload_of(3));
    const bytes second = bth::wire::encode_frame(frame_kind::consensus, payload_of(9));
    wire.insert(wire.end(), second.begin(), second.end());
    reader.append(wire);
    CHECK_TRUE(reader.next().value().value().kind == frame_kind::steering);
    CHECK_TRUE(reader.next().value().value().kind == frame_kind::consensus);
    CHECK_FALSE(reader.next().value().has_value());
}
