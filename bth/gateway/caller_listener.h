// Accepts callers' connections, and closes them when the host stops.
//
//   auto listener = std::make_shared<caller_listener>(std::move(acceptor), path);
//   listener->start();
//   listener->close_idle();
#pragma once

#include "bth/gateway/caller_session.h"

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bth::gateway {

class caller_listener : public std::enable_shared_from_this<caller_listener> {
public:
    caller_listener(boost::asio::ip::tcp::acceptor acceptor, std::shared_ptr<gateway> path);

    void start();
    // Takes no new connection.
    void stop_accepting();
    // Closes the connections on which no request is under way.
    void close_idle();

private:
    boost::asio::awaitable<void> accept_all();

    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<gateway> path;
    std::vector<std::weak_ptr<caller_session>> sessions;
};

} // namespace bth::gateway
