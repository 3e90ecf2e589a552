#include "bth/shell/internal/peer_connection.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bth::shell::internal {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds hello_limit{5};
// Hosts hold dozens of connections; frames are mostly far smaller.
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr std::size_t write_batch_bytes = std::size_t{256} * 1024;
constexpr int probe_idle_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 3;
// A connection that went silent is replaced within the time in which leases of its owner run out.
constexpr int unacknowledged_limit_ms = 2000;

// A peer that fell silent without closing is found by the kernel's probes.
void set_options(asio::ip::tcp::socket& socket)
{
    const auto set = [&](int level, int option, int value) {
        ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, bool dialled,
                                 std::size_t queue_limit,
                                 std::shared_ptr<receive_budget> frame_memory, hooks on)
    : socket{std::move(socket)}, hello_timer{this->socket.get_executor()},
      frame_memory{std::move(frame_memory)}, memory{*this->frame_memory},
      queue_limit{queue_limit}, on{std::move(on)}, dialled{dialled}
{
    set_options(this->socket);
}

void peer_connection::start(const std::string& own_name, incarnation own_life)
{
    this->urgent.push_back(wire::encode_hello(own_name, own_life));
    this->queued += this->urgent.back().size();
    this->expect_hello();
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this()] { return self->read_all(); },
        asio::detached);
    this->flush();
}

bool peer_connection::send(wire::frame_kind kind, wire::byte_view payload)
{
    if (this->is_closed || this->queued + payload.size() > this->queue_limit) {
        return false;
    }
    auto& queue = kind == wire::frame_kind::stream ? this->streams : this->urgent;
    queue.push_back(wire::encode_frame(kind, payload));
    this->queued += queue.back().size();
    this->flush();
    return true;
}

void peer_connection::close(const std::string& reason)
{
    if (std::exchange(this->is_closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->hello_timer.cancel();
    this->on.closed(shared_from_this(), reason);
}

void peer_connection::expect_hello()
{
    this->hello_timer.expires_after(hello_limit);
    this->hello_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->greeted) {
                self->close("no hello came in time");
            }
        });
}

asio::awaitable<void> peer_connection::read_all()
{
    std::vector<std::uint8_t> buffer(read_buffer_bytes);
    while (!this->is_closed) {
        boost::system::error_code error;
        const std::size_t size = co_await this->socket.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            this->close(error.message());
            co_return;
        }
        this->reader.append({buffer.data(), size});
        bool more = true;
        while (more && !this->is_closed) {
            const auto next = this->reader.next();
            if (!next) {
                this->close("refused frame: " + std::string{wire::to_string(next.error())});
                co_return;
            }
            more = next->has_value();
            if (more && !this->take(**next)) {
                this->close("refused frame: payload");
            }
        }
        if (!this->memory.grow_to(this->reader.held_bytes()) && !this->is_closed) {
            this->close("refused frame: the frames of all peers take too much memory");
        }
    }
}

bool peer_connection::take(const wire::frame& next)
{
    if (this->greeted) {
        return next.kind != wire::frame_kind::hello && this->on.received(shared_from_this(), next);
    }
    if (next.kind != wire::frame_kind::hello || next.sender.empty()) {
        return false;
    }
    this->greeted = true;
    this->reader.set_max_bytes(wire::max_frame_bytes);
    this->name = next.sender;
    this->life = next.life;
    this->hello_timer.cancel();
    return this->on.greeted(shared_from_this());
}

void peer_connection::flush()
{
    if (!this->writing.empty() || this->is_closed) {
        return;
    }
    std::size_t batch = 0;
    for (auto* queue : {&this->urgent, &this->streams}) {
        while (!queue->empty() && batch < write_batch_bytes) {
            batch += queue->front().size();
            this->writing.push_back(std::move(queue->front()));
            queue->pop_front();
        }
    }
    if (this->writing.empty()) {
        return;
    }
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(this->writing.size());
    for (const wire::bytes& each : this->writing) {
        buffers.emplace_back(asio::buffer(each));
    }
    asio::async_write(
        this->socket, buffers,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t written) {
            self->queued -= written;
            self->writing.clear();
            if (error) {
                self->close(error.message());
                return;
            }
            self->flush();
        });
}

} // namespace bth::shell::internal
