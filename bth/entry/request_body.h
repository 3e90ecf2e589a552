// The interface to the caller of a request, who provides the request and receives the response, and
// the request body, which is buffered up to a limit so that another attempt can send it again.
//
//   request_body body{caller};
//   body_chunk chunk;
//   do { chunk = co_await body.next(); ... } while (!chunk.last && !chunk.failed);
//   if (body.can_rewind()) { body.rewind(); }   // next() starts over
#pragma once

#include "bth/entry/http_fields.h"
#include "bth/entry/request_commands.h"
#include "bth/wire/frame.h"

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace bth::entry {

// A chunk of a body. The bytes are valid until the next chunk is requested.
struct body_chunk {
    std::span<std::uint8_t> bytes;
    bool last{};
    // Reading failed before the end of the body.
    bool failed{};
};

// The head of a response with the first chunk of its body.
struct response_start {
    response_head head;
    // The length of the body in bytes; nothing if it is not known yet.
    std::optional<std::uint64_t> length;
    body_chunk first;
};

// The origin of a request: a caller over HTTP, or another entry host that forwarded it.
template <class T>
concept caller_side = requires(T& caller, response_start& start, const body_chunk& chunk,
                               const refusal_command& refusal)
{
    // Returns the request head without the header fields that apply to one connection only.
    {
        caller.head()
        } -> std::same_as<const request_head&>;
    // Returns whether a body follows the head, whatever its length.
    {
        caller.has_body()
        } -> std::same_as<bool>;
    // Returns the next chunk of the request body.
    {
        caller.read_body()
        } -> std::same_as<boost::asio::awaitable<body_chunk>>;
    // Send the response or a refusal. They return false if the caller has disconnected.
    {
        caller.begin_response(start)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        caller.send_response_chunk(chunk)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        caller.refuse(refusal)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    // Aborts a response that was started, so that the caller can't take it for complete.
    {
        caller.abort_response()
        } -> std::same_as<void>;
};

// Reads the body of a request, and buffers a short one so that another attempt can send it again.
template <caller_side Caller>
class request_body {
public:
    static constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

    explicit request_body(Caller& caller) : caller{caller}, buffer_complete{!caller.has_body()} {}

    // Returns the next chunk: from the buffer after rewind(), otherwise from the caller.
    boost::asio::awaitable<body_chunk> next()
    {
        if (this->replay_position < this->buffered.size() || this->buffer_complete) {
            body_chunk replayed;
            replayed.bytes = std::span{this->buffered}.subspan(this->replay_position);
            replayed.last = this->buffer_complete;
            this->replay_position = this->buffered.size();
            co_return replayed;
        }
        body_chunk new_chunk = co_await this->caller.read_body();
        if (new_chunk.failed) {
            co_return new_chunk;
        }
        this->buffer_chunk(new_chunk);
        co_return new_chunk;
    }

    // Returns whether all chunks read so far are buffered, so that the body can be sent again.
    bool can_rewind() const { return !this->overflowed; }
    void rewind() { this->replay_position = 0; }

private:
    void buffer_chunk(const body_chunk& new_chunk)
    {
        if (this->buffered.size() + new_chunk.bytes.size() > max_buffered_bytes) {
            this->overflowed = true;
            this->buffered.clear();
            this->replay_position = 0;
            return;
        }
        if (!this->overflowed) {
            this->buffered.insert(this->buffered.end(), new_chunk.bytes.begin(),
                                  new_chunk.bytes.end());
            this->replay_position = this->buffered.size();
            this->buffer_complete = new_chunk.last;
        }
    }

    Caller& caller;
    std::vector<std::uint8_t> buffered;
    std::size_t replay_position{};
    // Whether the buffer holds the whole body.
    bool buffer_complete{};
    // Whether the body exceeded max_buffered_bytes and is no longer buffered.
    bool overflowed{};
};

} // namespace bth::entry
