// One attempt to serve a request at a target, on a connection that no other request uses until the
// response has ended.
//
//   target_attempt<caller_session> attempt{pool, id, destination, commands, caller, body};
//   steering::attempt_result result = co_await attempt.run();
#pragma once

#include "bth/entry/attempt_guard.h"
#include "bth/entry/request_body.h"
#include "bth/entry/target_pool.h"
#include "bth/shell/response_head.h"

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
class target_attempt {
public:
    target_attempt(target_connection_pool& pool, request_id id,
                   const target_attempt_command& destination,
                   std::shared_ptr<request_commands> commands, Caller& caller,
                   request_body<Caller>& body)
        : pool{pool}, id{id},
          destination{destination}, commands{std::move(commands)}, caller{caller}, body{body}
    {}

    // Sends the request and relays the response to the caller. Returns how the attempt ended; the
    // deadline of `destination` and request_commands::stop end it early.
    boost::asio::awaitable<steering::attempt_result> run()
    {
        this->connection = this->pool.take_idle(this->destination.where);
        const bool reused = this->connection != nullptr;
        if (!reused) {
            this->connection =
                this->pool.make_connection(this->destination.where, this->destination.connections);
        }
        if (!this->connection) {
            co_return this->failed_result();
        }
        const auto stop = [this] {
            this->connection->abort();
            if (this->result.answer_started) {
                this->caller.abort_response();
            }
        };
        const attempt_guard guard{this->connection->socket.get_executor(), this->commands,
                                  this->destination.deadline, stop};
        bool ok = true;
        if (!reused) {
            ok = co_await this->connect();
        }
        if (ok) {
            ok = co_await this->exchange();
        }
        if (!ok) {
            co_return this->failed_result();
        }
        this->release_connection();
        co_return this->result;
    }

private:
    static constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;
    static constexpr std::uint32_t max_header_bytes = 32 * 1024;
    static constexpr std::chrono::seconds connect_timeout{1};

    // Sends the request and relays the response. Returns false if either failed or the target did
    // not run the request.
    boost::asio::awaitable<bool> exchange()
    {
        bool ok = co_await this->send_request();
        if (ok) {
            ok = co_await this->read_head();
        }
        if (ok && !this->check_not_run()) {
            co_return co_await this->relay_response();
        }
        co_return false;
    }

    auto redirect_to(boost::system::error_code& error)
    {
        return boost::asio::redirect_error(boost::asio::use_awaitable, error);
    }

    steering::attempt_result failed_result()
    {
        if (this->connection) {
            this->connection->abort();
        }
        this->result.id = this->id;
        if (this->result.outcome != steering::attempt_outcome::not_run) {
            this->result.outcome =
                outcome_of_failed_attempt(this->commands->stopped(), this->may_have_been_sent);
        }
        return this->result;
    }

    boost::asio::awaitable<bool> connect()
    {
        auto& socket = this->connection->socket;
        boost::asio::steady_timer timer{socket.get_executor(), connect_timeout};
        timer.async_wait([weak = std::weak_ptr{this->connection}](const auto& error) {
            const auto unconnected = weak.lock();
            if (!error && unconnected) {
                unconnected->close();
            }
        });
        boost::system::error_code error;
        co_await socket.async_connect(shell::to_asio(this->destination.where),
                                      this->redirect_to(error));
        if (error || !socket.is_open()) {
            co_return false;
        }
        socket.set_option(boost::asio::ip::tcp::no_delay{true}, error);
        co_return true;
    }

    // Sets the header fields for the remaining time and the request id, and chunked encoding for a
    // body of unknown length.
    void prepare(http::request<http::buffer_body>& message)
    {
        const auto remaining_time = std::chrono::ceil<std::chrono::milliseconds>(
            this->destination.deadline - shell::monotonic_now());
        message.version(11);
        message.set(timeout_field,
                    std::to_string(std::max<std::int64_t>(1, remaining_time.count())));
        message.set(request_id_field, std::to_string(this->id.value()));
        const bool has_length = message.find(http::field::content_length) != message.end();
        if (this->caller.has_body() && !has_length) {
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
                this->commands->stop(stop_cause::caller_disconnected);
                co_return false;
            }
            last = chunk.last;
            message.body().data = chunk.bytes.empty() ? nullptr : chunk.bytes.data();
            message.body().size = chunk.bytes.size();
            message.body().more = !last;
            boost::system::error_code error;
            const std::size_t written = co_await http::async_write(
                this->connection->socket, serializer, this->redirect_to(error));
            this->may_have_been_sent = this->may_have_been_sent || written > 0;
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
        bool is_final = false;
        for (int interim = 0; !error && !is_final && interim <= shell::max_interim_responses;
             ++interim) {
            this->parser.emplace();
            this->parser->header_limit(max_header_bytes);
            this->parser->body_limit(boost::none);
            this->parser->skip(this->caller.head().method() == http::verb::head);
            error = co_await shell::read_response_head(this->connection->socket,
                                                       this->connection->buffer, *this->parser);
            is_final = !error && !shell::is_interim(this->parser->get().base());
        }
        // Rejects a response that only the end of the connection delimits: its end can't be
        // distinguished from a broken connection.
        co_return is_final && (this->parser->is_done() || !this->parser->need_eof());
    }

