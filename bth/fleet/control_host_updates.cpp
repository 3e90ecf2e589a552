// The sending part of control_host: updates to entry hosts and relays to other control hosts.
#include "bth/fleet/control_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// Interval of updates without changes. Entry hosts select another control host after a second
// without an update.
constexpr std::chrono::milliseconds update_interval{400};
// An older reading means that neither this host nor any control host that sends it relays can read
// the list.
constexpr std::chrono::milliseconds max_list_age{2500};
// While this host is isolated, it sends targets to an entry host only after this time. An entry
// host that searches for a control host in contact abandons an isolated one within about 300 ms,
// and the full list would fill a slow link for longer than that.
constexpr std::chrono::milliseconds isolated_full_list_delay{1000};

} // namespace

std::vector<entry_host> control_host::attached_entry_hosts(time_point now) const
{
    std::vector<entry_host> entry_hosts;
    for (const auto& [host, each] : this->attached_hosts) {
        entry_hosts.push_back(each.host);
        entry_hosts.back().age = now - each.last_report_at;
    }
    return entry_hosts;
}

void control_host::send_relays(time_point now, bool include_list)
{
    this->last_relay_at = now;
    this->relay_due = false;
    relay out{
        {this->name, this->settings.domain}, this->attached_entry_hosts(now), {}, 0, std::nullopt};
    if (this->catalog.was_read()) {
        out.list_age = now - this->catalog.read_at();
        out.list_digest = this->catalog.digest();
        if (include_list) {
            out.list = this->catalog.rows();
        }
    }
    const auto bytes = encode(out);
    for (const auto& each : this->peer_names) {
        this->link->send(each, wire::frame_kind::membership,
                         {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    }
}

bool control_host::in_contact(time_point now) const
{
    return this->leader.has_value() && this->catalog.was_read() &&
           now - this->catalog.read_at() < max_list_age;
}

void control_host::send_updates(time_point now)
{
    const auto hosts = this->registry.in_service(now);
    std::vector<std::string> names;
    for (const auto& [host, row] : this->attached_hosts) {
        names.push_back(host);
    }
    for (const auto& host : names) {
        // A failed send closes the connection, which removes the row from the table.
        const auto row = this->attached_hosts.find(host);
        if (row != this->attached_hosts.end()) {
            this->send_update(host, row->second, now, hosts);
        }
    }
}

// Returns the entry hosts in the recipient's region, without their ages, which change all the time.
std::vector<entry_host>
control_host::entry_hosts_in_region(const entry_host& recipient,
                                    const std::vector<entry_host>& all_hosts) const
{
    const auto region_of = [this](const entry_host& each) {
        const auto region_entry = this->settings.regions.find(each.domain);
        return region_entry == this->settings.regions.end() ? std::string{} : region_entry->second;
    };
    const auto region = region_of(recipient);
    std::vector<entry_host> out;
    for (const auto& each : all_hosts) {
        if (region_of(each) == region) {
            out.push_back(each);
            out.back().age = {};
        }
    }
    return out;
}

void control_host::send_update(const std::string& host, attached_host& recipient, time_point now,
                               const std::vector<entry_host>& all_hosts)
{
    const auto& state = this->group->machine().state();
    const bool is_in_contact = this->in_contact(now);
    auto region_hosts = this->entry_hosts_in_region(recipient.host, all_hosts);
    const bool region_hosts_changed = region_hosts != recipient.sent_entry_hosts;
    const auto held = recipient.held.assumed();
    const bool include_targets =
        this->catalog.was_read() &&
        (is_in_contact || now - recipient.attached_since > isolated_full_list_delay);
    const auto revision = include_targets ? this->catalog.revision() : held.targets;
    const bool has_changes = region_hosts_changed || state.index > held.index ||
                             state.version > held.version || held.targets != revision ||
                             is_in_contact != recipient.sent_in_contact;
    if (!has_changes && now - recipient.last_sent_at < update_interval) {
        return;
    }
    update out;
    out.incarnation_number = this->link->life();
    out.in_contact = is_in_contact;
    out.version = state.version;
    out.index = state.index;
    if (state.version > held.version) {
        out.text = state.text;
    }
    if (state.index >= held.index) {
        out.evacuated = state.evacuated;
    }
    out.targets.revision = revision;
    if (include_targets) {
        out.targets = this->catalog.changes_since(held.targets);
    }
    for (const auto& [control_name, domain] : this->control_domains) {
        if (control_name == this->name || this->peer_names.contains(control_name)) {
            out.control_hosts.push_back({control_name, domain});
        }
    }
    out.entry_count = static_cast<std::uint32_t>(all_hosts.size());
    out.entry_rank = static_cast<std::uint32_t>(
        std::count_if(all_hosts.begin(), all_hosts.end(),
                      [&host](const auto& each) { return each.name < host; }));
    if (region_hosts_changed) {
        out.entry_hosts = region_hosts;
        recipient.sent_entry_hosts = std::move(region_hosts);
    }
    const auto bytes = encode(out);
    recipient.last_sent_at = now;
    recipient.held.record_sent(
        now, {std::max(held.version, state.version), std::max(held.index, state.index), revision});
    recipient.sent_in_contact = is_in_contact;
    const bool was_sent =
        this->link->send(host, wire::frame_kind::membership,
                         {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!was_sent) {
        // Its first report on a new connection shows what it missed.
        this->attached_hosts.erase(host);
    }
}

} // namespace bth::fleet
