#include "bth/fleet/entry_agent.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// As often as updates arrive. A control host expires an entry host after three missing reports.
constexpr std::chrono::milliseconds report_interval{400};
// Smallest time between a report and one that a crash causes; later crashes wait for the next tick.
constexpr std::chrono::milliseconds crash_report_interval{50};
// A tenth of the time after which a silent control host is replaced.
constexpr std::chrono::milliseconds selection_interval{100};

std::vector<std::string> names_of(const std::vector<ipv4_address>& addresses)
{
    std::vector<std::string> out;
    out.reserve(addresses.size());
    for (const auto& each : addresses) {
        out.push_back(to_string(each));
    }
    return out;
}

} // namespace

entry_agent::entry_agent(boost::asio::io_context& context, entry_agent_settings settings,
                         shell::event_log& events, update_handler on_update)
    : settings{std::move(settings)}, name{to_string(this->settings.address)}, events{&events},
      on_update{std::move(on_update)}, link{std::make_shared<shell::peer_link>(
                                           context.get_executor(),
                                           shell::peer_link_settings{this->name,
                                                                     shell::fresh_incarnation()})},
      // The address spreads hosts that start together over the seeds.
      timer{context}, selector{this->settings.domain, this->settings.regions,
                               names_of(this->settings.seeds), this->settings.address.bits}
{}

tl::expected<void, std::string> entry_agent::start()
{
    auto listening = this->link->listen({this->settings.address, this->settings.peer_port});
    if (!listening) {
        return listening;
    }
    this->link->on_frame(wire::frame_kind::membership,
                         [self = shared_from_this()](const auto& from, auto payload) {
                             return self->receive(from, payload);
                         });
    this->link->on_change([self = shared_from_this()](const auto& peer, bool is_connected,
                                                      std::string_view reason) {
        self->events->write(
            is_connected ? shell::event{"peer_connected"}.with("host", peer.name)
                         : shell::event{"peer_lost"}.with("host", peer.name).with("why", reason),
            peer.name == self->selector.current() ? shell::event_weight::essential
                                                  : shell::event_weight::notable);
        if (is_connected && peer.name == self->selector.current()) {
            self->send_report();
        }
    });
    this->tick();
    return {};
}

void entry_agent::stop()
{
    this->stopping = true;
    this->timer.cancel();
    this->link->stop();
}

void entry_agent::set_ready(bool is_ready)
{
    if (std::exchange(this->ready, is_ready) != is_ready) {
        this->send_report();
    }
}

void entry_agent::set_reaches_targets(bool reaches)
{
    if (std::exchange(this->reaches_targets, reaches) != reaches) {
        this->send_report();
    }
}

void entry_agent::set_held_versions(route::config_version configuration, agreed_index agreed)
{
    this->held_version = configuration;
    this->held_index = agreed;
}

std::optional<endpoint> entry_agent::peer_endpoint(const std::string& host) const
{
    const auto address = parse_ipv4_address(host);
    return address ? std::optional{endpoint{*address, this->settings.peer_port}} : std::nullopt;
}

void entry_agent::use_entry_host(const std::string& host)
{
    this->neighbours.record_use(shell::monotonic_now(), host);
    if (!this->link->connected(host)) {
        this->connect_peers();
    }
}

bool entry_agent::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto received = decode({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!received) {
        return false;
    }
    const auto* received_update = std::get_if<update>(&*received);
    if (received_update == nullptr || from.name != this->selector.current()) {
        return true;
    }
    this->selector.record_update(shell::monotonic_now(), received_update->in_contact,
                                 received_update->control_hosts);
    this->control_incarnation = received_update->incarnation_number;
    this->held_targets = received_update->targets.revision;
    if (received_update->entry_hosts) {
        this->neighbours.record_reported(*received_update->entry_hosts);
    }
    auto passed_update = *received_update;
    passed_update.entry_hosts.reset();
    if (this->neighbours.apply_reported(received_update->in_contact)) {
        passed_update.entry_hosts = this->neighbours.hosts();
    }
    this->on_update(passed_update);
    return true;
}

void entry_agent::tick()
{
    const auto now = shell::monotonic_now();
    const std::string previous = this->selector.current();
    if (this->selector.reselect(now)) {
        this->on_control_host_selected(now, previous);
    }
    if (now - this->last_report_at >= report_interval || this->is_report_due) {
        this->send_report();
    }
    this->connect_peers();
    this->timer.expires_after(selection_interval);
    this->timer.async_wait([self = shared_from_this()](const auto& error) {
        if (!error && !self->stopping) {
            self->tick();
        }
    });
}

// Handles that the selector replaced the control host `previous` by another one.
void entry_agent::on_control_host_selected(time_point now, const std::string& previous)
{
    this->events->write(shell::event{"control_chosen"}
                            .with("host", this->selector.current())
                            .with("before", previous)
                            .with("heard_age_ms", now - this->selector.last_update_at())
                            .with("contact_age_ms", now - this->selector.last_contact_at()),
                        shell::event_weight::essential);
    this->neighbours.discard_reported();
    this->connect_peers();
}

// Keeps connections to the selected control host and to the entry hosts in use.
void entry_agent::connect_peers()
{
    auto peers = this->neighbours.hosts_to_connect(shell::monotonic_now());
    peers.push_back(this->selector.current());
    if (peers == this->connected_hosts) {
        return;
    }
    this->connected_hosts = peers;
    std::vector<shell::peer_address> addresses;
    for (const auto& each : peers) {
        const auto where = this->peer_endpoint(each);
        if (where && each != this->name) {
            // The other side doesn't know that a connection is needed and won't dial.
            addresses.push_back({each, *where, true});
        }
    }
    this->link->set_peers(addresses);
}

void entry_agent::send_report()
{
    this->last_report_at = shell::monotonic_now();
    this->is_report_due = false;
    report out{{this->name,
                this->settings.caller_endpoint,
                this->settings.domain,
                this->ready,
                {},
                this->reaches_targets},
               this->held_version,
               this->held_index,
               this->held_targets,
               this->control_incarnation,
               this->selector.stays(),
               {}};
    const auto reported_up_to = this->add_crash_news(out);
    if (this->usage_source) {
        out.usage = this->usage_source();
    }
    if (this->load_source) {
        out.loads = this->load_source();
    }
    const auto bytes = encode(out);
    const bool is_sent =
        this->link->send(this->selector.current(), wire::frame_kind::membership,
                         {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (is_sent) {
        this->reported_crashes = reported_up_to;
    }
}

std::uint64_t entry_agent::add_crash_news(report& out)
{
    if (!this->crashes) {
        return 0;
    }
    // Another control host, or one that has started again, may not know what was relayed before.
    const bool is_same_host = this->reported_crashes_to == this->selector.current() &&
                              this->reported_crashes_incarnation == this->control_incarnation;
    if (!is_same_host) {
        this->reported_crashes_to = this->selector.current();
        this->reported_crashes_incarnation = this->control_incarnation;
        this->reported_crashes = 0;
        this->reports_all_crashes = true;
    }
    auto cursor = this->reported_crashes;
    out.crashes = this->crashes->news_since(
        shell::monotonic_now(), cursor,
        this->reports_all_crashes ? dispatch::news_scope::all : dispatch::news_scope::observed);
    this->reports_all_crashes = this->reports_all_crashes && this->crashes->has_news_since(cursor);
    return cursor;
}

void entry_agent::report_crash()
{
    if (shell::monotonic_now() - this->last_report_at >= crash_report_interval) {
        this->send_report();
    }
    else {
        this->is_report_due = true;
    }
}

} // namespace bth::fleet
