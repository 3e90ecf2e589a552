#include "bth/gateway/request_forwarder.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports false mismatches of new and delete for the coroutine frames that Asio allocates
// when it inlines their allocation.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

namespace asio = boost::asio;

// Silence after which a host with pending requests is pinged; most requests end sooner.
constexpr std::chrono::milliseconds ping_after_silence{350};
// Time for the reply to a ping. A reply takes a few milliseconds inside a region; a host that is
// starved of CPU time takes longer.
constexpr std::chrono::milliseconds ping_timeout{350};
constexpr std::chrono::milliseconds peer_check_interval{100};
// Interval of pings to an unresponsive host; two per second detect its recovery soon enough.
constexpr std::chrono::milliseconds reping_interval{500};
// A host of the same region accepts a connection within a few milliseconds, unless it is starved of
// CPU time. A request that waits longer is better sent to another target.
constexpr std::chrono::milliseconds connect_timeout{150};
// Time for which a host that couldn't be connected is unusable. Control hosts report a host that is
// gone for about as long.
constexpr std::chrono::milliseconds unreachable_time{2000};

// Bounds the memory of small requests. Several times what a host has in flight for its own callers.
constexpr std::size_t max_served_requests = 4096;

std::string_view name_of(forward_end why)
{
    switch (why) {
    case forward_end::replied:
        return "replied";
    case forward_end::cancelled:
        return "cancelled";
    case forward_end::peer_lost:
        return "peer_lost";
    case forward_end::peer_silent:
        return "peer_silent";
    }
    return "unknown";
}

} // namespace

request_forwarder::request_forwarder(asio::io_context& context,
                                     std::shared_ptr<shell::peer_link> link, use_handler use_host,
                                     shell::event_log& events, gateway_metrics& metrics,
                                     request_handler serve)
    : context{&context}, link{std::move(link)}, use_host{std::move(use_host)}, events{&events},
      metrics{&metrics}, serve{std::move(serve)}, timer{context}
{}

void request_forwarder::start()
{
    this->link->on_frame(wire::frame_kind::stream,
                         [self = shared_from_this()](const auto& from, auto payload) {
                             return self->receive(from, payload);
                         });
    this->link->on_change(
        [self = shared_from_this()](const auto& peer, bool connected, std::string_view) {
            self->update_peer(peer, connected);
        });
    asio::co_spawn(
        *this->context, [self = shared_from_this()] { return self->monitor_peers(); },
        asio::detached);
}

void request_forwarder::stop()
{
    this->stopping = true;
    this->timer.cancel();
}

bool request_forwarder::is_usable(const std::string& host) const
{
    const auto peer = this->peers.find(host);
    if (peer != this->peers.end() && this->link->connected(host)) {
        return !peer->second.unresponsive;
    }
    const auto failed = this->unreachable_since.find(host);
    return failed == this->unreachable_since.end() ||
           shell::monotonic_now() - failed->second > unreachable_time;
}

asio::awaitable<bool> request_forwarder::connect(std::string host)
{
    const auto self = shared_from_this();
    this->use_host(host);
    if (this->link->connected(host)) {
        co_return true;
    }
    const auto limit = std::make_shared<asio::steady_timer>(*this->context);
    limit->expires_after(connect_timeout);
    const auto waiting = this->connecting.emplace(host, limit);
    boost::system::error_code error;
    co_await limit->async_wait(asio::redirect_error(asio::use_awaitable, error));
    this->connecting.erase(waiting);
    const bool connected = this->link->connected(host);
    if (!connected) {
        this->unreachable_since[host] = shell::monotonic_now();
        this->events->write(shell::event{"owner_unreachable"}.with("host", host));
    }
    co_return connected;
}