    // Records in the result whether the response status signals overload, and the Retry-After time.
    // Returns whether the target states that it did not run the request.
    bool check_not_run()
    {
        const auto& head = this->parser->get();
        const auto status = head.result();
        this->result.shed = status == http::status::service_unavailable ||
                            status == http::status::too_many_requests;
        if (const auto retry_after_s = parse_whole_number(head[http::field::retry_after])) {
            constexpr std::uint64_t max_retry_after_s = 3600;
            this->result.retry_after =
                std::chrono::seconds{std::min(*retry_after_s, max_retry_after_s)};
        }
        if (head[not_run_field] != "1") {
            return false;
        }
        this->result.outcome = steering::attempt_outcome::not_run;
        return true;
    }

    // Reads the next chunk of the response body.
    boost::asio::awaitable<body_chunk> read_chunk()
    {
        body_chunk out;
        boost::system::error_code error;
        while (!this->parser->is_done() && out.bytes.empty() && !error) {
            auto& body_buffer = this->parser->get().body();
            body_buffer.data = this->chunk.data();
            body_buffer.size = this->chunk.size();
            co_await http::async_read_some(this->connection->socket, this->connection->buffer,
                                           *this->parser, this->redirect_to(error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            out.bytes = std::span{this->chunk}.first(this->chunk.size() - body_buffer.size);
        }
        out.failed = static_cast<bool>(error);
        out.last = this->parser->is_done();
        co_return out;
    }

    boost::asio::awaitable<bool> relay_response()
    {
        // The parser adds the fields behind the last chunk to the head.
        response_head head = this->parser->get().base();
        const body_chunk first = co_await this->read_chunk();
        response_start start{std::move(head), std::nullopt, first};
        if (start.first.failed) {
            co_return false;
        }
        if (const auto length = this->parser->content_length()) {
            start.length = *length;
        }
        strip_response_fields(start.head);
        this->result.answer_started = true;
        bool last = start.first.last;
        bool delivered = co_await this->caller.begin_response(start);
        while (delivered && !last) {
            const body_chunk next = co_await this->read_chunk();
            if (next.failed) {
                co_return false;
            }
            last = next.last;
            delivered = co_await this->caller.send_response_chunk(next);
        }
        if (!delivered && !this->commands->stopped()) {
            this->commands->stop(stop_cause::caller_disconnected);
        }
        co_return delivered;
    }

    // Returns the connection to the pool. Closes it if it can't be reused, such as when bytes
    // follow the end of the response: they belong to no request. A response doesn't name its
    // request, so a refusal that the target writes once more would answer the next one; a
    // connection that has carried a refusal isn't reused.
    void release_connection()
    {
        this->result.id = this->id;
        this->result.outcome = steering::attempt_outcome::answered;
        const bool reusable = this->parser->keep_alive() && this->connection->buffer.size() == 0 &&
                              !this->commands->stopped() && !this->result.shed;
        if (reusable) {
            this->pool.release(std::move(this->connection), shell::monotonic_now());
        }
        else {
            this->connection->close();
        }
    }

    target_connection_pool& pool;
    request_id id;
    const target_attempt_command& destination;
    std::shared_ptr<request_commands> commands;
    Caller& caller;
    request_body<Caller>& body;
    std::shared_ptr<target_connection> connection;
    std::optional<http::response_parser<http::buffer_body>> parser;
    // Holds the response body chunk that was read last.
    std::array<std::uint8_t, chunk_bytes> chunk{};
    steering::attempt_result result{};
    bool may_have_been_sent{};
};

} // namespace bth::entry
