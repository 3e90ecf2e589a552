#include "bth/gateway/caller_listener.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::gateway {

namespace {

namespace asio = boost::asio;

// Rows of closed sessions are cleared whenever so many have been accepted.
constexpr std::size_t clear_every = 256;

} // namespace

caller_listener::caller_listener(asio::ip::tcp::acceptor acceptor, std::shared_ptr<gateway> path)
    : acceptor{std::move(acceptor)}, path{std::move(path)}
{}

void caller_listener::start()
{
    asio::co_spawn(
        this->acceptor.get_executor(), [self = shared_from_this()] { return self->accept_all(); },
        asio::detached);
}

void caller_listener::stop_accepting()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void caller_listener::close_idle()
{
    for (const auto& each : this->sessions) {
        if (const auto live = each.lock()) {
            live->close_if_idle();
        }
    }
}

asio::awaitable<void> caller_listener::accept_all()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, error);
        if (this->sessions.size() >= clear_every) {
            std::erase_if(this->sessions, [](const auto& each) { return each.expired(); });
        }
        const auto made = std::make_shared<caller_session>(std::move(socket), this->path);
        this->sessions.push_back(made);
        made->start();
    }
}

} // namespace bth::gateway
