// Accepts the connections of callers, within the limit, and ends them at a graceful stop.
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

    void start(boost::asio::ip::tcp::acceptor acceptor);
    // Accepts no more and closes the connections on which nothing is under way.
    void stop();

    std::size_t connections() const { return this->sessions.size(); }

private:
    friend class caller_session;

    boost::asio::awaitable<void> accept_all();

    entry_services& services;
    caller_limits limits;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    std::set<caller_session*> sessions;
};

} // namespace bth::entry
