// Accepts the connections of callers and closes them when the host stops.
//
//   auto listener = std::make_shared<caller_listener>(std::move(acceptor), request_gateway);
//   listener->start();
//   listener->stop_accepting();
//   listener->finish_connections();
#pragma once

#include "bth/gateway/caller_session.h"

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bth::gateway {

class caller_listener : public std::enable_shared_from_this<caller_listener> {
public:
    caller_listener(boost::asio::ip::tcp::acceptor acceptor,
                    std::shared_ptr<gateway> request_gateway);

    void start();
    // Stops accepting connections; open connections stay open.
    void stop_accepting();
    // Lets each connection end with the requests that were read from it; see
    // caller_session::finish(). Call repeatedly until no connection is left.
    void finish_connections();
    // Closes all connections, whatever is in flight, since the process exits.
    void cut();

private:
    boost::asio::awaitable<void> accept_connections();

    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<gateway> request_gateway;
    std::vector<std::weak_ptr<caller_session>> sessions;
};

} // namespace bth::gateway
