// Drives a membership::publisher in a control process: hands it the accepted texts, keeps the peer
// link connected with the relays, and carries out what it orders.
//
//   auto driver = std::make_shared<publisher_driver>(context, link);
//   driver->start();
//   driver->set_active(true);
//   driver->accepted(revision{7}, text);
#pragma once

#include "bth/membership/publisher.h"
#include "bth/shell/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <log4cplus/logger.h>

namespace bth::distribution {

class publisher_driver : public std::enable_shared_from_this<publisher_driver> {
public:
    // `other_peers` are those that the link stays connected with besides the relays. The driver
    // alone sets the link's peers from its start on.
    publisher_driver(boost::asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                     std::vector<shell::peer_address> other_peers);

    void start();
    void stop();

    // Only the leader's publisher is active.
    void set_active(bool active);
    // Takes an accepted text, which the check of edits has passed.
    void accepted(revision number, const std::string& text);

    std::vector<std::string> unconfirmed(revision at) const { return this->core.unconfirmed(at); }
    const std::map<std::string, revision>& confirmations() const
    {
        return this->core.confirmations();
    }
    std::vector<membership::domain_status> domains() const;

private:
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void schedule_tick();
    void perform(const membership::actions& todo);
    void connect_relays();

    std::shared_ptr<shell::peer_link> link;
    std::vector<shell::peer_address> other_peers;
    membership::publisher core;
    // Where each host of the text listens.
    std::map<std::string, endpoint> addresses;
    std::vector<std::string> connected_relays;
    boost::asio::steady_timer tick_timer;
    bool stopped{};
    log4cplus::Logger log{log4cplus::Logger::getInstance("distribution")};
};

} // namespace bth::distribution
