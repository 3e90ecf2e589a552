// The sending part of control_host: updates to entry hosts and relays to other control hosts.
#include "bth/fleet/control_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

wire::byte_view as_bytes(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace

void control_host::send_due_relays(time_point now)
{
    if (this->relays.is_due(now)) {
        this->send_relay(now, false, std::nullopt);
    }
}

void control_host::send_relay(time_point now, bool include_list,
                              const std::optional<std::string>& only_to)
{
    relay out{{this->name, this->settings.domain},
              this->attached.hosts(now),
              {},
              0,
              std::nullopt,
              this->group->machine().state().index,
              {}};
    if (this->catalog.was_read()) {
        out.list_age = now - this->catalog.read_at();
        out.list_digest = this->catalog.digest();
        if (include_list) {
            out.list = this->catalog.rows();
        }
    }
    out.usage = this->demand.own_totals();
    if (only_to) {
        this->send_all_crashes(now, *only_to, std::move(out));
        return;
    }
    out.loads = this->loads.news_since(now, this->relayed_loads, dispatch::news_scope::observed);
    out.crashes =
        this->crashes.news_since(now, this->relayed_crashes, dispatch::news_scope::observed);
    const auto bytes = encode(out);
    this->relays.record_sent(now);
    this->demand.mark_told();
    if (this->crashes.has_news_since(this->relayed_crashes)) {
        this->relays.request();
    }
    for (const auto& each : this->peer_names) {
        this->link->send(each, wire::frame_kind::membership, as_bytes(bytes));
    }
}

// Sends a relay to a control host that has just connected, followed by as many as it takes to tell
// it all crashes that are known.
void control_host::send_all_crashes(time_point now, const std::string& to, relay first)
{
    std::uint64_t cursor = 0;
    do {
        first.crashes = this->crashes.news_since(now, cursor, dispatch::news_scope::all);
        const auto bytes = encode(first);
        this->link->send(to, wire::frame_kind::membership, as_bytes(bytes));
        first.list.reset();
    } while (this->crashes.has_news_since(cursor));
}

bool control_host::in_contact(time_point now) const
{
    // An older reading means that neither this host nor any control host that sends it relays can
    // read the list; see should_read_list().
    const duration max_list_age = this->settings.drain_time * 5 / 6;
    const bool list_is_recent =
        this->catalog.was_read() && now - this->catalog.read_at() < max_list_age;
    return this->follows_group(now) && list_is_recent;
}

bool control_host::follows_group(time_point now) const
{
    const auto own = this->group->machine().state().index;
    // A leader with a lease holds all that is agreed on.
    return this->is_leader ||
           (this->leader.has_value() && this->caught_up && !this->lag.is_behind(now, own));
}

control_view control_host::make_view(time_point now) const
{
    control_view view{this->link->life(),
                      this->in_contact(now),
                      this->follows_group(now),
                      this->caught_up,
                      &this->group->machine().state(),
                      &this->catalog,
                      {},
                      {},
                      this->registry.in_service(now),
                      &this->crashes,
                      &this->loads,
                      this->demand.empty() ? std::nullopt : this->demand.pressures(now)};
    for (const auto& [control_name, domain] : this->control_domains) {
        if (control_name == this->name || this->peer_names.contains(control_name)) {
            view.control_hosts.push_back({control_name, domain});
        }
        if (this->link->connected(control_name)) {
            view.connected_control_hosts.insert(control_name);
        }
    }
    return view;
}

void control_host::send_updates(time_point now)
{
    for (const auto& due : this->attached.due_updates(now, this->make_view(now))) {
        this->send_update(due);
    }
}

void control_host::send_update(const due_update& due)
{
    const auto bytes = encode(due);
    if (!this->link->send(due.recipient, wire::frame_kind::membership, as_bytes(bytes))) {
        // Its first report on a new connection shows what it missed.
        this->attached.detach(due.recipient);
    }
}

} // namespace bth::fleet
