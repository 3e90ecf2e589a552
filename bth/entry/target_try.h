// One try of a request at a target: a connection of its own until the answer has ended.
//
//   target_try<caller_session> attempt{pool, id, order, orders, caller, body};
//   steering::attempt_result result = co_await attempt.run();
#pragma once

#include "bth/entry/request_body.h"
#include "bth/entry/target_pool.h"
#include "bth/entry/try_end.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace bth::entry {

template <caller_side Caller>
class target_try {
public:
    target_try(target_pool& pool, request_id id, const target_order& where,
               std::shared_ptr<request_orders> orders, Caller& caller, request_body<Caller>& body)
        : pool{pool}, id{id}, where{where}, orders{std::move(orders)}, caller{caller}, body{body}
    {}

    boost::asio::awaitable<steering::attempt_result> run()
    {
        this->connection = this->pool.take_idle(this->where.where);
        const bool is_open = this->connection != nullptr;
        if (!is_open) {
            this->connection = this->pool.make(this->where.where, this->where.connections);
        }
        if (!this->connection) {
            co_return this->failed();
        }
        const auto stop = [this] {
            this->connection->close();
            if (this->result.answer_started) {
                this->caller.cut_answer();
            }
        };
        const try_guard guard{this->connection->socket.get_executor(), this->orders,
                              this->where.deadline, stop};
        bool good = true;
        if (!is_open) {
            good = co_await this->connect();
        }
        if (good) {
            good = co_await this->exchange();
        }
        if (!good) {
            co_return this->failed();
        }
        this->keep_connection();
        co_return this->result;
    }

private:
    static constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;
    static constexpr std::uint32_t header_limit = 32 * 1024;
    static constexpr std::chrono::seconds connect_limit{1};

    boost::asio::awaitable<bool> exchange()
    {
        bool good = co_await this->send_request();
        if (good) {
            good = co_await this->read_head();
        }
        if (good && !this->is_not_run()) {
            co_return co_await this->relay_answer();
        }
        co_return false;
    }

    auto into(boost::system::error_code& error)
    {
        return boost::asio::redirect_error(boost::asio::use_awaitable, error);
    }

    steering::attempt_result failed()
    {
        if (this->connection) {
            this->connection->close();
        }
        this->result.id = this->id;
        if (this->result.outcome != steering::attempt_outcome::not_run) {
            this->result.outcome = outcome_of_failure(this->orders->stopped(), this->sent);
        }
        return this->result;
    }

    boost::asio::awaitable<bool> connect()
    {
        auto& socket = this->connection->socket;
        boost::asio::steady_timer limit{socket.get_executor(), connect_limit};
        limit.async_wait([weak = std::weak_ptr{this->connection}](const auto& error) {
            const auto waiting = weak.lock();
            if (!error && waiting) {
                waiting->close();
            }
        });
        boost::system::error_code error;
        co_await socket.async_connect(shell::to_asio(this->where.where), this->into(error));
        if (error || !socket.is_open()) {
            co_return false;
        }
        socket.set_option(boost::asio::ip::tcp::no_delay{true}, error);
        co_return true;
    }

