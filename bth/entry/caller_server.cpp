#include "bth/entry/caller_server.h"

#include "bth/entry/caller_session.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::entry {

namespace {

namespace asio = boost::asio;

// The delay before the next accept after one that failed, for example as the process has no file
// descriptors left.
constexpr std::chrono::milliseconds accept_retry_delay{10};

} // namespace

void caller_server::start(asio::ip::tcp::acceptor listener)
{
    this->acceptor = std::make_unique<asio::ip::tcp::acceptor>(std::move(listener));
    asio::co_spawn(
        this->services.executor, [self = shared_from_this()] { return self->accept_connections(); },
        asio::detached);
}

void caller_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
    const auto open_sessions = this->sessions;
    for (caller_session* each : open_sessions) {
        each->close_idle();
    }
}

asio::awaitable<void> caller_server::accept_connections()
{
    while (this->acceptor->is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            asio::steady_timer pause{this->services.executor, accept_retry_delay};
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, error);
        const bool has_capacity = this->sessions.size() < this->limits.connections;
        const auto session =
            std::make_shared<caller_session>(std::move(socket), shared_from_this());
        if (has_capacity) {
            session->start();
        }
        else {
            session->start_refused();
        }
    }
}

} // namespace bth::entry
