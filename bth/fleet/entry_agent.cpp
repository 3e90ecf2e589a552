#include "bth/fleet/entry_agent.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bth::fleet {

namespace {

// Reports go out as often as updates come; a control host forgets a host after three of them.
constexpr std::chrono::milliseconds report_interval{400};
// A tenth of the time in which the loss of a control host is noticed.
constexpr std::chrono::milliseconds step_interval{100};

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
      // Hosts that start together don't all begin with the same seed.
      timer{context}, choice{this->settings.domain, this->settings.regions,
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
    this->link->on_change([self = shared_from_this()](const auto& peer, bool connected) {
        self->events->write(
            shell::event{connected ? "peer_connected" : "peer_lost"}.with("host", peer.name),
            peer.name == self->choice.serving() ? shell::event_weight::essential
                                                : shell::event_weight::notable);
        if (connected && peer.name == self->choice.serving()) {
            self->report_now();
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
    if (next == nullptr || from.name != this->choice.serving()) {
        return true;
    }
    this->choice.hear(shell::monotonic_now(), next->in_contact, next->control_hosts);
    this->serving_life = next->life;
    this->targets = next->targets.revision;
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

void entry_agent::tick()
{
    const auto now = shell::monotonic_now();
    const std::string before = this->choice.serving();
    if (this->choice.step(now)) {
        this->attach(now, before);
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

// Another control host was chosen than the one `before`.
void entry_agent::attach(time_point now, const std::string& before)
{
    this->events->write(shell::event{"control_chosen"}
                            .with("host", this->choice.serving())
                            .with("before", before)
                            .with("heard_age_ms", now - this->choice.heard_at())
                            .with("contact_age_ms", now - this->choice.in_contact_at()),
                        shell::event_weight::essential);
    this->neighbours.change_source();
    this->connect_peers();
}

// Stays connected with the chosen control host and the entry hosts of the region.
void entry_agent::connect_peers()
{
    auto wanted = this->neighbours.to_connect(shell::monotonic_now());
    wanted.push_back(this->choice.serving());
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
                {each, {*address, this->settings.peer_port}, each == this->choice.serving()});
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
    this->link->send(this->choice.serving(), wire::frame_kind::membership,
                     {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

} // namespace bth::fleet