    void prepare(http::request<http::buffer_body>& message)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->where.deadline -
                                                                       shell::monotonic_now());
        message.version(11);
        message.set(timeout_field, std::to_string(std::max<std::int64_t>(1, left.count())));
        message.set(request_id_field, std::to_string(this->id.value()));
        const bool known = message.find(http::field::content_length) != message.end();
        if (this->caller.has_body() && !known) {
            message.chunked(true);
        }
    }

    boost::asio::awaitable<bool> send_request()
    {
        http::request<http::buffer_body> message{this->caller.head()};
        this->prepare(message);
        http::request_serializer<http::buffer_body> serializer{message};
        bool last = false;
        while (!last) {
            const body_chunk chunk = co_await this->body.next();
            if (chunk.failed) {
                this->orders->stop(stop_cause::caller_gone);
                co_return false;
            }
            last = chunk.last;
            message.body().data = chunk.bytes.empty() ? nullptr : chunk.bytes.data();
            message.body().size = chunk.bytes.size();
            message.body().more = !last;
            boost::system::error_code error;
            const std::size_t written =
                co_await http::async_write(this->connection->socket, serializer, this->into(error));
            this->sent = this->sent || written > 0;
            if (error && error != http::error::need_buffer) {
                co_return false;
            }
        }
        co_return true;
    }

    boost::asio::awaitable<bool> read_head()
    {
        this->connection->buffer.reserve(chunk_bytes);
        boost::system::error_code error;
        do {
            this->parser.emplace();
            this->parser->header_limit(header_limit);
            this->parser->body_limit(boost::none);
            this->parser->skip(this->caller.head().method() == http::verb::head);
            co_await http::async_read_header(this->connection->socket, this->connection->buffer,
                                             *this->parser, this->into(error));
        } while (!error && http::to_status_class(this->parser->get().result()) ==
                               http::status_class::informational);
        // The end of an answer without a length can't be told from a broken connection.
        co_return !error && (this->parser->is_done() || !this->parser->need_eof());
    }

    // Whether the target says that it did not run the request.
    bool is_not_run()
    {
        const auto& head = this->parser->get();
        const auto status = head.result();
        this->result.shed = status == http::status::service_unavailable ||
                            status == http::status::too_many_requests;
        if (const auto wait = whole_number(head[http::field::retry_after])) {
            constexpr std::uint64_t most_s = 3600;
            this->result.retry_after = std::chrono::seconds{std::min(*wait, most_s)};
        }
        if (head[not_run_field] != "1") {
            return false;
        }
        this->result.outcome = steering::attempt_outcome::not_run;
        return true;
    }

    // Reads the next part of the answer's body.
    boost::asio::awaitable<body_chunk> read_part()
    {
        body_chunk out;
        boost::system::error_code error;
        while (!this->parser->is_done() && out.bytes.empty() && !error) {
            auto& into_body = this->parser->get().body();
            into_body.data = this->chunk.data();
            into_body.size = this->chunk.size();
            co_await http::async_read_some(this->connection->socket, this->connection->buffer,
                                           *this->parser, this->into(error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            out.bytes = std::span{this->chunk}.first(this->chunk.size() - into_body.size);
        }
        out.failed = static_cast<bool>(error);
        out.last = this->parser->is_done();
        co_return out;
    }

    boost::asio::awaitable<bool> relay_answer()
    {
        const body_chunk first = co_await this->read_part();
        answer_start start{this->parser->get().base(), std::nullopt, first};
        if (start.first.failed) {
            co_return false;
        }
        if (const auto length = this->parser->content_length()) {
            start.length = *length;
        }
        strip_answer_fields(start.head);
        this->result.answer_started = true;
        bool last = start.first.last;
        bool taken = co_await this->caller.begin_answer(start);
        while (taken && !last) {
            const body_chunk next = co_await this->read_part();
            if (next.failed) {
                co_return false;
            }
            last = next.last;
            taken = co_await this->caller.continue_answer(next);
        }
        if (!taken && !this->orders->stopped()) {
            this->orders->stop(stop_cause::caller_gone);
        }
        co_return taken;
    }

    // Bytes behind the end of the answer belong to no request: that connection is dropped.
    void keep_connection()
    {
        this->result.id = this->id;
        this->result.outcome = steering::attempt_outcome::answered;
        const bool reusable = this->parser->keep_alive() && this->connection->buffer.size() == 0 &&
                              !this->orders->stopped();
        if (reusable) {
            this->pool.give_back(std::move(this->connection), shell::monotonic_now());
        }
        else {
            this->connection->close();
        }
    }

    target_pool& pool;
    request_id id;
    const target_order& where;
    std::shared_ptr<request_orders> orders;
    Caller& caller;
    request_body<Caller>& body;
    std::shared_ptr<target_connection> connection;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<std::uint8_t, chunk_bytes> chunk{};
    steering::attempt_result result{};
    bool sent{};
};

} // namespace bth::entry
