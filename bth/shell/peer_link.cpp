#include "bth/shell/peer_link.h"

#include "bth/shell/internal/peer_connection.h"
#include "bth/shell/log.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <xxhash.h>

namespace bth::shell {

namespace {

namespace asio = boost::asio;
using internal::peer_connection;

constexpr std::chrono::milliseconds least_back_off{50};
// A healed cut must be found well before the second in which a host is missed.
constexpr std::chrono::milliseconds most_back_off{500};
constexpr std::chrono::milliseconds larger_name_delay{1000};
// Several round trips between the farthest regions. An opening packet that is lost, or that reaches
// a host before it listens or has power, is sent again after a second; a new try is faster.
constexpr std::chrono::milliseconds connect_limit{300};
// Time for the hello of a process that has accepted a connection, which may lack processor time or
// be behind a full link. One that was cut off meanwhile is dialled again after it.
constexpr std::chrono::milliseconds greeting_limit{1000};
// Two processes that dial each other at the same time have both connections within a try to connect
// and a few round trips.
constexpr std::chrono::milliseconds simultaneous_limit{1000};
constexpr std::size_t max_unknown_connections = 1024;

// A peer to stay connected with, or one that connected by itself.
struct peer_row {
    peer_row(std::string name, const asio::any_io_executor& executor)
        : name{std::move(name)}, wake{executor}
    {}

    std::string name;
    // Where to connect; a row without it only takes what the peer itself connects.
    std::optional<endpoint> where;
    bool at_once{};
    // A connection that was dialled and whose peer hasn't said hello yet.
    std::shared_ptr<peer_connection> greeting;
    // Frames are sent over this one.
    std::shared_ptr<peer_connection> live;
    time_point live_since;
    // A connection that the other process dialled while this one did, or the other way round. The
    // peer may send over it; it takes the place of `live` when that ends.
    std::shared_ptr<peer_connection> other;
    asio::steady_timer wake;
    std::chrono::milliseconds back_off{least_back_off};
    bool dialling{};
};

// Returns whether two processes, each in the same life as before, dialled each other at the same
// time. A process that is connected doesn't dial, so that one that does so later has lost the
// present connection.
bool is_simultaneous(const peer_connection& next, const peer_row& row)
{
    return next.peer_life() == row.live->peer_life() &&
           next.was_dialled() != row.live->was_dialled() &&
           monotonic_now() - row.live_since < simultaneous_limit;
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    state(const asio::any_io_executor& executor, peer_link_settings given)
        : executor{executor}, settings{std::move(given)}, acceptor{executor},
          random{XXH3_64bits(this->settings.name.data(), this->settings.name.size()) ^
                 this->settings.life.value()}
    {}

    std::shared_ptr<peer_row> row_of(const std::string& name);
    std::shared_ptr<peer_connection> live_to(std::string_view name) const;
    bool connects_first(const std::string& peer) const { return this->settings.name < peer; }
    std::chrono::milliseconds with_jitter(std::chrono::milliseconds base);

    asio::awaitable<void> accept_all();
    asio::awaitable<void> keep_connected(std::shared_ptr<peer_row> row);
    asio::awaitable<void> dial(std::shared_ptr<peer_row> row);
    asio::awaitable<void> await_greeting(std::shared_ptr<peer_row> row);
    std::shared_ptr<peer_connection> open(asio::ip::tcp::socket socket, bool dialled,
                                          const std::string& expected_name);

    bool greeted(const std::shared_ptr<peer_connection>& connection,
                 const std::string& expected_name);
    // Makes a connection the one over which frames are sent to its peer.
    void use(const std::shared_ptr<peer_row>& row,
             const std::shared_ptr<peer_connection>& connection);
    bool received(const peer_connection& from, const wire::frame& frame);
    void closed(const std::shared_ptr<peer_connection>& connection, const std::string& reason);
    void report(const peer_connection& connection, bool connected, std::string_view reason);

    asio::any_io_executor executor;
    peer_link_settings settings;
    asio::ip::tcp::acceptor acceptor;
    std::array<frame_handler, wire::frame_kind_count> handlers;
    std::vector<peer_change_handler> change_handlers;
    std::map<std::string, std::shared_ptr<peer_row>, std::less<>> rows;
    // Connections whose peer hasn't said its name yet.
    std::vector<std::shared_ptr<peer_connection>> nameless;
    // Frames are at most 4 MiB long, so that the default limits hold several of the longest.
    std::shared_ptr<receive_budget> frame_memory{std::make_shared<receive_budget>()};
    std::mt19937_64 random;
    log4cplus::Logger log{log4cplus::Logger::getInstance("shell.peer_link")};
    bool stopped{};
};

std::shared_ptr<peer_row> peer_link::state::row_of(const std::string& name)
{
    auto& row = this->rows[name];
    if (!row) {
        row = std::make_shared<peer_row>(name, this->executor);
    }
    return row;
}

std::shared_ptr<peer_connection> peer_link::state::live_to(std::string_view name) const
{
    const auto found = this->rows.find(name);
    return found == this->rows.end() ? nullptr : found->second->live;
}

std::chrono::milliseconds peer_link::state::with_jitter(std::chrono::milliseconds base)
{
    boost::random::uniform_int_distribution<std::int64_t> extra{0, base.count() / 2};
    return base + std::chrono::milliseconds{extra(this->random)};
}

asio::awaitable<void> peer_link::state::accept_all()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error && this->nameless.size() < max_unknown_connections) {
            this->open(std::move(socket), false, {});
        }
    }
}

