// What a control host tells its entry hosts and the other control hosts.
#include "bth/fleet/control_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// Entry hosts switch to another control host after a second without an update.
constexpr std::chrono::milliseconds update_interval{400};
// An older list than this means that neither this host nor one it hears can read it.
constexpr std::chrono::milliseconds list_too_old{2500};
// An entry host that looks for a control host in contact leaves this one within some 300 ms if it
// isn't; until then it is spared the whole list, which fills a slow link for longer than that.
constexpr std::chrono::milliseconds astray_stay{1000};

} // namespace

std::vector<entry_host> control_host::served_rows(time_point now) const
{
    std::vector<entry_host> rows;
    for (const auto& [host, each] : this->served) {
        rows.push_back(each.host);
        rows.back().age = now - each.heard;
    }
    return rows;
}

void control_host::send_relays(time_point now, bool with_list)
{
    this->relayed = now;
    this->relay_due = false;
    relay out{{this->name, this->settings.domain}, this->served_rows(now), {}, 0, std::nullopt};
    if (this->catalog.was_read()) {
        out.list_age = now - this->catalog.read_at();
        out.list_digest = this->catalog.digest();
        if (with_list) {
            out.list = this->catalog.rows();
        }
    }
    const auto bytes = encode(out);
    for (const auto& each : this->peers) {
        this->link->send(each, wire::frame_kind::membership,
                         {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    }
}

bool control_host::in_contact(time_point now) const
{
    return this->leader.has_value() && this->catalog.was_read() &&
           now - this->catalog.read_at() < list_too_old;
}

void control_host::send_updates(time_point now)
{
    const auto hosts = this->registry.in_service(now);
    std::vector<std::string> names;
    for (const auto& [host, row] : this->served) {
        names.push_back(host);
    }
    for (const auto& host : names) {
        // A send that fails closes the connection, which takes the row out of the table.
        const auto row = this->served.find(host);
        if (row != this->served.end()) {
            this->send_update(host, row->second, now, hosts);
        }
    }
}

// The entry hosts in the region of one, without what changes from moment to moment.
std::vector<entry_host> control_host::neighbours(const entry_host& of,
                                                 const std::vector<entry_host>& all) const
{
    const auto region_of = [this](const entry_host& each) {
        const auto found = this->settings.regions.find(each.domain);
        return found == this->settings.regions.end() ? std::string{} : found->second;
    };
    const auto region = region_of(of);
    std::vector<entry_host> out;
    for (const auto& each : all) {
        if (region_of(each) == region) {
            out.push_back(each);
            out.back().age = {};
        }
    }
    return out;
}

void control_host::send_update(const std::string& host, served_host& to, time_point now,
                               const std::vector<entry_host>& all)
{
    const auto& contents = this->agreed->state().contents();
    const bool contact = this->in_contact(now);
    auto near = this->neighbours(to.host, all);
    const bool other_neighbours = near != to.told;
    const auto held = to.held.now_holds();
    const bool tells_targets =
        this->catalog.was_read() && (contact || now - to.since > astray_stay);
    const auto revision = tells_targets ? this->catalog.revision() : held.targets;
    const bool news = other_neighbours || contents.index > held.index ||
                      contents.version > held.version || held.targets != revision ||
                      contact != to.in_contact;
    if (!news && now - to.sent < update_interval) {
        return;
    }
    update out;
    out.life = this->link->life();
    out.in_contact = contact;
    out.version = contents.version;
    out.index = contents.index;
    if (contents.version > held.version) {
        out.text = contents.text;
    }
    if (contents.index >= held.index) {
        out.evacuated = contents.evacuated;
    }
    out.targets.revision = revision;
    if (tells_targets) {
        out.targets = this->catalog.since(held.targets);
    }
    for (const auto& [control, domain] : this->control_domains) {
        if (control == this->name || this->peers.contains(control)) {
            out.control_hosts.push_back({control, domain});
        }
    }
    out.entry_count = static_cast<std::uint32_t>(all.size());
    out.entry_rank = static_cast<std::uint32_t>(std::count_if(
        all.begin(), all.end(), [&host](const auto& each) { return each.name < host; }));
    if (other_neighbours) {
        out.entry_hosts = near;
        to.told = std::move(near);
    }
    const auto bytes = encode(out);
    to.sent = now;
    to.held.sent(now, {std::max(held.version, contents.version),
                       std::max(held.index, contents.index), revision});
    to.in_contact = contact;
    const bool sent =
        this->link->send(host, wire::frame_kind::membership,
                         {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!sent) {
        // What it missed is found out when it reports again on a new connection.
        this->served.erase(host);
    }
}

} // namespace bth::fleet
