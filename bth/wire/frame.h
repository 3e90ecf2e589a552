// Frames between the processes of the system: a length, then a FlatBuffers envelope with the
// version of the protocol, the kind of the frame and a payload that only its kind's handler reads.
//
//   socket.write(encode_frame(frame_kind::steering, payload));
//   frame_reader reader;
//   reader.append(bytes);
//   while (auto next = reader.next()) { if (!*next) break; use(**next); }
#pragma once

#include "bth/base/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace bth::wire {

using bytes = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

// The only version that this build speaks. A peer of another version is refused.
inline constexpr std::uint16_t protocol_version = 1;

// The longest frame, its length prefix included. A longer one closes its connection.
inline constexpr std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
// The longest frame of a peer that hasn't said who it is.
inline constexpr std::size_t max_hello_bytes = std::size_t{4} * 1024;

// What a frame carries.
enum class frame_kind : std::uint8_t {
    hello,        // The first frame of a connection: who sends, in which life.
    stream,       // Requests and answers (bth/wire/stream.h).
    steering,     // Messages of the steering core (bth/wire/steering_codec.h).
    membership,   // Liveness of hosts.
    distribution, // Configuration on its way to every host.
    consensus,    // Agreement among the control hosts.
};
inline constexpr std::size_t frame_kind_count = 6;

// Why a frame was refused. Its connection is closed; no other is touched.
enum class frame_error : std::uint8_t {
    too_short,     // The length is less than any envelope's.
    too_long,      // The length exceeds what is taken of the peer.
    damaged,       // The envelope doesn't verify.
    wrong_version, // Another version of the protocol.
    unknown_kind,  // A kind that this version doesn't know.
};

std::string_view to_string(frame_error error);

// A verified frame. The views are valid until the reader is used again.
struct frame {
    frame_kind kind{frame_kind::hello};
    // Set in hello only.
    std::string_view sender;
    incarnation life;
    // Starts at an address that is a multiple of 8, unless empty.
    byte_view payload;
};

// The bytes of one frame. The caller keeps the payload below max_payload_bytes.
bytes encode_frame(frame_kind kind, byte_view payload);
bytes encode_hello(std::string_view sender, incarnation life);

// The longest payload of a frame.
inline constexpr std::size_t max_payload_bytes = max_frame_bytes - 256;

// Cuts a stream of bytes into verified frames.
class frame_reader {
public:
    // A frame longer than `max_bytes` is an error.
    explicit frame_reader(std::size_t max_bytes = max_frame_bytes) : max_bytes{max_bytes} {}
    void set_max_bytes(std::size_t value) { this->max_bytes = value; }

    // Takes bytes as they came from the peer.
    void append(byte_view more);

    // The next frame, nothing if more bytes are needed, or an error after which the connection is
    // of no use.
    tl::expected<std::optional<frame>, frame_error> next();

    // Returns the memory of the frames that are being received.
    std::size_t held_bytes() const
    {
        return this->pending.capacity() + this->aligned.capacity() * sizeof(std::uint64_t);
    }

private:
    // Keeps only what isn't consumed. The frame that was returned last is gone.
    void release_memory();

    std::size_t max_bytes;
    bytes pending;
    std::size_t consumed{};
    // The present frame at an aligned address.
    std::vector<std::uint64_t> aligned;
};

} // namespace bth::wire
