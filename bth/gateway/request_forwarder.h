// Forwards requests to the senders of their targets, and serves the requests that other hosts
// forward to this one.
//
//   auto forwarder = std::make_shared<request_forwarder>(context, link, use_host, events, serve);
//   forwarder->start();
//   if (forwarder->is_usable(sender)) {
//       auto reply = co_await forwarder->forward(sender, request, control);
//   }
//
// A host is connected when the first request is forwarded to it. One that can't be connected is
// unusable for a while. A host that sends nothing while forwarded requests wait for it is pinged.
// If it doesn't reply, it is unusable until a message from it arrives. It may only lack processor
// time, so that it isn't taken for lost: a request that may run once goes on waiting for it, and
// any other one may be sent elsewhere while its reply may still come.
#pragma once

#include "bth/gateway/handoff.h"
#include "bth/gateway/metrics.h"
#include "bth/shell/event_log.h"
#include "bth/shell/peer_link.h"
#include "bth/shell/receive_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bth::gateway {

// How the wait for the reply to a forwarded request ended.
enum class forward_end : std::uint8_t {
    replied,
    // The caller left, or the deadline passed.
    cancelled,
    // The connection to the other host was lost.
    peer_lost,
    // The other host didn't answer a ping, or may have missed the request, and the request may be
    // sent elsewhere.
    peer_silent,
};

class request_forwarder : public std::enable_shared_from_this<request_forwarder> {
public:
    using request_handler = std::function<boost::asio::awaitable<handoff_outcome>(
        std::shared_ptr<const handoff_request>, std::shared_ptr<send_control>)>;

    // Called for a host to which the link is to be connected, or stay connected.
    using use_handler = std::function<void(const std::string& host)>;

    request_forwarder(boost::asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                      use_handler use_host, shell::event_log& events, gateway_metrics& metrics,
                      request_handler serve);

    void start();
    void stop();

    // Returns whether requests may be forwarded to a host: it is responsive if it is connected, and
    // no attempt to connect to it failed lately.
    bool is_usable(const std::string& host) const;

    class late_reply;
    struct forward_reply {
        // The other host's reply. Empty if the request could not be sent to the host, so that it
        // has not run. If the request was cancelled, or the host is lost or silent, it states that
        // the request may have run.
        std::optional<handoff_outcome> outcome;
        // Whether the outcome tells how the target did: it doesn't if the host is lost or silent,
        // or ended the request itself.
        bool tells_of_target{};
        // Set if the host is silent, so that its reply may still come.
        std::shared_ptr<late_reply> late;
    };

    // Forwards a request and waits for the other host's reply, or until the request is cancelled by
    // `control`.
    boost::asio::awaitable<forward_reply> forward(std::string host, handoff_request request,
                                                  std::shared_ptr<send_control> control);

    // Returns the number of requests in flight that other hosts forwarded to this one.
    std::size_t forwarded_in_flight() const { return this->serving.size(); }

private:
    // A request of this host that waits for the other host's reply.
    struct pending_forward {
        explicit pending_forward(boost::asio::io_context& context) : timer{context} {}

        std::string host;
        std::string request_id;
        bool at_most_once{};
        time_point sent_at;
        // Never expires; cancelled when the outcome has arrived or the wait is given up.
        boost::asio::steady_timer timer;
        std::optional<handoff_outcome> outcome;
        bool tells_of_target{};
        // Empty while the outcome may still arrive.
        std::optional<forward_end> end;
        // Called when a late outcome has arrived, or none can arrive any more.
        std::function<void()> on_end;
    };
    // A request that another host forwarded to this one.
    struct served_forward {
        std::shared_ptr<send_control> control;
        std::shared_ptr<shell::receive_budget::share> memory;
        std::string request_id;
        time_point accepted_at;
    };
    struct peer_state {
        time_point last_received;
        time_point last_ping;
        bool unresponsive{};
    };

    // Waits a moment until the host is connected. Returns whether it is.
    boost::asio::awaitable<bool> connect(std::string host);
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void accept_request(const std::string& from, handoff_request request);
    boost::asio::awaitable<void> serve_request(std::string from,
                                               std::shared_ptr<const handoff_request> request,
                                               std::shared_ptr<send_control> control);
    void update_peer(const shell::peer_identity& peer, bool connected);
    boost::asio::awaitable<void> monitor_peers();
    void ping_unresponsive_peers(time_point now);
    // Ends the wait for the reply to a request.
    void end_wait(std::uint64_t id, forward_end why);
    // Ends the wait for the reply to a request, and the request at the other host.
    void cancel(std::uint64_t id);
    // Ends the wait of all requests that were forwarded to a host which is lost.
    void fail_pending(const std::string& host);
    // Stops waiting for the replies of a host to requests that may be sent elsewhere.
    void release_pending(const std::string& host);
    bool send(const std::string& to, const handoff_message& message);

    boost::asio::io_context* context;
    std::shared_ptr<shell::peer_link> link;
    use_handler use_host;
    shell::event_log* events;
    gateway_metrics* metrics;
    request_handler serve;
    boost::asio::steady_timer timer;
    std::uint64_t next_id{1};
    std::map<std::uint64_t, std::shared_ptr<pending_forward>> pending;
    shell::receive_budget serving_memory;
    // Forwarded requests in flight here, by forwarding host and its id for the request.
    std::map<std::pair<std::string, std::uint64_t>, served_forward> serving;
    std::map<std::string, peer_state> peers;
    // The timers of the requests that wait for a connection to a host; cancelled once it is there.
    std::multimap<std::string, std::shared_ptr<boost::asio::steady_timer>> connecting;
    // When the last attempt to connect to a host failed.
    std::map<std::string, time_point> unreachable_since;
    bool stopping{};
};

// The reply of a host that was silent for a while. Its destruction cancels the request at that
// host, unless the reply has arrived.
class request_forwarder::late_reply {
public:
    late_reply(std::weak_ptr<request_forwarder> forwarder, std::uint64_t id,
               std::shared_ptr<pending_forward> entry);
    ~late_reply();
    late_reply(const late_reply&) = delete;
    late_reply& operator=(const late_reply&) = delete;
    late_reply(late_reply&&) = delete;
    late_reply& operator=(late_reply&&) = delete;

    // Returns the reply; nullopt if it hasn't arrived.
    const std::optional<handoff_outcome>& outcome() const { return this->entry->outcome; }
    // Returns whether the reply has arrived or can't arrive any more.
    bool has_ended() const { return this->entry->end.has_value(); }
    // Sets what is called when that is so; replaces the handler set before.
    void on_end(std::function<void()> handler) { this->entry->on_end = std::move(handler); }

private:
    std::weak_ptr<request_forwarder> forwarder;
    std::uint64_t id;
    std::shared_ptr<pending_forward> entry;
};

} // namespace bth::gateway
