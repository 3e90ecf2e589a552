// One try of a request at another entry host, over a stream of the peer link.
//
//   peer_try<caller_session> attempt{hub, names, order, orders, caller, body};
//   steering::attempt_result result = co_await attempt.run();
#pragma once

#include "bth/entry/request_body.h"
#include "bth/entry/stream_hub.h"
#include "bth/entry/try_end.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bth::entry {

// What another host needs to know of a request; rows by name.
struct request_names {
    std::string service;
    std::string caller_class;
    std::string home;
    bool repeatable{};
};

// The fields of a head as the wire takes them.
template <class Head>
std::vector<wire::header_field> wire_fields(const Head& head)
{
    std::vector<wire::header_field> out;
    for (const auto& each : head) {
        out.push_back({{each.name_string().data(), each.name_string().size()},
                       {each.value().data(), each.value().size()}});
    }
    return out;
}

template <caller_side Caller>
class peer_try {
public:
    peer_try(boost::asio::any_io_executor executor, stream_hub& hub, const request_names& names,
             request_id id, const peer_order& where, std::shared_ptr<request_orders> orders,
             Caller& caller, request_body<Caller>& body)
        : executor{std::move(executor)}, hub{hub}, names{names}, id{id}, where{where},
          orders{std::move(orders)}, caller{caller}, body{body}
    {}

    boost::asio::awaitable<steering::attempt_result> run()
    {
        this->result.id = this->id;
        const body_chunk first = co_await this->body.next();
        if (first.failed) {
            this->orders->stop(stop_cause::caller_gone);
            co_return this->failed();
        }
        this->channel = this->open(first);
        if (!this->channel) {
            co_return this->failed();
        }
        const auto stop = [this] {
            this->channel->cancel();
            if (this->result.answer_started) {
                this->caller.cut_answer();
            }
        };
        const try_guard guard{this->executor, this->orders, this->where.deadline, stop};
        bool good = co_await this->send_rest(first.last);
        if (good) {
            good = co_await this->take_answer();
        }
        co_return good ? this->result : this->failed();
    }

private:
    std::shared_ptr<stream_channel> open(const body_chunk& first)
    {
        const request_head& head = this->caller.head();
        wire::stream_open request;
        request.service = this->names.service;
        request.caller_class = this->names.caller_class;
        request.home = this->names.home;
        request.method = {head.method_string().data(), head.method_string().size()};
        request.path = {head.target().data(), head.target().size()};
        request.fields = wire_fields(head);
        request.timeout = std::chrono::duration_cast<std::chrono::microseconds>(
            this->where.deadline - shell::monotonic_now());
        request.repeatable = this->names.repeatable;
        request.hops = this->where.hops;
        request.retry = this->where.retry;
        request.body = first.bytes;
        request.last = first.last;
        return this->hub.open(this->where.host, request);
    }

    // An answer or refusal that comes before the end of the body ends the sending.
    boost::asio::awaitable<bool> send_rest(bool last)
    {
        while (!last && !this->channel->has_part()) {
            const body_chunk next = co_await this->body.next();
            if (next.failed) {
                this->orders->stop(stop_cause::caller_gone);
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

    boost::asio::awaitable<bool> take_answer()
    {
        auto part = co_await this->channel->receive();
        if (!part) {
            co_return false;
        }
        if (const auto* refusal = std::get_if<wire::stream_refusal>(&*part)) {
            this->refusal = *refusal;
            co_return false;
        }
        auto* answer = std::get_if<received_answer>(&*part);
        if (answer == nullptr) {
            co_return false;
        }
        this->result.answer_started = true;
        co_return co_await this->relay(*answer);
    }

    boost::asio::awaitable<bool> relay(received_answer& answer)
    {
        answer_start start;
        start.head.result(answer.status);
        for (const auto& [name, value] : answer.fields) {
            start.head.insert(name, value);
        }
        start.length = whole_number(start.head[http::field::content_length]);
        start.first = {answer.first.body, answer.first.last, false};
        strip_answer_fields(start.head);
        this->result.shed = start.head.result() == http::status::service_unavailable;
        bool last = answer.first.last;
        bool taken = co_await this->caller.begin_answer(start);
        while (taken && !last) {
            auto part = co_await this->channel->receive();
            auto* next = part ? std::get_if<received_body>(&*part) : nullptr;
            if (next == nullptr) {
                co_return false;
            }
            last = next->last;
            taken = co_await this->caller.continue_answer({next->body, last, false});
        }
        if (!taken && !this->orders->stopped()) {
            this->orders->stop(stop_cause::caller_gone);
        }
        co_return taken;
    }

    steering::attempt_result failed()
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
            outcome_of_failure(this->orders->stopped(), this->channel != nullptr);
        if (this->channel) {
            this->channel->cancel();
        }
        return this->result;
    }

    boost::asio::any_io_executor executor;
    stream_hub& hub;
    const request_names& names;
    request_id id;
    const peer_order& where;
    std::shared_ptr<request_orders> orders;
    Caller& caller;
    request_body<Caller>& body;
    std::shared_ptr<stream_channel> channel;
    std::optional<wire::stream_refusal> refusal;
    steering::attempt_result result{};
};

} // namespace bth::entry
