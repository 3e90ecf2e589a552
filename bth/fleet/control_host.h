// A control host in highest-version mode. It commits configurations and evacuations to the
// replicated log, reads the platform's list of targets or receives it from another control host,
// sends updates to the entry hosts attached to it, and answers which entry hosts callers should
// use.
//
//   auto opened = control_host::open(context, settings, callbacks, events);
//   if (!opened) { ... }
//   if (auto started = (*opened)->start(); !started) { ... }
//   auto result = co_await (*opened)->submit_configuration(text);
#pragma once

#include "bth/dispatch/demand_ledger.h"
#include "bth/dispatch/target_registry.h"
#include "bth/fleet/agreed_state.h"
#include "bth/fleet/agreement_lag.h"
#include "bth/fleet/attachment_table.h"
#include "bth/fleet/catalog.h"
#include "bth/fleet/group_driver.h"
#include "bth/fleet/list_reading.h"
#include "bth/fleet/member_roster.h"
#include "bth/fleet/messages.h"
#include "bth/fleet/registry.h"
#include "bth/fleet/relay_schedule.h"
#include "bth/shell/event_log.h"
#include "bth/shell/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

namespace bth::fleet {

struct control_host_settings {
    // Also the name by which the other hosts know this one.
    ipv4_address address;
    std::string domain;
    // The port on which every host of the fleet accepts connections of its peers.
    std::uint16_t peer_port{};
    std::string data_folder;
    // The control hosts known at the start. At the first start of the whole fleet they are the
    // initial members of the group.
    std::vector<ipv4_address> seeds;
    // Whether the whole fleet starts for the first time.
    bool first_start{};
    dispatch::domain_regions regions;
    // Time after which no more requests may be sent to a target that the list shows as leaving.
    duration drain_time{};
    // How far requests of a customer may exceed its limit.
    dispatch::allowance_terms allowance_terms{};
};

// What a reading of the platform's list, or of the part of one failure domain, returned.
struct target_list_reading {
    std::vector<dispatch::target_info> targets;
    // The number of calls that it took.
    std::size_t calls{};
};

// A reading, or one sentence that says what failed.
using target_list_result = tl::expected<target_list_reading, std::string>;

// Functions that the platform supplies.
struct platform_callbacks {
    // Reads the targets of one failure domain, or all targets if it is empty.
    std::function<boost::asio::awaitable<target_list_result>(std::string domain)> read_list;
    // Decodes and checks the text of a configuration.
    std::function<tl::expected<route::configuration, findings>(const std::string&)>
        decode_configuration;
};

enum class operation_outcome : std::uint8_t {
    done,       // Committed and durable, or superseded and so without effect.
    invalid,    // Rejected; it can never be accepted.
    not_leader, // Send it to the leader instead.
    unknown,    // It may or may not have been committed; repeat it.
};

struct operation_result {
    operation_outcome outcome{};
    // If the outcome is `not_leader`, the leader's address.
    std::optional<ipv4_address> leader;
    // If the outcome is `invalid`, the reasons.
    std::string message;
    // For a read that is done: the text of the configuration in force, empty before the first one.
    std::string text;
};

class control_host : public std::enable_shared_from_this<control_host> {
public:
    // Opens the log in the data folder. On failure, returns a one-sentence error message.
    static tl::expected<std::shared_ptr<control_host>, std::string>
    open(boost::asio::io_context& context, const control_host_settings& settings,
         platform_callbacks callbacks, shell::event_log& events);

    // Listens on the peer port and takes part in the group. On failure, returns a one-sentence
    // error message.
    tl::expected<void, std::string> start();
    void stop();

    // Commits a configuration; an older version than the one in force has no effect.
    boost::asio::awaitable<operation_result> submit_configuration(std::string text);
    // Returns the newest configuration, confirmed by a majority.
    boost::asio::awaitable<operation_result> read_configuration();
    // Commits that a failure domain is evacuated or not. `invalid` if the domain is unknown.
    boost::asio::awaitable<operation_result> set_evacuated(std::string domain, bool evacuated);
    // Returns where a caller in that region should connect, at most `limit` endpoints; empty if no
    // ready entry host is known.
    std::vector<endpoint> resolve(const std::string& region, std::size_t limit);

    struct host_status {
        bool is_leader{};
        bool leader_known{};
        std::uint64_t version{};
        std::size_t targets{};
        std::size_t entry_hosts{};
        // Age of the newest reading of the platform's list.
        duration list_age{};
        // Whether this host takes part in the group; false after its log couldn't be written.
        bool group_running{};
        // Age of the last message of the leader; zero while this host is the leader.
        duration leader_heard_age{};
        // The control hosts that count towards the majority, those that are down included.
        std::size_t voters{};
        // The customers that press against their allowance, as far as this host knows.
        std::size_t pressing_customers{};
    };
    host_status status() const;

private:
    using consensus_driver = group_driver<agreed_state_machine>;

