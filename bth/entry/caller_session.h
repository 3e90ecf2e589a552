// One HTTP/1.1 connection of a caller. Serves its look-ups and requests one after the other.
//
//   std::make_shared<caller_session>(std::move(socket), server)->start();
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
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_server> server);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();
    // Sends the refusal too_many_connections and closes the connection; used instead of start().
    void start_refused();
    // Closes the connection if no request is in flight on it.
    void close_idle();

    // The functions that the concept caller_side needs.
    const request_head& head() const { return this->current_head; }
    bool has_body() const { return this->body_follows; }
    boost::asio::awaitable<body_chunk> read_body();
    boost::asio::awaitable<bool> begin_response(response_start& start);
    boost::asio::awaitable<bool> send_response_chunk(const body_chunk& chunk);
    boost::asio::awaitable<bool> refuse(const refusal_command& refusal);
    void abort_response();

private:
    boost::asio::awaitable<void> run();
    // Serves one look-up or request. Like serve_head, serve_lookup and serve_request, returns
    // whether the connection may take another one.
    boost::asio::awaitable<bool> serve_one();
    // Refuses a request whose head is too large or malformed; other errors get no response. Always
    // returns false, as the connection can't be used further.
    boost::asio::awaitable<bool> handle_read_error(boost::system::error_code error);
    // Copies the head of the request from the parser and sets the members derived from it.
    void store_head();
    boost::asio::awaitable<bool> serve_head();
    boost::asio::awaitable<bool> serve_lookup(const configuration_index& configuration);
    boost::asio::awaitable<bool> serve_request(const configuration_index& configuration,
                                               service_id service, duration timeout);
    // Checks the request's idempotency key, if it has one. Returns whether the request may run;
    // otherwise sends the response to it.
    boost::asio::awaitable<bool> check_idempotency_key(const steering::arrival& request,
                                                       const request_attributes& attributes);
    // Refuses the request, or the connection, without passing it to the steering core. Returns
    // whether the connection may take another request.
    boost::asio::awaitable<bool> refuse_locally(refusal_reason reason);
    // Returns whether the response was sent.
    boost::asio::awaitable<bool> send_response(full_response response);
    // Returns whether the connection may take another request. If the body hasn't been read to its
    // end, it may not, and the caller gets time to read its response by lingering_close().
    boost::asio::awaitable<bool> finish_exchange();
    // Shuts down the sending side, then reads and drops input within limits. Closing with unread
    // input would reset the connection, and the caller could lose its response.
    boost::asio::awaitable<void> lingering_close();
    bool is_lookup(const configuration_index* configuration) const;
    // The timeout that the request asks for, or the service's default; nothing if it is malformed.
    std::optional<duration> timeout_of(const config::service& service) const;
    // Stops the request in flight when the caller disconnects.
    void watch_for_disconnect();

    std::shared_ptr<caller_server> server;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::buffer_body>> parser;
    std::optional<http::response<http::buffer_body>> response;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    // The head of the current request.
    request_head current_head;
    std::vector<std::uint8_t> chunk;
    // The commands for the request in flight.
    std::shared_ptr<request_commands> commands;
    // Set while a request with an idempotency key runs.
    std::optional<keyed_request> keyed;
    bool body_follows{};
    bool expects_continue{};
    bool keep_alive{};
    // No request is in flight.
    bool idle{true};
    // watch_for_disconnect() waits for the socket.
    bool watching{};
};

static_assert(caller_side<caller_session>);

} // namespace bth::entry
