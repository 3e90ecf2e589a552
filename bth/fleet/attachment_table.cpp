#include "bth/fleet/attachment_table.h"

#include "bth/dispatch/demand_ledger.h"
#include "bth/fleet/relay_hosts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// Entry hosts report every 400 ms; three reports in a row are missing.
constexpr std::chrono::milliseconds report_timeout{1500};
// Interval of updates without changes. Entry hosts select another control host after a second
// without an update.
constexpr std::chrono::milliseconds update_interval{400};
// While this host is isolated, it sends targets to an entry host only after this time. An entry
// host that searches for a control host in contact abandons an isolated one within about 300 ms,
// and the full list would fill a slow link for longer than that.
constexpr std::chrono::milliseconds isolated_full_list_delay{1000};
// An entry host that knows a control host of its own failure domain moves to it with its next
// selection, within 100 ms. One that is still attached after this time couldn't reach it.
constexpr std::chrono::milliseconds redirect_time{1000};
// Smallest time between two updates with news on crashes. With 64 reports of 32 bytes each and 14
// recipients, that is a tenth of a link of 10 Mbit/s at most.
constexpr std::chrono::milliseconds crash_news_interval{200};
// The same for the pressures of customers. With 16 bytes each and a hundred customers that press,
// that is 3% of a link of 2 Mbit/s.
constexpr std::chrono::milliseconds pressure_interval{200};
// The same for loads of targets, which are of use only while they are new.
constexpr std::chrono::milliseconds load_news_interval{150};

} // namespace

std::string encode(const due_update& due)
{
    return due.shared == nullptr ? encode(message{due.own}) : encode_parts(*due.shared, due.own);
}

attachment_table::report_result attachment_table::record_report(time_point now,
                                                                const std::string& name,
                                                                const report& received,
                                                                incarnation own_incarnation)
{
    auto& attached = this->rows[name];
    report_result result;
    result.is_new = !attached.held.has_reported();
    // A catalog revision is valid for one incarnation of a control host only.
    const bool same_incarnation = received.control_incarnation == own_incarnation;
    const bool missed_update = attached.held.record_report(
        now, {received.version, received.index,
              same_incarnation ? received.targets : catalog_revision{}});
    result.is_behind = missed_update && !result.is_new;
    result.changed_readiness = attached.host.ready != received.host.ready;
    result.changed_reach = attached.host.reaches_targets != received.host.reaches_targets;
    if (missed_update) {
        attached.sent_list = 0;
    }
    attached.host = received.host;
    attached.host.name = name;
    attached.last_report_at = now;
    attached.stays = received.stays;
    if (result.is_new) {
        attached.attached_since = now;
    }
    return result;
}

std::size_t attachment_table::expire(time_point now)
{
    return std::erase_if(this->rows, [&](const auto& each) {
        return each.second.last_report_at + report_timeout < now;
    });
}

std::vector<entry_host> attachment_table::hosts(time_point now) const
{
    std::vector<entry_host> out;
    out.reserve(this->rows.size());
    for (const auto& [name, each] : this->rows) {
        out.push_back(each.host);
        out.back().age = now - each.last_report_at;
    }
    return out;
}

std::string_view attachment_table::region_of(const std::string& domain) const
{
    const auto found = this->regions.find(domain);
    return found == this->regions.end() ? std::string_view{} : found->second;
}

void attachment_table::refresh_lists(time_point now, const std::vector<entry_host>& all_hosts)
{
    std::map<std::string_view, std::vector<entry_host>> by_region;
    for (const auto& each : all_hosts) {
        auto& hosts = by_region[this->region_of(each.domain)];
        hosts.push_back(each);
        // Ages change all the time.
        hosts.back().age = {};
    }
    for (auto& [region, hosts] : by_region) {
        auto& list = this->lists[std::string{region}];
        const bool may_change =
            list.version == 0 || now - list.changed_at >= neighbour_list_interval;
        if (may_change && hosts != list.hosts) {
            ++list.version;
            list.changed_at = now;
            list.hosts = std::move(hosts);
        }
    }
}

bool attachment_table::has_due_crash_news(time_point now, const row& recipient,
                                          const control_view& view)
{
    return view.crashes != nullptr && view.crashes->has_news_since(recipient.sent_crashes) &&
           now - recipient.sent_crashes_at >= crash_news_interval;
}

bool attachment_table::has_due_loads(time_point now, const row& recipient, const control_view& view)
{
    return view.loads != nullptr && view.loads->has_news_since(recipient.sent_loads) &&
           now - recipient.last_sent_at >= load_news_interval;
}

bool attachment_table::has_due_pressures(time_point now, const row& recipient,
                                         const control_view& view)
{
    if (!view.pressures || now - recipient.last_sent_at < pressure_interval) {
        return false;
    }
    return dispatch::differ_much(recipient.sent_pressures, *view.pressures);
}

bool attachment_table::is_to_be_redirected(time_point now, const row& recipient,
                                           const control_view& view) const
{
    if (recipient.stays || recipient.host.domain == this->own_domain ||
        now - recipient.attached_since >= redirect_time) {
        return false;
    }
    return std::any_of(view.control_hosts.begin(), view.control_hosts.end(), [&](const auto& each) {
        return each.domain == recipient.host.domain &&
               view.connected_control_hosts.contains(each.name);
    });
}

