// One attempt to serve a request by forwarding it to another entry host over a stream of the peer
// link.
//
//   peer_attempt<caller_session> attempt{executor, streams, attributes, id,
//                                        destination, commands, caller, body};
//   steering::attempt_result result = co_await attempt.run();
#pragma once

#include "bth/entry/attempt_guard.h"
#include "bth/entry/request_body.h"
#include "bth/entry/stream_multiplexer.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bth::entry {

// What a forwarded request says about its service and caller. Configuration objects are identified
// by name because their ids are valid on one host only.
struct request_attributes {
    std::string service;
    std::string caller_class;
    // The failure domain of the caller.
    std::string home;
    // Whether running the request twice does no harm.
    bool repeatable{};
};

// Returns the header fields of a request or response head for the stream protocol. The views refer
// to `head`.
template <class Head>
std::vector<wire::header_field> to_wire_fields(const Head& head)
{
    std::vector<wire::header_field> out;
    for (const auto& each : head) {
        out.push_back({{each.name_string().data(), each.name_string().size()},
                       {each.value().data(), each.value().size()}});
    }
    return out;
}

template <caller_side Caller>
class peer_attempt {
public:
    peer_attempt(boost::asio::any_io_executor executor, stream_multiplexer& streams,
                 const request_attributes& attributes, request_id id,
                 const forward_command& destination, std::shared_ptr<request_commands> commands,
                 Caller& caller, request_body<Caller>& body)
        : executor{std::move(executor)}, streams{streams}, attributes{attributes}, id{id},
          destination{destination}, commands{std::move(commands)}, caller{caller}, body{body}
    {}

    // Sends the request and relays the response to the caller. Returns how the attempt ended; the
    // deadline of `destination` and request_commands::stop end it early.
    boost::asio::awaitable<steering::attempt_result> run()
    {
        this->result.id = this->id;
        const body_chunk first = co_await this->body.next();
        if (first.failed) {
            this->commands->stop(stop_cause::caller_disconnected);
            co_return this->failed_result();
        }
        this->channel = this->open_stream(first);
        if (!this->channel) {
            co_return this->failed_result();
        }
        const auto stop = [this] {
            this->channel->cancel();
            if (this->result.answer_started) {
                this->caller.abort_response();
            }
        };
        const attempt_guard guard{this->executor, this->commands, this->destination.deadline, stop};
        bool ok = co_await this->send_remaining_body(first.last);
        if (ok) {
            ok = co_await this->receive_response();
        }
        co_return ok ? this->result : this->failed_result();
    }

private:
    // Returns null if the host is not connected or its send queue is full.
    std::shared_ptr<stream_channel> open_stream(const body_chunk& first)
    {
        const request_head& head = this->caller.head();
        wire::stream_open request;
        request.service = this->attributes.service;
        request.caller_class = this->attributes.caller_class;
        request.home = this->attributes.home;
        request.method = {head.method_string().data(), head.method_string().size()};
        request.path = {head.target().data(), head.target().size()};
        request.fields = to_wire_fields(head);
        request.timeout = std::chrono::duration_cast<std::chrono::microseconds>(
            this->destination.deadline - shell::monotonic_now());
        request.repeatable = this->attributes.repeatable;
        request.hops = this->destination.hops;
        request.retry = this->destination.retry;
        request.body = first.bytes;
        request.last = first.last;
        return this->streams.open(this->destination.host, request);
    }

    // Sends the body after its first chunk. Stops early, and returns true, if a response or refusal
    // arrives before the end of the body.
    boost::asio::awaitable<bool> send_remaining_body(bool last)
    {
        while (!last && !this->channel->has_received_content()) {
            const body_chunk next = co_await this->body.next();
            if (next.failed) {
                this->commands->stop(stop_cause::caller_disconnected);
                co_return false;
            }
            last = next.last;
            const bool sent = co_await this->channel->send_body(next.bytes, last);
            if (!sent) {
                co_return false;
            }
        }
        co_return true;
    }

    // Returns false unless a complete response was relayed; a refusal is stored in `refusal`.
    boost::asio::awaitable<bool> receive_response()
    {
        auto content = co_await this->channel->receive();
        if (!content) {
            co_return false;
        }
        if (const auto* refusal = std::get_if<wire::stream_refusal>(&*content)) {
            this->refusal = *refusal;
            co_return false;
        }
        auto* response = std::get_if<received_response>(&*content);
        if (response == nullptr) {
            co_return false;
        }
        auto head = make_response_head(response->status, response->fields);
        if (!head) {
            co_return false;
        }
        this->result.answer_started = true;
        co_return co_await this->relay_response(std::move(*head), *response);
    }

    boost::asio::awaitable<bool> relay_response(response_head head, received_response& response)
    {
        response_start start;
        start.head = std::move(head);
        start.length = parse_whole_number(start.head[http::field::content_length]);
        start.first = {response.first.body, response.first.last, false};
        strip_response_fields(start.head);
        this->result.shed = start.head.result() == http::status::service_unavailable;
        bool last = response.first.last;
        bool delivered = co_await this->caller.begin_response(start);
        while (delivered && !last) {
            auto content = co_await this->channel->receive();
            auto* next = content ? std::get_if<received_body>(&*content) : nullptr;
            if (next == nullptr) {
                co_return false;
            }
            last = next->last;
            delivered = co_await this->caller.send_response_chunk({next->body, last, false});
        }
        if (!delivered && !this->commands->stopped()) {
            this->commands->stop(stop_cause::caller_disconnected);
        }
        co_return delivered;
    }

    // Returns the result of a failed attempt. It is derived from the refusal if the other host sent
    // one, otherwise from the reason for which the attempt was stopped and whether a stream was
    // opened.
    steering::attempt_result failed_result()
    {
        if (this->refusal) {
            this->result.outcome = this->refusal->run == run_state::no
                                       ? steering::attempt_outcome::not_run
                                       : steering::attempt_outcome::broken;
            this->result.peer_reason = this->refusal->reason;
            this->result.retry_after = this->refusal->retry_after;
            return this->result;
        }
        this->result.outcome =
            outcome_of_failed_attempt(this->commands->stopped(), this->channel != nullptr);
        if (this->channel) {
            this->channel->cancel();
        }
        return this->result;
    }

    boost::asio::any_io_executor executor;
    stream_multiplexer& streams;
    const request_attributes& attributes;
    request_id id;
    const forward_command& destination;
    std::shared_ptr<request_commands> commands;
    Caller& caller;
    request_body<Caller>& body;
    std::shared_ptr<stream_channel> channel;
    std::optional<wire::stream_refusal> refusal;
    steering::attempt_result result{};
};

} // namespace bth::entry