bool request_forwarder::send(const std::string& to, const handoff_message& message)
{
    const auto bytes = encode_handoff(message);
    return this->link->send(to, wire::frame_kind::stream,
                            {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

asio::awaitable<request_forwarder::forward_reply>
request_forwarder::forward(std::string host, handoff_request request,
                           std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    request.id = this->next_id++;
    const auto id = request.id;
    const auto entry = std::make_shared<pending_forward>(*this->context);
    entry->host = host;
    entry->request_id = request.request_id;
    entry->at_most_once = request.at_most_once;
    const handoff_message message{std::move(request)};
    const bool connected = co_await this->connect(host);
    if (!connected || control->aborted() || !this->send(host, message)) {
        co_return forward_reply{};
    }
    entry->sent_at = shell::monotonic_now();
    entry->timer.expires_at(std::chrono::steady_clock::time_point::max());
    this->pending.emplace(id, entry);
    control->close = [this, id] {
        this->cancel(id);
    };
    boost::system::error_code error;
    co_await entry->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    control->close = nullptr;
    if (entry->outcome) {
        co_return forward_reply{std::move(entry->outcome), entry->tells_of_target, nullptr};
    }
    const auto why = entry->end.value_or(forward_end::peer_silent);
    this->metrics->count_forward_given_up(name_of(why));
    this->events->write(shell::event{"forward_given_up"}
                            .with("request", entry->request_id)
                            .with("host", host)
                            .with("why", name_of(why))
                            .with("waited_ms", shell::monotonic_now() - entry->sent_at));
    // The other host may have sent the request.
    forward_reply out;
    out.outcome.emplace();
    out.outcome->id = id;
    out.outcome->result = unanswered_result(*control, true);
    if (!entry->end) {
        out.late = std::make_shared<late_reply>(weak_from_this(), id, entry);
    }
    co_return out;
}

void request_forwarder::end_wait(std::uint64_t id, forward_end why)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    const auto entry = found->second;
    this->pending.erase(found);
    entry->end = why;
    entry->timer.cancel();
    if (entry->on_end) {
        entry->on_end();
    }
}

void request_forwarder::cancel(std::uint64_t id)
{
    const auto found = this->pending.find(id);
    if (found != this->pending.end()) {
        this->send(found->second->host, handoff_cancel{id});
        this->end_wait(id, forward_end::cancelled);
    }
}

request_forwarder::late_reply::late_reply(std::weak_ptr<request_forwarder> forwarder,
                                          std::uint64_t id, std::shared_ptr<pending_forward> entry)
    : forwarder{std::move(forwarder)}, id{id}, entry{std::move(entry)}
{}

request_forwarder::late_reply::~late_reply()
{
    this->entry->on_end = nullptr;
    if (const auto owner = this->forwarder.lock()) {
        owner->cancel(this->id);
    }
}

bool request_forwarder::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    auto decoded = decode_handoff({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!decoded) {
        return false;
    }
    auto& peer = this->peers[from.name];
    peer.last_received = shell::monotonic_now();
    this->use_host(from.name);
    if (std::exchange(peer.unresponsive, false)) {
        this->events->write(shell::event{"owner_heard_again"}.with("host", from.name));
    }
    if (auto* request = std::get_if<handoff_request>(&*decoded)) {
        this->accept_request(from.name, std::move(*request));
    }
    else if (auto* outcome = std::get_if<handoff_outcome>(&*decoded)) {
        const auto found = this->pending.find(outcome->id);
        if (found != this->pending.end() && found->second->host == from.name) {
            found->second->tells_of_target =
                outcome->result.outcome != dispatch::send_outcome::abandoned;
            if (!found->second->tells_of_target) {
                // The other host ended the request; its caller still waits here.
                outcome->result.outcome = dispatch::send_outcome::broken;
            }
            found->second->outcome = std::move(*outcome);
            this->end_wait(found->first, forward_end::replied);
        }
        else {
            this->events->write(
                shell::event{"outcome_unclaimed"}
                    .with("host", from.name)
                    .with("answered", outcome->result.response.has_value())
                    .with("took_ms", std::chrono::duration_cast<duration>(outcome->took)));
        }
    }
    else if (const auto* cancel = std::get_if<handoff_cancel>(&*decoded)) {
        const auto found = this->serving.find({from.name, cancel->id});
        if (found != this->serving.end()) {
            found->second.control->caller_disconnected = true;
            found->second.control->abort();
        }
    }
    else if (const auto* ping = std::get_if<handoff_ping>(&*decoded);
             ping != nullptr && !ping->reply) {
        this->send(from.name, handoff_ping{true});
    }
    return true;
}

void request_forwarder::accept_request(const std::string& from, handoff_request request)
{
    const auto memory = std::make_shared<shell::receive_budget::share>(this->serving_memory);
    const bool has_room = memory->grow_to(request.request_bytes.size());
    if (!has_room || this->serving.size() >= max_served_requests) {
        this->events->write(shell::event{"forwarded_declined"}
                                .with("request", request.request_id)
                                .with("host", from)
                                .with("served", this->serving.size())
                                .with("held_bytes", this->serving_memory.bytes()));
        handoff_outcome declined;
        declined.id = request.id;
        declined.declined = decline_reason::full;
        this->send(from, handoff_message{std::move(declined)});
        return;
    }
    const auto shared_request = std::make_shared<const handoff_request>(std::move(request));
    const auto control = std::make_shared<send_control>();
    this->serving[{from, shared_request->id}] = {control, memory, shared_request->request_id,
                                                 shell::monotonic_now()};
    asio::co_spawn(
        *this->context,
        [self = shared_from_this(), from, shared_request, control] {
            return self->serve_request(from, shared_request, control);
        },
        asio::detached);
}

asio::awaitable<void>
request_forwarder::serve_request(std::string from, std::shared_ptr<const handoff_request> request,
                                 std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    auto outcome = co_await this->serve(request, control);
    outcome.id = request->id;
    this->serving.erase({from, request->id});
    this->send(from, handoff_message{std::move(outcome)});
}

void request_forwarder::update_peer(const shell::peer_identity& peer, bool connected)
{
    if (connected) {
        this->peers[peer.name] = {shell::monotonic_now(), {}, false};
        this->unreachable_since.erase(peer.name);
        const auto [first, last] = this->connecting.equal_range(peer.name);
        std::for_each(first, last, [](const auto& waiting) { waiting.second->cancel(); });
        return;
    }
    if (this->link->connected(peer.name)) {
        // The host has another connection, so that it has lost none of the requests that it
        // received, and replies over that one. It may have missed those that were sent last.
        this->release_pending(peer.name);
        return;
    }
    this->peers.erase(peer.name);
    this->fail_pending(peer.name);
    // The disconnected host can't receive the outcomes of the requests that it forwarded.
    for (const auto& [key, served] : this->serving) {
        if (key.first == peer.name) {
            this->events->write(shell::event{"forwarded_cut"}
                                    .with("request", served.request_id)
                                    .with("host", peer.name)
                                    .with("age_ms", shell::monotonic_now() - served.accepted_at));
            served.control->caller_disconnected = true;
            served.control->abort();
        }
    }
}

void request_forwarder::fail_pending(const std::string& host)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : this->pending) {
        if (entry->host == host) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        this->end_wait(id, forward_end::peer_lost);
    }
    if (!ids.empty()) {
        this->events->write(
            shell::event{"owner_lost"}.with("host", host).with("requests", ids.size()));
    }
}

