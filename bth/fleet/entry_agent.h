// Keeps an entry host informed: attaches to one control host, reports to it, and passes on what it
// says. Which one that is control_choice.h decides.
//
//   auto agent = std::make_shared<entry_agent>(context, settings, events, on_update);
//   agent->start();
//   agent->set_ready(true);
#pragma once

#include "bth/dispatch/board.h"
#include "bth/fleet/control_host_selector.h"
#include "bth/fleet/messages.h"
#include "bth/fleet/neighbours.h"
#include "bth/shell/event_log.h"
#include "bth/shell/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

namespace bth::fleet {

struct entry_agent_settings {
    ipv4_address address;
    // Where callers connect.
    endpoint callers;
    std::string domain;
    std::uint16_t peer_port{};
    std::vector<ipv4_address> seeds;
    dispatch::domain_regions regions;
};

class entry_agent : public std::enable_shared_from_this<entry_agent> {
public:
    using update_handler = std::function<void(const update&)>;

    entry_agent(boost::asio::io_context& context, entry_agent_settings settings,
                shell::event_log& events, update_handler on_update);

    // An error is one sentence.
    tl::expected<void, std::string> start();
    void stop();

    // The link to the control host and to the entry hosts of the region.
    const std::shared_ptr<shell::peer_link>& peers() const { return this->link; }

    // States from now on whether callers should be sent here.
    void set_ready(bool ready);
    // What this host holds already, so that it isn't sent again.
    void set_held(route::config_version version, agreed_index index);

private:
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void tick();
    void report_now();
    void attach(time_point now, const std::string& before);
    void connect_peers();

    entry_agent_settings settings;
    std::string name;
    shell::event_log* events;
    update_handler on_update;
    std::shared_ptr<shell::peer_link> link;
    boost::asio::steady_timer timer;
    neighbour_table neighbours;
    std::vector<std::string> connected;
    control_choice choice;
    time_point reported;
    bool ready{};
    route::config_version version;
    agreed_index index;
    catalog_revision targets;
    incarnation serving_life;
    bool stopping{};
};

} // namespace bth::fleet
