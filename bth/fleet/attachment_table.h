// The entry hosts that are attached to one control host, and the updates that are due for them. It
// does no I/O and reads no clock.
//
//   attachment_table attached{own_name, own_domain, regions};
//   if (attached.record_report(now, entry_name, received, own_incarnation)) { ... tell others ... }
//   for (auto& each : attached.due_updates(now, view)) { send(each.recipient, each.body); }
//
// This answers a fleet of hundreds of entry hosts that start, or change their control host, within
// a few hundred milliseconds:
//
// - All of them first report to the few seeds. A seed that knows a control host in the recipient's
//   failure domain sends only the list of control hosts, so that the recipient moves on before the
//   list of targets and the configuration are sent to it.
// - Each start changes the list of entry hosts that all hosts of its region receive. One list a
//   region is made for all recipients, at most once per neighbour_list_interval, so that n starts
//   cost a few lists per recipient instead of n.
// - The list of targets, the configuration and the lists of entry hosts are encoded and compressed
//   once for all recipients that lack the same. That takes milliseconds for a thousand targets, and
//   a control host that spends them for each recipient answers no other control host for a second.
#pragma once

#include "bth/dispatch/target_registry.h"
#include "bth/fleet/catalog.h"
#include "bth/fleet/held_state.h"
#include "bth/fleet/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bth::fleet {

// What a control host knows when it makes updates.
struct control_view {
    incarnation own_incarnation;
    bool in_contact{};
    // Whether this host holds what the group agrees on, apart from what is on its way.
    bool follows_group{};
    // Whether `agreed` is at least as new as any that this host showed before a restart. Nothing of
    // an older state is sent.
    bool caught_up{};
    const agreed_state* agreed{};
    const target_catalog* catalog{};
    // This control host and the others of the group, ordered by name.
    std::vector<control_host_info> control_hosts;
    // The names of the control hosts that are connected to this one.
    std::set<std::string> connected_control_hosts;
    // All entry hosts in service, ordered by name.
    std::vector<entry_host> entry_hosts;
    // Null if there is nothing to tell.
    const dispatch::crash_ledger* crashes{};
    // Null if there is nothing to tell.
    const dispatch::load_board* loads{};
    // See update::pressures.
    std::optional<std::vector<dispatch::customer_pressure>> pressures{};
};

// An update that is due for an entry host, as for encode_parts().
struct due_update {
    std::string recipient;
    update own;
    // The encoded part that other recipients get as well; null if there is none.
    std::shared_ptr<const std::string> shared;
};

std::string encode(const due_update& due);

class attachment_table {
public:
    // Smallest time between two versions of a region's list of entry hosts.
    static constexpr std::chrono::milliseconds neighbour_list_interval{1000};

    attachment_table(std::string own_name, std::string own_domain, dispatch::domain_regions regions)
        : own_name{std::move(own_name)}, own_domain{std::move(own_domain)}, regions{
                                                                                std::move(regions)}
    {}

    struct report_result {
        // Whether this is the first report of the host since it was attached.
        bool is_new{};
        // Whether the host has missed an update that was sent to it.
        bool is_behind{};
        // Whether the host became ready or stopped being ready.
        bool changed_readiness{};
        // Whether the host lost its way to the targets or found it again.
        bool changed_reach{};
    };

    // Records a report of an entry host, which attaches it.
    report_result record_report(time_point now, const std::string& name, const report& received,
                                incarnation own_incarnation);
    // Removes an entry host. Returns whether it was attached.
    bool detach(const std::string& name) { return this->rows.erase(name) > 0; }
    // Removes the entry hosts whose reports stopped. Returns how many.
    std::size_t expire(time_point now);

    // Returns the attached entry hosts with the time since their last report, ordered by name.
    std::vector<entry_host> hosts(time_point now) const;

    // Returns the updates that are due, and counts them as sent.
    std::vector<due_update> due_updates(time_point now, const control_view& view);
    // The same for one entry host only.
    std::optional<due_update> due_update_of(time_point now, const std::string& name,
                                            const control_view& view);

private:
    struct row {
        entry_host host;
        // See report::stays.
        bool stays{};
        time_point last_report_at;
        // When its first report arrived.
        time_point attached_since;
        time_point last_sent_at;
        held_state_tracker held;
        bool sent_in_contact{};
        // The version of the region's list that was sent last, 0 if it has to be sent again.
        std::uint64_t sent_list{};
        // The place in the ledger of crashes up to which news were sent, and when.
        std::uint64_t sent_crashes{};
        std::vector<relay_host> sent_relay_hosts;
        time_point sent_crashes_at;
        std::vector<dispatch::customer_pressure> sent_pressures;
        // The place on the board of loads up to which news were sent.
        std::uint64_t sent_loads{};
    };
    // The entry hosts of a region as they are sent to all of them.
    struct neighbour_list {
        std::uint64_t version{};
        time_point changed_at;
        std::vector<entry_host> hosts;
    };

    // What the shared part of an update holds.
    struct shared_key {
        // The configuration, none if 0.
        route::config_version text;
        // The changes of the catalog between these revisions, none if they are equal.
        catalog_revision targets_since;
        catalog_revision targets;
        // The list of a region, none if the version is 0.
        std::string region;
        std::uint64_t list{};
        friend auto operator<=>(const shared_key&, const shared_key&) = default;
    };

    std::string_view region_of(const std::string& domain) const;
    // Returns the encoded shared part; null if it would be empty.
    std::shared_ptr<const std::string> shared_part(const shared_key& key, const control_view& view);
    // Makes the lists of the regions that changed anew, where their interval allows it.
    void refresh_lists(time_point now, const std::vector<entry_host>& all_hosts);
    std::optional<due_update> make_update(time_point now, row& recipient, const control_view& view);
    // Whether news on crashes should be sent now.
    static bool has_due_crash_news(time_point now, const row& recipient, const control_view& view);
    // Whether loads of targets should be sent before the next update is due.
    static bool has_due_loads(time_point now, const row& recipient, const control_view& view);
    // Whether the pressures of customers differ so much from those that were sent that they should
    // be sent before the next update is due.
    static bool has_due_pressures(time_point now, const row& recipient, const control_view& view);
    // Whether the recipient should move to another control host before it gets any data.
    bool is_to_be_redirected(time_point now, const row& recipient, const control_view& view) const;

    std::string own_name;
    std::string own_domain;
    dispatch::domain_regions regions;
    std::map<std::string, row> rows;
    std::map<std::string, neighbour_list, std::less<>> lists;
    std::map<shared_key, std::shared_ptr<const std::string>> shared_parts;
};

} // namespace bth::fleet
