// The caller side of a request that another entry host forwarded to this one. Reads the request
// body from the stream and sends the response or refusal back on it.
//
//   peer_caller caller{channel, std::move(request)};   // models caller_side
//   co_await serve(services, caller, commands, arrival, attributes);
#pragma once

#include "bth/entry/peer_attempt.h"
#include "bth/entry/request_body.h"
#include "bth/entry/stream_multiplexer.h"

#include <memory>
#include <utility>

namespace bth::entry {

class peer_caller {
public:
    peer_caller(std::shared_ptr<stream_channel> channel, received_request request)
        : channel{std::move(channel)}, request{std::move(request)}
    {
        this->stripped_head.method_string(this->request.method);
        this->stripped_head.target(this->request.path);
        for (const auto& [name, value] : this->request.fields) {
            this->stripped_head.insert(name, value);
        }
        strip_request_fields(this->stripped_head);
    }

    const request_head& head() const { return this->stripped_head; }
    bool has_body() const { return !this->request.first.last || !this->request.first.body.empty(); }

    boost::asio::awaitable<body_chunk> read_body()
    {
        if (!std::exchange(this->first_chunk_returned, true)) {
            co_return body_chunk{this->request.first.body, this->request.first.last, false};
        }
        auto content = co_await this->channel->receive();
        auto* body = content ? std::get_if<received_body>(&*content) : nullptr;
        if (body == nullptr) {
            co_return body_chunk{{}, false, true};
        }
        this->current_chunk = std::move(*body);
        co_return body_chunk{this->current_chunk.body, this->current_chunk.last, false};
    }

    boost::asio::awaitable<bool> begin_response(response_start& start)
    {
        co_return this->channel->send_answer(static_cast<std::uint16_t>(start.head.result_int()),
                                             to_wire_fields(start.head), start.first.bytes,
                                             start.first.last);
    }

    boost::asio::awaitable<bool> send_response_chunk(const body_chunk& chunk)
    {
        co_return co_await this->channel->send_body(chunk.bytes, chunk.last);
    }

    boost::asio::awaitable<bool> refuse(const refusal_command& refusal)
    {
        const auto retry_after =
            std::chrono::duration_cast<std::chrono::microseconds>(refusal.retry_after);
        co_return this->channel->send_refusal({refusal.run, refusal.reason, retry_after});
    }

    void abort_response() { this->channel->cancel(); }

private:
    std::shared_ptr<stream_channel> channel;
    received_request request;
    // Owns the bytes of the chunk that read_body() returned last.
    received_body current_chunk;
    // The request head without the header fields that apply to one connection only.
    request_head stripped_head;
    bool first_chunk_returned{};
};

static_assert(caller_side<peer_caller>);

} // namespace bth::entry
