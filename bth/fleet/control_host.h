// A control host in highest-version mode: takes configurations and evacuations into the agreed log,
// reads the platform's list or hears it from another control host, keeps its entry hosts informed,
// and tells callers which entry hosts to use.
//
//   auto made = control_host::open(context, settings, calls, events);
//   if (!made) { ... }
//   (*made)->start();
//   auto done = co_await (*made)->submit(text);
#pragma once

#include "bth/dispatch/board.h"
#include "bth/fleet/agreed_state.h"
#include "bth/fleet/catalog.h"
#include "bth/fleet/group_driver.h"
#include "bth/fleet/held_state.h"
#include "bth/fleet/list_reading.h"
#include "bth/fleet/messages.h"
#include "bth/fleet/registry.h"
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
    // Hosts are known to each other by their address.
    ipv4_address address;
    std::string domain;
    // The port on which all hosts of the fleet talk to each other.
    std::uint16_t peer_port{};
    std::string data_folder;
    // Control hosts known at the start. At the first start of the whole fleet they found the group.
    std::vector<ipv4_address> seeds;
    bool first_start{};
    dispatch::domain_regions regions;
};

using list_rows = tl::expected<std::vector<dispatch::target_facts>, std::string>;

// What the platform provides.
struct platform_calls {
    // Reads the whole list of targets; an error is one sentence.
    std::function<boost::asio::awaitable<list_rows>()> read_list;
    // Understands the text of a configuration.
    std::function<tl::expected<route::configuration, findings>(const std::string&)> decode;
};

enum class order_outcome : std::uint8_t {
    done,      // Agreed and durable, or without effect and so no longer needed.
    invalid,   // It can never be accepted.
    elsewhere, // The leader takes it.
    unknown,   // It may or may not be agreed on: send it again.
};

struct order_answer {
    order_outcome outcome{};
    // The leader's address, with `elsewhere`.
    std::optional<ipv4_address> leader;
    // Why it is invalid.
    std::string message;
    // The text in force, for a read that is done.
    std::string text;
};

class control_host : public std::enable_shared_from_this<control_host> {
public:
    static tl::expected<std::shared_ptr<control_host>, std::string>
    open(boost::asio::io_context& context, const control_host_settings& settings,
         platform_calls calls, shell::event_log& events);

    tl::expected<void, std::string> start();
    void stop();

    // Takes a configuration.
    boost::asio::awaitable<order_answer> submit(std::string text);
    // The newest configuration, confirmed by a majority.
    boost::asio::awaitable<order_answer> read();
    boost::asio::awaitable<order_answer> evacuate(std::string domain, bool evacuated);
    // Where a caller of that region should connect; empty if this host doesn't know yet.
    std::vector<endpoint> resolve(const std::string& region) const;

    struct levels {
        bool leads{};
        bool leader_known{};
        std::uint64_t version{};
        std::size_t targets{};
        std::size_t entry_hosts{};
        duration list_age{};
    };
    levels status() const;

private:
    using group = group_driver<agreed_machine>;

    // An entry host that reports to this control host, and what it was told last.
    struct served_host {
        entry_host host;
        time_point heard;
        // When it came to this control host.
        time_point since;
        time_point sent;
        held_state_tracker held;
        bool in_contact{};
        // The entry hosts of its region as it was told.
        std::optional<std::vector<entry_host>> told;
    };

    control_host(boost::asio::io_context& context, control_host_settings settings,
                 platform_calls calls, shell::event_log& events, std::shared_ptr<group> agreed,
                 incarnation life);

    boost::asio::awaitable<order_answer> order(message command, std::string label);
    std::optional<order_answer> not_leading() const;

    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void take(const shell::peer_identity& from, const report& got);
    void take(const shell::peer_identity& from, const relay& got);
    void peer_changed(const shell::peer_identity& peer, bool connected);
    // Called after each step of the agreed log.
    void progressed();
    void watch_leader(const consensus::replica_status& now_is);

    boost::asio::awaitable<void> run();
    void expire_served(time_point now);
    void refresh_members(const consensus::replica_status& now_is);
    void admit_newcomers(const consensus::replica_status& now_is, time_point now);
    boost::asio::awaitable<void> read_list();
    void send_relays(time_point now, bool with_list);
    void send_updates(time_point now);
    void send_update(const std::string& host, served_host& to, time_point now,
                     const std::vector<entry_host>& all);
    std::vector<entry_host> neighbours(const entry_host& of,
                                       const std::vector<entry_host>& all) const;
    bool in_contact(time_point now) const;
    std::vector<entry_host> served_rows(time_point now) const;
    std::uint32_t own_rank(const consensus::replica_status& now_is) const;

    boost::asio::io_context* context;
    control_host_settings settings;
    std::string name;
    platform_calls calls;
    shell::event_log* events;
    std::shared_ptr<group> agreed;
    std::shared_ptr<shell::peer_link> link;
    boost::asio::steady_timer timer;
    target_catalog catalog;
    host_registry registry;
    std::map<std::string, served_host> served;
    // The failure domains of control hosts, as they said.
    std::map<std::string, std::string> control_domains;
    std::set<std::string> peers;
    std::map<std::string, time_point> voter_heard;
    agreed_index shown;
    std::optional<std::string> leader;
    bool leads{};
    time_point relayed;
    bool relay_due{};
    bool reading{};
    bool stopping{};
};

} // namespace bth::fleet
