#include "bth/gateway/handoff_desk.h"

#include "bth/shell/net.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::gateway {

namespace {

namespace asio = boost::asio;

// Most requests have ended after this time; a host that said nothing for so long is asked.
constexpr std::chrono::milliseconds ask_after{350};
// The answer takes a few milliseconds inside a region; a host without processor time takes longer.
constexpr std::chrono::milliseconds silent_after{350};
constexpr std::chrono::milliseconds watch_interval{100};
// Two tries a second find a host that is back soon enough.
constexpr std::chrono::milliseconds ask_again_after{500};

} // namespace

handoff_desk::handoff_desk(asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                           shell::event_log& events, order_handler serve)
    : context{&context}, link{std::move(link)}, events{&events}, serve{std::move(serve)},
      timer{context}
{}

void handoff_desk::start()
{
    this->link->on_frame(wire::frame_kind::stream,
                         [self = shared_from_this()](const auto& from, auto payload) {
                             return self->receive(from, payload);
                         });
    this->link->on_change([self = shared_from_this()](const auto& peer, bool connected) {
        self->peer_changed(peer, connected);
    });
    asio::co_spawn(
        *this->context, [self = shared_from_this()] { return self->watch(); }, asio::detached);
}

void handoff_desk::stop()
{
    this->stopping = true;
    this->timer.cancel();
}

bool handoff_desk::is_usable(const std::string& host) const
{
    const auto row = this->hosts.find(host);
    return row != this->hosts.end() && !row->second.silent && this->link->connected(host);
}

bool handoff_desk::send(const std::string& to, const handoff_message& what)
{
    const auto bytes = encode_handoff(what);
    return this->link->send(to, wire::frame_kind::stream,
                            {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

asio::awaitable<std::optional<handoff_outcome>>
handoff_desk::hand(std::string host, handoff_order order, std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    order.id = this->next_id++;
    const auto id = order.id;
    const handoff_message message{std::move(order)};
    if (!this->send(host, message)) {
        co_return std::nullopt;
    }
    const auto mine = std::make_shared<waiter>(*this->context);
    mine->host = host;
    mine->since = shell::monotonic_now();
    mine->timer.expires_at(std::chrono::steady_clock::time_point::max());
    this->waiting.emplace(id, mine);
    control->close = [this, id, host] {
        const auto found = this->waiting.find(id);
        if (found != this->waiting.end()) {
            found->second->timer.cancel();
            this->send(host, handoff_cancel{id});
        }
    };
    if (!mine->outcome) {
        boost::system::error_code ended;
        co_await mine->timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
    }
    control->close = nullptr;
    this->waiting.erase(id);
    if (mine->outcome) {
        co_return std::move(mine->outcome);
    }
    // Given up, or the owner was lost: it may have sent the request.
    handoff_outcome unknown;
    unknown.id = id;
    unknown.result = given_up(*control, true);
    co_return unknown;
}

bool handoff_desk::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    auto got = decode_handoff({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!got) {
        return false;
    }
    auto& row = this->hosts[from.name];
    row.heard = shell::monotonic_now();
    if (std::exchange(row.silent, false)) {
        this->events->write(shell::event{"owner_heard_again"}.with("host", from.name));
    }
    if (auto* order = std::get_if<handoff_order>(&*got)) {
        this->take_order(from.name, std::move(*order));
    }
    else if (auto* outcome = std::get_if<handoff_outcome>(&*got)) {
        const auto found = this->waiting.find(outcome->id);
        if (found != this->waiting.end() && found->second->host == from.name) {
            found->second->outcome = std::move(*outcome);
            found->second->timer.cancel();
        }
    }
    else if (const auto* cancel = std::get_if<handoff_cancel>(&*got)) {
        const auto found = this->serving.find({from.name, cancel->id});
        if (found != this->serving.end()) {
            found->second->caller_gone = true;
            found->second->abort();
        }
    }
    else if (const auto* ping = std::get_if<handoff_ping>(&*got); ping != nullptr && !ping->reply) {
        this->send(from.name, handoff_ping{true});
    }
    return true;
}

void handoff_desk::take_order(const std::string& from, handoff_order order)
{
    const auto shared = std::make_shared<const handoff_order>(std::move(order));
    const auto control = std::make_shared<send_control>();
    this->serving[{from, shared->id}] = control;
    asio::co_spawn(
        *this->context,
        [self = shared_from_this(), from, shared, control] {
            return self->serve_order(from, shared, control);
        },
        asio::detached);
}

asio::awaitable<void> handoff_desk::serve_order(std::string from,
                                                std::shared_ptr<const handoff_order> order,
                                                std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    auto outcome = co_await this->serve(order, control);
    outcome.id = order->id;
    this->serving.erase({from, order->id});
    this->send(from, handoff_message{std::move(outcome)});
}

void handoff_desk::peer_changed(const shell::peer_identity& peer, bool connected)
{
    if (connected) {
        this->hosts[peer.name] = {shell::monotonic_now(), {}, false};
        return;
    }
    this->hosts.erase(peer.name);
    this->give_up(peer.name);
    // The host that handed these over can't pass on their answers.
    for (const auto& [key, control] : this->serving) {
        if (key.first == peer.name) {
            control->caller_gone = true;
            control->abort();
        }
    }
}

void handoff_desk::give_up(const std::string& host)
{
    std::size_t count = 0;
    for (const auto& [id, each] : this->waiting) {
        if (each->host == host) {
            ++count;
            each->timer.cancel();
        }
    }
    if (count > 0) {
        this->events->write(shell::event{"owner_lost"}.with("host", host).with("requests", count));
    }
}

// A host that is silent gets no orders, and so has no other reason to be heard.
void handoff_desk::ask_silent_hosts(time_point now)
{
    std::vector<std::string> due;
    for (auto& [host, row] : this->hosts) {
        if (row.silent && now - row.asked >= ask_again_after) {
            row.asked = now;
            due.push_back(host);
        }
    }
    for (const auto& host : due) {
        this->send(host, handoff_ping{false});
    }
}

asio::awaitable<void> handoff_desk::watch()
{
    const auto self = shared_from_this();
    while (!this->stopping) {
        const auto now = shell::monotonic_now();
        std::map<std::string, time_point> oldest;
        for (const auto& [id, each] : this->waiting) {
            const auto row = oldest.try_emplace(each->host, each->since).first;
            row->second = std::min(row->second, each->since);
        }
        for (const auto& [host, since] : oldest) {
            auto& row = this->hosts[host];
            const auto quiet_since = std::max(row.heard, since);
            if (now - quiet_since < ask_after) {
                continue;
            }
            if (row.asked <= quiet_since) {
                row.asked = now;
                this->send(host, handoff_ping{false});
            }
            else if (now - row.asked >= silent_after && !row.silent) {
                row.silent = true;
                this->events->write(shell::event{"owner_silent"}
                                        .with("host", host)
                                        .with("heard_age_ms", now - row.heard),
                                    shell::event_weight::essential);
                this->give_up(host);
            }
        }
        this->ask_silent_hosts(now);
        boost::system::error_code ended;
        this->timer.expires_after(watch_interval);
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
    }
}

} // namespace bth::gateway