asio::awaitable<void> peer_link::state::keep_connected(std::shared_ptr<peer_row> row)
{
    row->dialling = true;
    std::chrono::milliseconds wait = row->at_once || this->connects_first(row->name)
                                         ? std::chrono::milliseconds{0}
                                         : larger_name_delay;
    while (!this->stopped && row->where) {
        boost::system::error_code ignored;
        if (row->live) {
            row->wake.expires_at(std::chrono::steady_clock::time_point::max());
            co_await row->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            wait = this->connects_first(row->name) ? row->back_off : larger_name_delay;
            continue;
        }
        row->wake.expires_after(this->with_jitter(wait));
        co_await row->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!row->live && row->where && !this->stopped) {
            co_await this->dial(row);
        }
        co_await this->await_greeting(row);
        wait = row->back_off;
        row->back_off = std::min(2 * row->back_off, most_back_off);
    }
    row->dialling = false;
}

// Waits until the peer has said hello on the connection that was dialled, if there is one. Dialled
// again before that, the peer would have two connections from here, and take the second one for
// the end of the first.
asio::awaitable<void> peer_link::state::await_greeting(std::shared_ptr<peer_row> row)
{
    const auto limit = std::chrono::steady_clock::now() + greeting_limit;
    while (row->greeting && row->where && !this->stopped &&
           std::chrono::steady_clock::now() < limit) {
        boost::system::error_code ignored;
        row->wake.expires_at(limit);
        co_await row->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (const auto silent = row->greeting) {
        silent->close("no hello came in time");
    }
}

asio::awaitable<void> peer_link::state::dial(std::shared_ptr<peer_row> row)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(this->executor);
    asio::steady_timer limit{this->executor, connect_limit};
    limit.async_wait([socket](const boost::system::error_code& error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    boost::system::error_code error;
    co_await socket->async_connect(to_asio(*row->where),
                                   asio::redirect_error(asio::use_awaitable, error));
    limit.cancel();
    if (!error && socket->is_open() && !this->stopped) {
        row->greeting = this->open(std::move(*socket), true, row->name);
    }
}

std::shared_ptr<peer_connection> peer_link::state::open(asio::ip::tcp::socket socket, bool dialled,
                                                        const std::string& expected_name)
{
    const std::weak_ptr<state> weak = weak_from_this();
    peer_connection::hooks hooks;
    hooks.greeted = [weak, expected_name](const std::shared_ptr<peer_connection>& connection) {
        const auto link = weak.lock();
        return link && link->greeted(connection, expected_name);
    };
    hooks.received = [weak](const std::shared_ptr<peer_connection>& connection,
                            const wire::frame& frame) {
        const auto link = weak.lock();
        return link && link->received(*connection, frame);
    };
    hooks.closed = [weak](const std::shared_ptr<peer_connection>& connection,
                          const std::string& reason) {
        if (const auto link = weak.lock()) {
            link->closed(connection, reason);
        }
    };
    auto connection =
        std::make_shared<peer_connection>(std::move(socket), dialled, this->settings.queue_bytes,
                                          this->frame_memory, std::move(hooks));
    this->nameless.push_back(connection);
    connection->start(this->settings.name, this->settings.life);
    return connection;
}

bool peer_link::state::greeted(const std::shared_ptr<peer_connection>& connection,
                               const std::string& expected_name)
{
    std::erase(this->nameless, connection);
    const std::string& name = connection->peer_name();
    if (name == this->settings.name || (!expected_name.empty() && name != expected_name)) {
        LOG4CPLUS_WARN(this->log, "A peer calls itself \"" << name << "\" in place of \""
                                                           << expected_name << "\".");
        return false;
    }
    const auto row = this->row_of(name);
    if (row->greeting == connection) {
        row->greeting = nullptr;
        row->wake.cancel();
    }
    if (row->live && is_simultaneous(*connection, *row)) {
        if (const auto old = std::exchange(row->other, connection)) {
            old->close("superseded by a newer connection");
        }
        return true;
    }
    // The process that dialled the present connection has lost it, or ended.
    if (const auto old = std::exchange(row->live, nullptr)) {
        this->report(*old, false, "superseded by a newer connection");
        old->close("superseded by a newer connection");
    }
    if (const auto old = std::exchange(row->other, nullptr)) {
        old->close("superseded by a newer connection");
    }
    this->use(row, connection);
    return true;
}

void peer_link::state::use(const std::shared_ptr<peer_row>& row,
                           const std::shared_ptr<peer_connection>& connection)
{
    row->live = connection;
    row->live_since = monotonic_now();
    row->back_off = least_back_off;
    row->wake.cancel();
    LOG4CPLUS_INFO(this->log, "Connected to " << row->name << ".");
    this->report(*connection, true, {});
}

bool peer_link::state::received(const peer_connection& from, const wire::frame& frame)
{
    const auto found = this->rows.find(from.peer_name());
    if (found == this->rows.end() ||
        (found->second->live.get() != &from && found->second->other.get() != &from)) {
        return true;
    }
    const auto& handler = this->handlers.at(static_cast<std::size_t>(frame.kind));
    if (!handler) {
        return true;
    }
    const bool taken = handler(peer_identity{from.peer_name(), from.peer_life()}, frame.payload);
    if (!taken) {
        LOG4CPLUS_WARN(this->log, "Refused a frame of kind " << static_cast<int>(frame.kind)
                                                             << " with " << frame.payload.size()
                                                             << " bytes from " << from.peer_name()
                                                             << ".");
    }
    return taken;
}

void peer_link::state::closed(const std::shared_ptr<peer_connection>& connection,
                              const std::string& reason)
{
    std::erase(this->nameless, connection);
    for (const auto& [name, row] : this->rows) {
        if (row->greeting == connection) {
            row->greeting = nullptr;
            row->wake.cancel();
        }
    }
    const auto found = this->rows.find(connection->peer_name());
    if (found == this->rows.end()) {
        return;
    }
    const auto row = found->second;
    if (row->other == connection) {
        row->other = nullptr;
        return;
    }
    if (row->live != connection) {
        return;
    }
    // The peer isn't told of this, and goes on using the other connection.
    const auto next = std::exchange(row->other, nullptr);
    row->live = next;
    row->wake.cancel();
    LOG4CPLUS_INFO(this->log, "Lost " << connection->peer_name() << ": " << reason << ".");
    this->report(*connection, false, reason);
    if (next && row->live == next) {
        this->use(row, next);
    }
    else if (!row->where && !row->live) {
        this->rows.erase(row->name);
    }
}

void peer_link::state::report(const peer_connection& connection, bool connected,
                              std::string_view reason)
{
    if (this->stopped) {
        return;
    }
    const peer_identity peer{connection.peer_name(), connection.peer_life()};
    for (const auto& handler : this->change_handlers) {
        handler(peer, connected, reason);
    }
}

peer_link::peer_link(const asio::any_io_executor& executor, peer_link_settings settings)
    : self{std::make_shared<state>(executor, std::move(settings))}
{}

peer_link::~peer_link()
{
    this->stop();
}

void peer_link::on_frame(wire::frame_kind kind, frame_handler handler)
{
    this->self->handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

void peer_link::on_change(peer_change_handler handler)
{
    this->self->change_handlers.push_back(std::move(handler));
}

tl::expected<void, std::string> peer_link::listen(const endpoint& where)
{
    auto acceptor = listen_on(this->self->executor, where);
    if (!acceptor) {
        return tl::unexpected{acceptor.error()};
    }
    this->self->acceptor = std::move(*acceptor);
    asio::co_spawn(
        this->self->executor, [link = this->self] { return link->accept_all(); }, asio::detached);
    return {};
}

void peer_link::set_peers(const std::vector<peer_address>& peers)
{
    for (const auto& [name, row] : this->self->rows) {
        row->where.reset();
    }
    for (const peer_address& each : peers) {
        if (each.name != this->self->settings.name) {
            const auto row = this->self->row_of(each.name);
            row->where = each.where;
            row->at_once = each.at_once;
        }
    }
    const auto rows = this->self->rows;
    for (const auto& [name, row] : rows) {
        if (row->where && !row->dialling) {
            row->dialling = true;
            asio::co_spawn(
                this->self->executor,
                [link = this->self, row = row] { return link->keep_connected(row); },
                asio::detached);
        }
        if (!row->where && row->live && row->dialling) {
            if (const auto other = std::exchange(row->other, nullptr)) {
                other->close("no longer a peer");
            }
            row->live->close("no longer a peer");
        }
        if (!row->where) {
            row->wake.cancel();
        }
    }
}

bool peer_link::send(std::string_view to, wire::frame_kind kind, wire::byte_view payload)
{
    const auto live = this->self->live_to(to);
    return live && payload.size() <= wire::max_payload_bytes && live->send(kind, payload);
}

bool peer_link::connected(std::string_view name) const
{
    return this->self->live_to(name) != nullptr;
}

incarnation peer_link::life() const
{
    return this->self->settings.life;
}

std::size_t peer_link::queued_bytes(std::string_view name) const
{
    const auto live = this->self->live_to(name);
    return live ? live->queued_bytes() : 0;
}

std::size_t peer_link::total_queued_bytes() const
{
    std::size_t total = 0;
    for (const auto& [name, row] : this->self->rows) {
        total += row->live ? row->live->queued_bytes() : 0;
        total += row->other ? row->other->queued_bytes() : 0;
    }
    return total;
}

void peer_link::stop()
{
    if (std::exchange(this->self->stopped, true)) {
        return;
    }
    boost::system::error_code ignored;
    this->self->acceptor.close(ignored);
    const auto rows = std::exchange(this->self->rows, {});
    for (const auto& [name, row] : rows) {
        row->where.reset();
        row->wake.cancel();
        for (auto* each : {&row->live, &row->other}) {
            if (const auto connection = std::exchange(*each, nullptr)) {
                connection->close("stopped");
            }
        }
    }
    const auto nameless = std::exchange(this->self->nameless, {});
    for (const auto& each : nameless) {
        each->close("stopped");
    }
}

} // namespace bth::shell
