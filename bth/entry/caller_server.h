// Accepts HTTP connections of callers, up to a configured number, and closes them on shutdown.
//
//   auto server = std::make_shared<caller_server>(services, limits);
//   server->start(std::move(acceptor));
#pragma once

#include "bth/entry/serve.h"
#include "bth/entry/settings.h"

#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>

namespace bth::entry {

class caller_session;

class caller_server : public std::enable_shared_from_this<caller_server> {
public:
    caller_server(entry_services& services, caller_limits limits)
        : services{services}, limits{limits}
    {}

    // Starts to accept. Connections above the limit get a refusal (too_many_connections) and are
    // closed.
    void start(boost::asio::ip::tcp::acceptor acceptor);
    // Stops accepting and closes the connections that wait for a request.
    void stop();

    // The number of open connections, including those that are being refused.
    std::size_t connections() const { return this->sessions.size(); }

private:
    friend class caller_session;

    boost::asio::awaitable<void> accept_connections();

    entry_services& services;
    caller_limits limits;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    // Each session adds itself when it is made and removes itself when it is destroyed.
    std::set<caller_session*> sessions;
};

} // namespace bth::entry
