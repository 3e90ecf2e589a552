// Hands requests to the owners of their targets, and takes those that other hosts hand to this one.
//
//   auto desk = std::make_shared<handoff_desk>(context, link, events, serve);
//   desk->start();
//   if (desk->is_usable(owner)) { auto got = co_await desk->hand(owner, order, control); }
//
// A host that doesn't answer while requests wait for it is asked whether it still runs, and is not
// usable until it is heard again.
#pragma once

#include "bth/gateway/handoff.h"
#include "bth/shell/event_log.h"
#include "bth/shell/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bth::gateway {

class handoff_desk : public std::enable_shared_from_this<handoff_desk> {
public:
    using order_handler = std::function<boost::asio::awaitable<handoff_outcome>(
        std::shared_ptr<const handoff_order>, std::shared_ptr<send_control>)>;

    handoff_desk(boost::asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                 shell::event_log& events, order_handler serve);

    void start();
    void stop();

    // Whether requests can be handed to a host.
    bool is_usable(const std::string& host) const;

    // What became of the order. Nothing if it could not be handed over, so that it has not run.
    boost::asio::awaitable<std::optional<handoff_outcome>>
    hand(std::string host, handoff_order order, std::shared_ptr<send_control> control);

    // Requests of other hosts that are under way here.
    std::size_t taken() const { return this->serving.size(); }

private:
    // An order of this host that waits for its outcome.
    struct waiter {
        explicit waiter(boost::asio::io_context& context) : timer{context} {}

        std::string host;
        time_point since;
        boost::asio::steady_timer timer;
        std::optional<handoff_outcome> outcome;
    };
    struct host_row {
        time_point heard;
        time_point asked;
        bool silent{};
    };

    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void take_order(const std::string& from, handoff_order order);
    boost::asio::awaitable<void> serve_order(std::string from,
                                             std::shared_ptr<const handoff_order> order,
                                             std::shared_ptr<send_control> control);
    void peer_changed(const shell::peer_identity& peer, bool connected);
    boost::asio::awaitable<void> watch();
    void ask_silent_hosts(time_point now);
    // Ends the orders that wait for a host which can't be heard.
    void give_up(const std::string& host);
    bool send(const std::string& to, const handoff_message& what);

    boost::asio::io_context* context;
    std::shared_ptr<shell::peer_link> link;
    shell::event_log* events;
    order_handler serve;
    boost::asio::steady_timer timer;
    std::uint64_t next_id{1};
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiting;
    // By host and its number for the order.
    std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<send_control>> serving;
    std::map<std::string, host_row> hosts;
    bool stopping{};
};

} // namespace bth::gateway
