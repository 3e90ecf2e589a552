// One HTTP/1.1 connection of a caller: look-ups and requests, one after the other.
#pragma once

#include "bth/entry/caller_server.h"
#include "bth/entry/keyed_request.h"
#include "bth/entry/request_body.h"
#include "bth/entry/serve.h"

#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

namespace bth::entry {

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_server> owner);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();
    // Refuses the connection: there are too many.
    void start_refused();
    // Closes the connection if no request is under way on it.
    void close_idle();

    // The caller side of a request.
    const request_head& head() const { return this->own_head; }
    bool has_body() const { return this->body_follows; }
    boost::asio::awaitable<body_chunk> read_body();
    boost::asio::awaitable<bool> begin_answer(response_start& start);
    boost::asio::awaitable<bool> continue_answer(const body_chunk& chunk);
    boost::asio::awaitable<bool> refuse(const refusal_order& refusal);
    void cut_answer();

private:
    boost::asio::awaitable<void> run();
    // Serves one request; false ends the connection.
    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> refuse_unread(boost::system::error_code error);
    void take_head();
    boost::asio::awaitable<bool> serve_head();
    boost::asio::awaitable<bool> serve_lookup(const site_index& site);
    boost::asio::awaitable<bool> serve_request(const site_index& site, service_id service,
                                               duration timeout);
    // Whether the request may run, as far as its idempotency key goes; if not, it gets its answer.
    boost::asio::awaitable<bool> may_run(const steering::arrival& request,
                                         const request_names& names);
    boost::asio::awaitable<bool> refuse_here(refusal_reason reason);
    boost::asio::awaitable<bool> send_whole(whole_answer answer);
    boost::asio::awaitable<bool> end_exchange();
    boost::asio::awaitable<void> linger();
    bool is_lookup(const site_index* site) const;
    std::optional<duration> timeout_of(const config::service& service) const;
    void watch_caller();

    std::shared_ptr<caller_server> owner;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::buffer_body>> parser;
    std::optional<http::response<http::buffer_body>> answer;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    request_head own_head;
    std::vector<std::uint8_t> chunk;
    // The request under way.
    std::shared_ptr<request_orders> orders;
    // Set while a request with an idempotency key runs.
    std::optional<keyed_request> keyed;
    bool body_follows{};
    bool expects_continue{};
    bool keep_alive{};
    bool idle{true};
    bool watching{};
};

static_assert(caller_side<caller_session>);

} // namespace bth::entry
