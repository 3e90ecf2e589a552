// The two sides of a request: the caller's, which gives the request and takes the answer, and the
// body on its way, which can be sent again as long as it is short.
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

// A part of a body. The bytes are valid until the next part is asked for.
struct body_chunk {
    std::span<std::uint8_t> bytes;
    bool last{};
    // The body ended before its end.
    bool failed{};
};

// The head of an answer with the first part of its body.
struct answer_start {
    response_head head;
    // Nothing if the length isn't known yet.
    std::optional<std::uint64_t> length;
    body_chunk first;
};

// Whoever a request came from: a caller over HTTP, or another entry host.
template <class T>
concept caller_side = requires(T& caller, answer_start& start, const body_chunk& chunk,
                               const refusal_command& refusal)
{
    // The head without the fields that concern one connection.
    {
        caller.head()
        } -> std::same_as<const request_head&>;
    // Whether a body follows, of whatever length.
    {
        caller.has_body()
        } -> std::same_as<bool>;
    {
        caller.read_body()
        } -> std::same_as<boost::asio::awaitable<body_chunk>>;
    // These are false if the caller is gone.
    {
        caller.begin_answer(start)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        caller.continue_answer(chunk)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        caller.refuse(refusal)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    // Ends a begun answer so that it can't look whole.
    {
        caller.cut_answer()
        } -> std::same_as<void>;
};

// Passes the body of a request on, and keeps a short one for another try.
template <caller_side Caller>
class request_body {
public:
    static constexpr std::size_t kept_limit = std::size_t{64} * 1024;

    explicit request_body(Caller& caller) : caller{caller}, complete{!caller.has_body()} {}

    boost::asio::awaitable<body_chunk> next()
    {
        if (this->position < this->kept.size() || this->complete) {
            body_chunk again;
            again.bytes = std::span{this->kept}.subspan(this->position);
            again.last = this->complete;
            this->position = this->kept.size();
            co_return again;
        }
        body_chunk fresh = co_await this->caller.read_body();
        if (fresh.failed) {
            co_return fresh;
        }
        this->keep(fresh);
        co_return fresh;
    }

    // Whether the body can be sent from its start.
    bool can_rewind() const { return !this->overflowed; }
    void rewind() { this->position = 0; }

private:
    void keep(const body_chunk& fresh)
    {
        if (this->kept.size() + fresh.bytes.size() > kept_limit) {
            this->overflowed = true;
            this->kept.clear();
            this->position = 0;
            return;
        }
        if (!this->overflowed) {
            this->kept.insert(this->kept.end(), fresh.bytes.begin(), fresh.bytes.end());
            this->position = this->kept.size();
            this->complete = fresh.last;
        }
    }

    Caller& caller;
    std::vector<std::uint8_t> kept;
    std::size_t position{};
    bool complete{};
    bool overflowed{};
};

} // namespace bth::entry