    control_host(boost::asio::io_context& context, control_host_settings settings,
                 platform_callbacks callbacks, shell::event_log& events,
                 std::shared_ptr<consensus_driver> group, incarnation incarnation_number);

    boost::asio::awaitable<operation_result> run_command(message command, std::string description);
    std::optional<operation_result> reject_unless_leader() const;

    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void handle(const shell::peer_identity& from, const report& received);
    void handle(const shell::peer_identity& from, const relay& received);
    void on_peer_change(const shell::peer_identity& peer, bool connected, std::string_view reason);
    // Called after each step of the consensus group.
    void on_group_progress();
    void update_leader(const consensus::replica_status& group_status);
    // Writes an event if the group stopped on this host, for a new reason, or resumed.
    void report_group_failure(const consensus::replica_status& group_status);

    // Takes the customers' limits from the agreed configuration if it changed.
    void refresh_customer_limits();
    // Writes an event if this host fell behind the group or caught up since the last call.
    void report_lag(time_point now);

    boost::asio::awaitable<void> run();
    void expire_attached_hosts(time_point now);
    void refresh_peers(const consensus::replica_status& group_status);
    void update_membership(const consensus::replica_status& group_status, time_point now);
    boost::asio::awaitable<void> read_list();
    // Reads the parts of all failure domains at the same time and joins them.
    boost::asio::awaitable<target_list_result> read_list_by_domain();
    // Sends the relays that are due; see relay_schedule.
    void send_due_relays(time_point now);
    // Sends a relay to all control hosts, or to one of them.
    void send_relay(time_point now, bool include_list, const std::optional<std::string>& only_to);
    void send_all_crashes(time_point now, const std::string& to, relay first);
    // Sends the updates that are due to all attached entry hosts, or to one of them.
    void send_updates(time_point now);
    void send_update(const due_update& due);
    control_view make_view(time_point now) const;
    // Whether this host is in contact with the others; see update::in_contact.
    bool in_contact(time_point now) const;
    // Whether this host holds what the group agrees on, apart from what is on its way.
    bool follows_group(time_point now) const;
    bool is_list_reading_due(const consensus::replica_status& group_status, time_point now);

    boost::asio::io_context* context;
    control_host_settings settings;
    std::string name;
    platform_callbacks callbacks;
    shell::event_log* events;
    std::shared_ptr<consensus_driver> group;
    std::shared_ptr<shell::peer_link> link;
    boost::asio::steady_timer timer;
    target_catalog catalog;
    entry_host_registry registry;
    // Counts the answers to look-ups, from a number that differs between hosts.
    std::size_t lookup_turn;
    attachment_table attached;
    // The failure domain of each control host that sent a relay since this one started, and of this
    // one. The group's own record of its members outlives restarts.
    std::map<std::string, std::string> control_domains;
    member_roster roster;
    // The other control hosts to stay connected to.
    std::set<std::string> peer_names;
    // The index of the agreed state that was last written to the event log.
    agreed_index logged_index;
    std::optional<std::string> leader;
    bool is_leader{};
    // Whether the agreed state is at least as new as any that this host showed before a restart.
    bool caught_up{};
    agreement_lag lag;
    // Whether the last event written by report_lag() said that this host is behind.
    bool reported_behind{};
    std::optional<std::string> reported_group_failure;
    relay_schedule relays;
    // The crashes that entry hosts and other control hosts report.
    dispatch::crash_ledger crashes;
    // The place in the ledger up to which news were relayed.
    std::uint64_t relayed_crashes{};
    // The loads that targets reported to entry hosts, and the place up to which they were relayed.
    dispatch::load_board loads;
    std::uint64_t relayed_loads{};
    // What entry hosts and other control hosts report of the customers' requests.
    dispatch::demand_ledger demand;
    // The version of the configuration that the limits in `demand` are from.
    route::config_version limits_version;
    bool list_read_in_flight{};
    // The readings of the list that failed since the last one that didn't, and when the last of
    // them ended.
    std::uint32_t failed_readings{};
    time_point reading_failed_at;
    // The number of calls of the last reading of the list here, 0 if there was none.
    std::size_t calls_of_last_reading{};
    time_point started_at;
    bool stopping{};
};

} // namespace bth::fleet