void request_forwarder::release_pending(const std::string& host)
{
    for (const auto& [id, entry] : this->pending) {
        if (entry->host == host && !entry->at_most_once) {
            entry->timer.cancel();
        }
    }
}

// An unresponsive host gets no requests and so would send no reply that marks it as responsive.
void request_forwarder::ping_unresponsive_peers(time_point now)
{
    std::vector<std::string> hosts_to_ping;
    for (auto& [host, peer] : this->peers) {
        if (peer.unresponsive && now - peer.last_ping >= reping_interval) {
            peer.last_ping = now;
            hosts_to_ping.push_back(host);
        }
    }
    for (const auto& host : hosts_to_ping) {
        this->send(host, handoff_ping{false});
    }
}

asio::awaitable<void> request_forwarder::monitor_peers()
{
    const auto self = shared_from_this();
    while (!this->stopping) {
        const auto now = shell::monotonic_now();
        std::map<std::string, time_point> oldest_sent_at;
        for (const auto& [id, entry] : this->pending) {
            const auto peer = oldest_sent_at.try_emplace(entry->host, entry->sent_at).first;
            peer->second = std::min(peer->second, entry->sent_at);
        }
        for (const auto& [host, sent_at] : oldest_sent_at) {
            auto& peer = this->peers[host];
            const auto silent_since = std::max(peer.last_received, sent_at);
            if (now - silent_since < ping_after_silence) {
                continue;
            }
            if (peer.last_ping <= silent_since) {
                peer.last_ping = now;
                this->send(host, handoff_ping{false});
            }
            else if (now - peer.last_ping >= ping_timeout && !peer.unresponsive) {
                peer.unresponsive = true;
                this->events->write(shell::event{"owner_silent"}
                                        .with("host", host)
                                        .with("heard_age_ms", now - peer.last_received),
                                    shell::event_weight::essential);
                this->release_pending(host);
            }
        }
        this->ping_unresponsive_peers(now);
        boost::system::error_code error;
        this->timer.expires_after(peer_check_interval);
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace bth::gateway
