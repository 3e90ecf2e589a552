#include "bth/fleet/entry_agent.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// Updates come every 400 ms, so that two are missed; reports go out as often.
constexpr std::chrono::milliseconds silence_limit{1000};
constexpr std::chrono::milliseconds report_interval{400};
constexpr std::chrono::milliseconds step_interval{100};
// A control host out of contact may be about to regain it, such as during an election.
constexpr std::chrono::milliseconds contact_limit{1200};

} // namespace

entry_agent::entry_agent(boost::asio::io_context& context, entry_agent_settings settings,
                         shell::event_log& events, update_handler on_update)
    : settings{std::move(settings)}, name{to_string(this->settings.address)}, events{&events},
      on_update{std::move(on_update)}, link{std::make_shared<shell::peer_link>(
                                           context.get_executor(),
                                           shell::peer_link_settings{this->name,
                                                                     shell::fresh_incarnation()})},
      // Hosts that start together don't all begin with the same seed.
      timer{context}, next_choice{this->settings.address.bits}
{
    for (const auto& each : this->settings.seeds) {
        this->known.push_back({to_string(each), {}});
    }
}

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
    this->link->on_change([self = shared_from_this()](const auto& peer, bool connected) {
        self->events->write(
            shell::event{connected ? "peer_connected" : "peer_lost"}.with("host", peer.name),
            peer.name == self->serving ? shell::event_weight::essential
                                       : shell::event_weight::notable);
        if (connected && peer.name == self->serving) {
            self->report_now();
        }
    });
    this->choose(shell::monotonic_now());
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
        this->report_now();
    }
}

void entry_agent::set_held(route::config_version held_version, agreed_index held_index)
{
    this->version = held_version;
    this->index = held_index;
}

bool entry_agent::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto got = decode({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!got) {
        return false;
    }
    const auto* next = std::get_if<update>(&*got);
    if (next == nullptr || from.name != this->serving) {
        return true;
    }
    const auto now = shell::monotonic_now();
    this->heard = now;
    if (next->in_contact) {
        this->in_contact_at = now;
    }
    this->serving_life = next->life;
    this->targets = next->targets.revision;
    if (!next->control_hosts.empty()) {
        this->known = next->control_hosts;
        std::stable_sort(
            this->known.begin(), this->known.end(),
            [this](const auto& a, const auto& b) { return this->distance(a) < this->distance(b); });
    }
    if (next->entry_hosts) {
        this->neighbours.hear(*next->entry_hosts);
    }
    auto news = *next;
    news.entry_hosts.reset();
    if (this->neighbours.confirm(next->in_contact)) {
        news.entry_hosts = this->neighbours.hosts();
    }
    this->connect_peers();
    this->on_update(news);
    return true;
}

int entry_agent::distance(const control_peer& host) const
{
    if (host.domain == this->settings.domain) {
        return 0;
    }
    const auto own = this->settings.regions.find(this->settings.domain);
    const auto other = this->settings.regions.find(host.domain);
    const bool same_region = own != this->settings.regions.end() &&
                             other != this->settings.regions.end() && own->second == other->second;
    return same_region ? 1 : 2;
}

void entry_agent::tick()
{
    const auto now = shell::monotonic_now();
    const bool silent = now - std::max(this->heard, this->chosen) > silence_limit;
    const bool astray = now - std::max(this->in_contact_at, this->chosen) > contact_limit;
    if (silent || astray) {
        this->choose(now);
    }
    else if (!this->near_chosen && !this->known.empty() && this->heard > this->chosen &&
             this->distance(this->known.front()) == 0) {
        // The first choice was any seed; the nearest control host is known by now.
        this->near_chosen = true;
        this->next_choice = 0;
        if (this->known.front().name != this->serving) {
            this->choose(now);
        }
    }
    if (now - this->reported >= report_interval) {
        this->report_now();
    }
    this->timer.expires_after(step_interval);
    this->timer.async_wait([self = shared_from_this()](const auto& error) {
        if (!error && !self->stopping) {
            self->tick();
        }
    });
}

void entry_agent::choose(time_point now)
{
    if (this->known.empty()) {
        return;
    }
    const auto& next = this->known[this->next_choice++ % this->known.size()];
    this->events->write(shell::event{"control_chosen"}
                            .with("host", next.name)
                            .with("before", this->serving)
                            .with("heard_age_ms", now - this->heard)
                            .with("contact_age_ms", now - this->in_contact_at),
                        shell::event_weight::essential);
    this->serving = next.name;
    this->neighbours.change_source();
    this->chosen = now;
    this->connect_peers();
}

// Stays connected with the chosen control host and the entry hosts of the region.
void entry_agent::connect_peers()
{
    auto wanted = this->neighbours.to_connect(shell::monotonic_now());
    wanted.push_back(this->serving);
    if (wanted == this->connected) {
        return;
    }
    this->connected = wanted;
    std::vector<shell::peer_address> addresses;
    for (const auto& each : wanted) {
        const auto address = parse_ipv4_address(each);
        if (address && each != this->name) {
            // The control host doesn't know this one and won't connect by itself.
            addresses.push_back(
                {each, {*address, this->settings.peer_port}, each == this->serving});
        }
    }
    this->link->set_peers(addresses);
}

void entry_agent::report_now()
{
    this->reported = shell::monotonic_now();
    const report out{{this->name, this->settings.callers, this->settings.domain, this->ready, {}},
                     this->version,
                     this->index,
                     this->targets,
                     this->serving_life};
    const auto bytes = encode(out);
    this->link->send(this->serving, wire::frame_kind::membership,
                     {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

} // namespace bth::fleet