std::vector<due_update> attachment_table::due_updates(time_point now, const control_view& view)
{
    this->refresh_lists(now, view.entry_hosts);
    std::vector<due_update> out;
    for (auto& [name, recipient] : this->rows) {
        if (auto due = this->make_update(now, recipient, view)) {
            out.push_back(std::move(*due));
        }
    }
    return out;
}

std::optional<due_update> attachment_table::due_update_of(time_point now, const std::string& name,
                                                          const control_view& view)
{
    const auto found = this->rows.find(name);
    if (found == this->rows.end()) {
        return std::nullopt;
    }
    this->refresh_lists(now, view.entry_hosts);
    return this->make_update(now, found->second, view);
}

std::shared_ptr<const std::string> attachment_table::shared_part(const shared_key& key,
                                                                 const control_view& view)
{
    if (key == shared_key{}) {
        return nullptr;
    }
    const auto found = this->shared_parts.find(key);
    if (found != this->shared_parts.end()) {
        return found->second;
    }
    // Parts of earlier states aren't asked for again.
    std::erase_if(this->shared_parts, [&](const auto& each) {
        const auto& other = each.first;
        return (other.text != route::config_version{} && other.text != view.agreed->version) ||
               (other.targets != catalog_revision{} && other.targets != view.catalog->revision()) ||
               (other.list != 0 && other.list != this->lists[other.region].version);
    });
    update bulk;
    if (key.text != route::config_version{}) {
        bulk.text = view.agreed->text;
    }
    if (key.targets != catalog_revision{}) {
        bulk.targets = view.catalog->changes_since(key.targets_since);
    }
    if (key.list != 0) {
        bulk.entry_hosts = this->lists[key.region].hosts;
    }
    auto bytes = std::make_shared<const std::string>(encode(bulk));
    this->shared_parts.emplace(key, bytes);
    return bytes;
}

std::optional<due_update> attachment_table::make_update(time_point now, row& recipient,
                                                        const control_view& view)
{
    const auto& state = *view.agreed;
    const auto held = recipient.held.assumed();
    const bool redirect = this->is_to_be_redirected(now, recipient, view);
    const bool include_targets =
        !redirect && view.catalog->was_read() &&
        (view.in_contact || now - recipient.attached_since > isolated_full_list_delay);
    const auto revision = include_targets ? view.catalog->revision() : held.targets;
    const bool may_include_state = !redirect && view.caught_up;
    const bool include_state =
        may_include_state && (state.index > held.index || state.version > held.version);
    const auto list = this->lists.find(this->region_of(recipient.host.domain));
    const bool include_list =
        !redirect && list != this->lists.end() && list->second.version != recipient.sent_list;
    auto relay_hosts = recipient.host.reaches_targets
                           ? std::vector<relay_host>{}
                           : select_relay_hosts(recipient.host, view.entry_hosts, this->regions);
    const bool has_crash_news = !redirect && has_due_crash_news(now, recipient, view);
    const bool has_changes =
        include_list || include_state || held.targets != revision || has_crash_news ||
        has_due_pressures(now, recipient, view) || has_due_loads(now, recipient, view) ||
        relay_hosts != recipient.sent_relay_hosts || view.in_contact != recipient.sent_in_contact;
    if (!has_changes && now - recipient.last_sent_at < update_interval) {
        return std::nullopt;
    }
    shared_key shared;
    if (may_include_state && state.version > held.version) {
        shared.text = state.version;
    }
    if (held.targets != revision) {
        shared.targets_since = held.targets;
        shared.targets = revision;
    }
    if (include_list) {
        shared.region = list->first;
        shared.list = list->second.version;
        recipient.sent_list = list->second.version;
    }
    due_update due{recipient.host.name, {}, this->shared_part(shared, view)};
    auto& own = due.own;
    own.incarnation_number = view.own_incarnation;
    own.in_contact = view.in_contact;
    own.version = may_include_state ? state.version : held.version;
    own.index = may_include_state ? state.index : held.index;
    if (may_include_state && state.index >= held.index) {
        own.evacuated = state.evacuated;
    }
    own.state_is_current = view.follows_group && may_include_state && state.index >= held.index;
    own.targets.revision = revision;
    own.control_hosts = view.control_hosts;
    const auto& hosts = view.entry_hosts;
    own.entry_count = static_cast<std::uint32_t>(hosts.size());
    const auto own_place =
        std::lower_bound(hosts.begin(), hosts.end(), recipient.host.name,
                         [](const auto& each, const auto& name) { return each.name < name; });
    own.entry_rank = static_cast<std::uint32_t>(own_place - hosts.begin());
    if (has_crash_news) {
        own.crashes =
            view.crashes->news_since(now, recipient.sent_crashes, dispatch::news_scope::all);
        recipient.sent_crashes_at = now;
    }
    if (view.loads != nullptr && !redirect) {
        own.loads = view.loads->news_since(now, recipient.sent_loads, dispatch::news_scope::all);
    }
    own.pressures = view.pressures;
    recipient.sent_pressures = view.pressures.value_or(recipient.sent_pressures);
    recipient.sent_relay_hosts = relay_hosts;
    own.relay_hosts = std::move(relay_hosts);
    recipient.last_sent_at = now;
    if (!redirect) {
        recipient.held.record_sent(
            now, {std::max(held.version, own.version), std::max(held.index, own.index), revision});
    }
    recipient.sent_in_contact = view.in_contact;
    return due;
}

} // namespace bth::fleet
