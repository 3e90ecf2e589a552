// One HTTP connection of a caller. Pipelined requests are served concurrently and answered in the
// order of their arrival.
//
//   auto session = std::make_shared<caller_session>(std::move(socket), request_gateway);
//   session->start();
#pragma once

#include "bth/gateway/gateway.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::gateway {

// Why a connection of a caller ends.
enum class connection_end : std::uint8_t {
    caller_gone,
    idle,
    // The caller didn't close the connection after the last response.
    linger_expired,
    write_failed,
    // The process exits.
    exit,
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<gateway> request_gateway);
    ~caller_session();

    void start();
    // Serves no request but those that were read already: the response to the last of them closes
    // the connection. Without any, the connection is closed. A request that is being read, or a
    // last response that is being written, is left alone; call again to end the connection then.
    void finish();
    // Closes the connection, whatever is in flight, since the process exits.
    void cut() { this->abort_connection(connection_end::exit); }

private:
    // A request in the queue: its response is written once all earlier ones have been.
    struct pipelined_request {
        std::shared_ptr<served_request> request;
        // Empty while the request is being served.
        std::optional<caller_response> response;
        // The caller asked for the connection to be closed after this response.
        bool caller_requests_close{};
    };

    boost::asio::awaitable<void> read_requests();
    boost::asio::awaitable<void> await_capacity();
    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<bool> wait_for_disconnect();
    boost::asio::awaitable<void> serve(std::shared_ptr<pipelined_request> pipelined);
    boost::asio::awaitable<void> write_responses();
    boost::asio::awaitable<void> begin_lingering_close();
    boost::asio::awaitable<void> enforce_timeouts();
    void refuse_for_memory();
    void send_error_response(unsigned status, std::string_view reason);
    void queue_last_response(caller_response response);
    void abort_connection(connection_end why);
    void report_cut_requests(connection_end why);

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<gateway> request_gateway;
    boost::beast::flat_buffer buffer;
    std::deque<std::shared_ptr<pipelined_request>> queue;
    // Never expires; cancelled to signal that a response has been written, so that the queue has
    // capacity again.
    boost::asio::steady_timer capacity_signal;
    // Schedules the timeout checks while the connection is open, then limits how long the lingering
    // close may take.
    boost::asio::steady_timer timer;
    time_point last_activity;
    bool reading_request{};
    bool writing{};
    // No further request is served: the last response has been decided on, which may still be in
    // the queue, being written or written already.
    bool read_closed{};
    bool closed{};
};

} // namespace bth::gateway
