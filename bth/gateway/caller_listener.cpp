#include "bth/gateway/caller_listener.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::gateway {

namespace {

namespace asio = boost::asio;

// Entries of closed sessions are removed on accept once the list has this many entries.
constexpr std::size_t session_cleanup_threshold = 256;

} // namespace

caller_listener::caller_listener(asio::ip::tcp::acceptor acceptor,
                                 std::shared_ptr<gateway> request_gateway)
    : acceptor{std::move(acceptor)}, request_gateway{std::move(request_gateway)}
{}

void caller_listener::start()
{
    asio::co_spawn(
        this->acceptor.get_executor(),
        [self = shared_from_this()] { return self->accept_connections(); }, asio::detached);
}

void caller_listener::stop_accepting()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void caller_listener::finish_connections()
{
    for (const auto& weak_session : this->sessions) {
        if (const auto session = weak_session.lock()) {
            session->finish();
        }
    }
}

void caller_listener::cut()
{
    for (const auto& weak_session : this->sessions) {
        if (const auto session = weak_session.lock()) {
            session->cut();
        }
    }
}

asio::awaitable<void> caller_listener::accept_connections()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, error);
        if (this->sessions.size() >= session_cleanup_threshold) {
            std::erase_if(this->sessions,
                          [](const auto& weak_session) { return weak_session.expired(); });
        }
        const auto session =
            std::make_shared<caller_session>(std::move(socket), this->request_gateway);
        this->sessions.push_back(session);
        session->start();
    }
}

} // namespace bth::gateway
