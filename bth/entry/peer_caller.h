// The caller side of a request that another entry host forwarded here.
//
//   peer_caller caller{channel, std::move(request)};   // models caller_side
#pragma once

#include "bth/entry/peer_try.h"
#include "bth/entry/request_body.h"
#include "bth/entry/stream_hub.h"

#include <memory>
#include <utility>

namespace bth::entry {

class peer_caller {
public:
    peer_caller(std::shared_ptr<stream_channel> from, received_open given)
        : channel{std::move(from)}, request{std::move(given)}
    {
        this->own_head.method_string(this->request.method);
        this->own_head.target(this->request.path);
        for (const auto& [name, value] : this->request.fields) {
            this->own_head.insert(name, value);
        }
        strip_request_fields(this->own_head);
    }

    const request_head& head() const { return this->own_head; }
    bool has_body() const { return !this->request.first.last || !this->request.first.body.empty(); }

    boost::asio::awaitable<body_chunk> read_body()
    {
        if (!std::exchange(this->first_given, true)) {
            co_return body_chunk{this->request.first.body, this->request.first.last, false};
        }
        auto part = co_await this->channel->receive();
        auto* body = part ? std::get_if<received_body>(&*part) : nullptr;
        if (body == nullptr) {
            co_return body_chunk{{}, false, true};
        }
        this->present = std::move(*body);
        co_return body_chunk{this->present.body, this->present.last, false};
    }

    boost::asio::awaitable<bool> begin_answer(answer_start& start)
    {
        co_return this->channel->send_answer(static_cast<std::uint16_t>(start.head.result_int()),
                                             wire_fields(start.head), start.first.bytes,
                                             start.first.last);
    }

    boost::asio::awaitable<bool> continue_answer(const body_chunk& chunk)
    {
        co_return co_await this->channel->send_body(chunk.bytes, chunk.last);
    }

    boost::asio::awaitable<bool> refuse(const refusal_command& refusal)
    {
        const auto wait =
            std::chrono::duration_cast<std::chrono::microseconds>(refusal.retry_after);
        co_return this->channel->send_refusal({refusal.run, refusal.reason, wait});
    }

    void cut_answer() { this->channel->cancel(); }

private:
    std::shared_ptr<stream_channel> channel;
    received_open request;
    received_body present;
    request_head own_head;
    bool first_given{};
};

static_assert(caller_side<peer_caller>);

} // namespace bth::entry
