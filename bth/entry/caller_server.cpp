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

// Pause after a failed accept, such as for want of file descriptors.
constexpr std::chrono::milliseconds accept_pause{10};

} // namespace

void caller_server::start(asio::ip::tcp::acceptor from)
{
    this->acceptor = std::make_unique<asio::ip::tcp::acceptor>(std::move(from));
    asio::co_spawn(
        this->services.executor, [self = shared_from_this()] { return self->accept_all(); },
        asio::detached);
}

void caller_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
    const auto open = this->sessions;
    for (caller_session* each : open) {
        each->close_idle();
    }
}

asio::awaitable<void> caller_server::accept_all()
{
    while (this->acceptor->is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            asio::steady_timer pause{this->services.executor, accept_pause};
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, error);
        const bool has_room = this->sessions.size() < this->limits.connections;
        const auto session =
            std::make_shared<caller_session>(std::move(socket), shared_from_this());
        if (has_room) {
            session->start();
        }
        else {
            session->start_refused();
        }
    }
}

} // namespace bth::entry
