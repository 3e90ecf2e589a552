// Requests and answers between entry hosts, as payloads of frames of the kind "stream".
//
// A stream carries one request and its answer. The opener sends stream_open and body parts until
// one is the last; the other side sends stream_answer and body parts, or stream_refusal. Each side
// may send initial_window bytes of bodies and then as many as stream_window allows. Either side may
// send stream_cancel; the stream is then over, and what came of the answer isn't whole.
//
//   link.send(peer, frame_kind::stream, encode({7, true, stream_cancel{}}));
//   if (auto frame = decode_stream(payload)) { ... }
#pragma once

#include "bth/base/reason.h"
#include "bth/wire/frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::wire {

// Body bytes that may be sent on a stream in one direction before the first stream_window.
inline constexpr std::uint32_t initial_window = 256 * 1024;

// All views are into the payload that was decoded, or into what the sender keeps.
struct header_field {
    std::string_view name;
    std::string_view value;
};

struct stream_open {
    std::string_view service;
    std::string_view caller_class;
    // The failure domain that the caller belongs to.
    std::string_view home;
    std::string_view method;
    std::string_view path;
    std::vector<header_field> fields;
    // What is left of the request's time.
    std::chrono::microseconds timeout{};
    bool repeatable{};
    // The fields of the same name of the arrival at the receiver.
    std::uint8_t hops{};
    bool retry{};
    byte_view body;
    bool last{};
};

struct stream_body {
    byte_view body;
    bool last{};
};

struct stream_answer {
    std::uint16_t status{};
    std::vector<header_field> fields;
    byte_view body;
    bool last{};
};

struct stream_refusal {
    run_state run{run_state::unknown};
    refusal_reason reason{refusal_reason::no_target};
    std::chrono::microseconds retry_after{};
};

struct stream_window {
    std::uint32_t bytes{};
};

struct stream_cancel {};

using stream_content = std::variant<stream_open, stream_body, stream_answer, stream_refusal,
                                    stream_window, stream_cancel>;

struct stream_frame {
    std::uint64_t stream{};
    // Whether the process that opened the stream sends this.
    bool from_opener{};
    stream_content content;
};

bytes encode(const stream_frame& frame);

// Nothing if the payload doesn't verify or a value in it is out of its range.
std::optional<stream_frame> decode_stream(byte_view payload);

} // namespace bth::wire
