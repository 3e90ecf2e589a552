// Connects an entry host to the fleet: attaches to one control host, sends reports to it, and
// passes its updates to a handler. control_host_selector.h selects the control host.
//
//   auto agent = std::make_shared<entry_agent>(context, settings, events, on_update);
//   if (auto started = agent->start(); !started) { ... }
//   agent->set_ready(true);
#pragma once

#include "bth/dispatch/crash_ledger.h"
#include "bth/dispatch/target_registry.h"
#include "bth/fleet/control_host_selector.h"
#include "bth/fleet/messages.h"
#include "bth/fleet/neighbours.h"
#include "bth/shell/event_log.h"
#include "bth/shell/peer_link.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

namespace bth::fleet {

struct entry_agent_settings {
    ipv4_address address;
    // Where callers connect.
    endpoint caller_endpoint;
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

    // Listens on the peer port and starts to report. On failure, returns a one-sentence error
    // message.
    tl::expected<void, std::string> start();
    void stop();

    // The link to the control host and to the entry hosts that are in use.
    const std::shared_ptr<shell::peer_link>& peer_link() const { return this->link; }

    // Returns where another entry host listens for the hosts of the fleet, or nullopt if its name
    // is no address.
    std::optional<endpoint> peer_endpoint(const std::string& host) const;
    // Connects to another entry host, or keeps the connection to it; see neighbour_table.
    void use_entry_host(const std::string& host);

    // Sets whether callers should be directed to this host.
    void set_ready(bool ready);
    // Sets whether this host reaches targets, and reports a change at once.
    void set_reaches_targets(bool reaches_targets);

    // Sets the ledger whose news on crashes this host reports.
    void set_crash_ledger(std::shared_ptr<const dispatch::crash_ledger> ledger)
    {
        this->crashes = std::move(ledger);
    }
    // Reports a crash without waiting for the next report that is due.
    void report_crash();
    // Sets what returns the usage of customers for each report.
    void set_usage_source(std::function<std::vector<dispatch::customer_usage>()> source)
    {
        this->usage_source = std::move(source);
    }
    // Sets what returns the news of loads for each report.
    void set_load_source(std::function<std::vector<dispatch::told_load>()> source)
    {
        this->load_source = std::move(source);
    }
    // Reports with the next tick, since the usage of a customer changed much.
    void report_usage() { this->is_report_due = true; }

    // Sets the versions that this host holds, so that they aren't sent again.
    void set_held_versions(route::config_version configuration, agreed_index agreed);

private:
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void tick();
    void send_report();
    // Adds the news on crashes to a report. Returns the place in the ledger behind them.
    std::uint64_t add_crash_news(report& out);
    void on_control_host_selected(time_point now, const std::string& previous);
    void connect_peers();

    entry_agent_settings settings;
    std::string name;
    shell::event_log* events;
    update_handler on_update;
    std::shared_ptr<shell::peer_link> link;
    boost::asio::steady_timer timer;
    neighbour_table neighbours;
    std::vector<std::string> connected_hosts;
    control_host_selector selector;
    time_point last_report_at;
    bool ready{};
    bool reaches_targets{true};
    route::config_version held_version;
    agreed_index held_index;
    catalog_revision held_targets;
    // The incarnation of the control host for which `held_targets` is valid.
    incarnation control_incarnation;
    std::shared_ptr<const dispatch::crash_ledger> crashes;
    // The place in the ledger up to which news were reported, and to whom.
    std::uint64_t reported_crashes{};
    std::string reported_crashes_to;
    // Whether the news that other control hosts relayed are reported as well.
    bool reports_all_crashes{};
    std::function<std::vector<dispatch::customer_usage>()> usage_source;
    std::function<std::vector<dispatch::told_load>()> load_source;
    bool is_report_due{};
    incarnation reported_crashes_incarnation;
    bool stopping{};
};

} // namespace bth::fleet
