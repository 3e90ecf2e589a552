// One connection of a caller. Requests on it are served side by side, and answered in their order.
//
//   auto session = std::make_shared<caller_session>(std::move(socket), path);
//   session->start();
#pragma once

#include "bth/gateway/gateway.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::gateway {

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<gateway> path);
    ~caller_session();

    void start();
    // Closes the connection if no request is under way; else it closes after the last answer.
    void close_if_idle();

private:
    // A request that waits for its turn to be answered.
    struct pending {
        std::shared_ptr<served_request> request;
        std::optional<answer> made;
        bool caller_closes{};
    };

    boost::asio::awaitable<void> read_all();
    boost::asio::awaitable<bool> read_one();
    boost::asio::awaitable<bool> wait_for_end();
    boost::asio::awaitable<void> serve(std::shared_ptr<pending> one);
    boost::asio::awaitable<void> write_ready();
    boost::asio::awaitable<void> linger();
    boost::asio::awaitable<void> watch();
    void answer_bad_request(unsigned status, std::string_view reason);
    void drop();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<gateway> path;
    boost::beast::flat_buffer buffer;
    std::deque<std::shared_ptr<pending>> queue;
    boost::asio::steady_timer room;
    boost::asio::steady_timer idle_timer;
    time_point last_active;
    bool reading_request{};
    bool writing{};
    bool read_closed{};
    bool closed{};
};

} // namespace bth::gateway
