#include "bth/fleet/control_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::fleet {

namespace {

namespace asio = boost::asio;

// How often the host looks after its tables.
constexpr std::chrono::milliseconds step_interval{100};
// Relays without news; a row is forgotten after three of them.
constexpr std::chrono::milliseconds relay_interval{1000};
// An entry host reports every 400 ms.
constexpr std::chrono::milliseconds served_silence{1500};
// A voter that has been silent for so long, in whose failure domain another control host has come,
// was replaced.
constexpr std::chrono::seconds replaced_silence{6};

// A leader that is lost is replaced within a second, so that targets that leave are known and
// changes are acknowledged in time. Messages between regions take 20 ms, a sync 1 ms; a heartbeat
// more often than this would cost more bytes between regions than all other control traffic.
consensus::replica_options agreement_times()
{
    consensus::replica_options out;
    out.heartbeat = std::chrono::milliseconds{200};
    out.vote_silence = std::chrono::milliseconds{500};
    out.election_least = std::chrono::milliseconds{600};
    out.election_spread = std::chrono::milliseconds{250};
    out.retry_least = std::chrono::milliseconds{100};
    out.retry_spread = std::chrono::milliseconds{200};
    return out;
}

group_settings group_settings_of(const control_host_settings& settings, const std::string& name,
                                 incarnation life)
{
    group_settings out;
    out.data_folder = settings.data_folder;
    out.member.host = name;
    out.member.fresh_life = life;
    out.member.replica = agreement_times();
    out.member.seed = life.value() ^ settings.address.bits;
    bool is_seed = false;
    for (const auto& each : settings.seeds) {
        out.member.replica.seeds.push_back(to_string(each));
        is_seed = is_seed || each == settings.address;
    }
    if (settings.first_start && is_seed) {
        for (const auto& each : settings.seeds) {
            out.member.founders.voters.push_back(
                {to_string(each), consensus::founding_incarnation});
        }
    }
    return out;
}

} // namespace

tl::expected<std::shared_ptr<control_host>, std::string>
control_host::open(asio::io_context& context, const control_host_settings& settings,
                   platform_calls calls, shell::event_log& events)
{
    const auto life = shell::fresh_incarnation();
    auto agreed =
        group::open(context, group_settings_of(settings, to_string(settings.address), life));
    if (!agreed) {
        return tl::unexpected{std::move(agreed.error())};
    }
    return std::shared_ptr<control_host>{
        new control_host{context, settings, std::move(calls), events, std::move(*agreed), life}};
}

control_host::control_host(asio::io_context& context, control_host_settings settings,
                           platform_calls calls, shell::event_log& events,
                           std::shared_ptr<group> agreed, incarnation life)
    : context{&context}, settings{std::move(settings)}, name{to_string(this->settings.address)},
      calls{std::move(calls)}, events{&events}, agreed{std::move(agreed)},
      link{std::make_shared<shell::peer_link>(context.get_executor(),
                                              shell::peer_link_settings{this->name, life})},
      timer{context}, registry{this->settings.regions}
{
    this->control_domains[this->name] = this->settings.domain;
}

tl::expected<void, std::string> control_host::start()
{
    const auto self = shared_from_this();
    this->link->on_frame(wire::frame_kind::membership, [this](const auto& from, auto payload) {
        return this->receive(from, payload);
    });
    this->link->on_change(
        [this](const auto& peer, bool connected) { this->peer_changed(peer, connected); });
    auto listening = this->link->listen({this->settings.address, this->settings.peer_port});
    if (!listening) {
        return listening;
    }
    if (const auto& cut = this->agreed->cut_at_start()) {
        this->events->write(
            shell::event{"log_tail_cut"}.with("bytes", cut->bytes).with("offset", cut->offset),
            shell::event_weight::essential);
    }
    this->agreed->start(this->link, [this] { this->progressed(); });
    asio::co_spawn(
        *this->context, [self] { return self->run(); }, asio::detached);
    return {};
}

void control_host::stop()
{
    this->stopping = true;
    this->timer.cancel();
    this->agreed->stop();
    this->link->stop();
}

std::optional<order_answer> control_host::not_leading() const
{
    const auto now_is = this->agreed->status();
    if (now_is.role == consensus::replica_role::leader) {
        return std::nullopt;
    }
    order_answer answer{order_outcome::unknown, std::nullopt, {}, {}};
    if (now_is.leader) {
        answer.outcome = order_outcome::elsewhere;
        answer.leader = parse_ipv4_address(now_is.leader->host);
    }
    return answer;
}

asio::awaitable<order_answer> control_host::submit(std::string text)
{
    const auto decoded = this->calls.decode(text);
    if (!decoded) {
        auto why = to_string(decoded.error());
        this->events->write(shell::event{"configuration_refused"}.with("findings", why));
        co_return order_answer{order_outcome::invalid, std::nullopt, std::move(why), {}};
    }
    const auto version = decoded->version;
    std::string label = "configuration " + std::to_string(version.value());
    // g++ 12 destroys temporaries in the operand of co_await twice.
    message command{set_configuration{version, std::move(text)}};
    co_return co_await this->order(std::move(command), std::move(label));
}

asio::awaitable<order_answer> control_host::evacuate(std::string domain, bool evacuated)
{
    if (!this->settings.regions.contains(domain)) {
        co_return order_answer{order_outcome::invalid,
                               std::nullopt,
                               "no failure domain is named \"" + domain + "\"",
                               {}};
    }
    std::string label = (evacuated ? "evacuate " : "restore ") + domain;
    message command{set_evacuation{std::move(domain), evacuated}};
    co_return co_await this->order(std::move(command), std::move(label));
}

// Proposes a command, and answers once it is durable on a majority.
asio::awaitable<order_answer> control_host::order(message command, std::string label)
{
    const auto self = shared_from_this();
    if (auto other = this->not_leading()) {
        co_return std::move(*other);
    }
    const auto begun = shell::monotonic_now();
    std::string bytes = encode(command);
    const auto done = co_await this->agreed->propose(std::move(bytes));
    const bool agreed_on = done && done->applied && done->applied->understood;
    this->events->write(shell::event{"order"}
                            .with("order", label)
                            .with("outcome", agreed_on ? "agreed" : "unknown")
                            .with("changed", agreed_on && done->applied->changed)
                            .with("took_ms", shell::monotonic_now() - begun));
    if (agreed_on) {
        co_return order_answer{order_outcome::done, std::nullopt, {}, {}};
    }
    co_return order_answer{order_outcome::unknown, std::nullopt, {}, {}};
}

asio::awaitable<order_answer> control_host::read()
{
    const auto self = shared_from_this();
    if (auto other = this->not_leading()) {
        co_return std::move(*other);
    }
    const auto done = co_await this->agreed->read();
    if (!done || done->answer.outcome != consensus::request_outcome::read_ready) {
        co_return order_answer{order_outcome::unknown, std::nullopt, {}, {}};
    }
    co_return order_answer{
        order_outcome::done, std::nullopt, {}, this->agreed->state().contents().text};
}

std::vector<endpoint> control_host::resolve(const std::string& region) const
{
    return this->registry.resolve(region, shell::monotonic_now());
}

control_host::levels control_host::status() const
{
    const auto now = shell::monotonic_now();
    return {this->leads,
            this->leader.has_value(),
            this->agreed->state().contents().version.value(),
            this->catalog.size(),
            this->registry.in_service(now).size(),
            now - this->catalog.read_at()};
}

bool control_host::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto got = decode({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!got) {
        return false;
    }
    if (const auto* each = std::get_if<report>(&*got)) {
        this->take(from, *each);
        return true;
    }
    if (const auto* each = std::get_if<relay>(&*got)) {
        this->take(from, *each);
        return true;
    }
    return false;
}

void control_host::take(const shell::peer_identity& from, const report& got)
{
    const auto now = shell::monotonic_now();
    auto& row = this->served[from.name];
    const bool is_known = row.held.has_reported();
    // A revision of the catalog counts for the life of one control host.
    const bool same_life = got.serving_life == this->link->life();
    const bool behind = row.held.reported(
        now, {got.version, got.index, same_life ? got.targets : catalog_revision{}});
    const bool news = behind || row.host.ready != got.host.ready;
    if (behind) {
        row.told.reset();
    }
    if (behind && is_known) {
        this->events->write(shell::event{"entry_host_behind"}
                                .with("host", from.name)
                                .with("version", got.version.value())
                                .with("index", got.index.value())
                                .with("targets_revision", got.targets.value()));
    }
    row.host = got.host;
    row.heard = now;
    row.since = is_known ? row.since : now;
    // `row` may go with its connection from here on.
    if (news) {
        this->events->write(shell::event{"entry_host"}
                                .with("host", from.name)
                                .with("ready", got.host.ready)
                                .with("version", got.version.value()));
        this->registry.take(this->name, this->served_rows(now), now);
        this->send_relays(now, false);
        this->send_updates(now);
    }
}

void control_host::take(const shell::peer_identity& from, const relay& got)
{
    const auto now = shell::monotonic_now();
    this->control_domains[from.name] = got.host.domain;
    this->registry.take(from.name, got.entry_hosts, now);
    const auto read_at = now - got.list_age;
    const bool changed = got.list && this->catalog.take(*got.list, read_at);
    if (!got.list && got.list_digest != 0) {
        this->catalog.confirm(got.list_digest, read_at);
    }
    if (changed) {
        this->events->write(shell::event{"list_relayed"}
                                .with("from", from.name)
                                .with("targets", this->catalog.size())
                                .with("age_ms", got.list_age));
        this->send_updates(now);
    }
}

void control_host::peer_changed(const shell::peer_identity& peer, bool connected)
{
    this->events->write(
        shell::event{connected ? "peer_connected" : "peer_lost"}.with("peer", peer.name));
    const auto now = shell::monotonic_now();
    if (connected) {
        // Tells a control host at once what it missed; an entry host ignores it.
        this->relay_due = true;
        return;
    }
    this->registry.forget(peer.name);
    if (this->served.erase(peer.name) > 0) {
        this->registry.take(this->name, this->served_rows(now), now);
        this->send_relays(now, false);
    }
}

void control_host::progressed()
{
    const auto now_is = this->agreed->status();
    this->watch_leader(now_is);
    const auto& contents = this->agreed->state().contents();
    if (contents.index != this->shown) {
        this->shown = contents.index;
        this->events->write(shell::event{"agreed"}
                                .with("index", contents.index.value())
                                .with("version", contents.version.value())
                                .with("evacuated", contents.evacuated.size()));
        this->send_updates(shell::monotonic_now());
    }
}

void control_host::watch_leader(const consensus::replica_status& now_is)
{
    const bool leads_now = now_is.role == consensus::replica_role::leader && now_is.holds_lease;
    std::optional<std::string> leader_now;
    if (leads_now) {
        leader_now = this->name;
    }
    else if (now_is.leader) {
        leader_now = now_is.leader->host;
    }
    if (leader_now != this->leader) {
        this->events->write(shell::event{leader_now ? "leader_known" : "leader_lost"}
                                .with("leader", leader_now.value_or("none"))
                                .with("term", now_is.term.value()),
                            shell::event_weight::essential);
    }
    this->leader = std::move(leader_now);
    this->leads = leads_now;
}

asio::awaitable<void> control_host::run()
{
    while (!this->stopping) {
        const auto now = shell::monotonic_now();
        const auto now_is = this->agreed->status();
        this->refresh_members(now_is);
        this->admit_newcomers(now_is, now);
        this->expire_served(now);
        const duration list_age = this->catalog.was_read() ? now - this->catalog.read_at()
                                                           : duration{std::chrono::hours{1}};
        if (!this->reading && should_read_list({this->leads, this->own_rank(now_is), list_age})) {
            this->reading = true;
            asio::co_spawn(
                *this->context, [self = shared_from_this()] { return self->read_list(); },
                asio::detached);
        }
        if (this->relay_due || now - this->relayed >= relay_interval) {
            this->send_relays(now, this->relay_due);
        }
        this->send_updates(now);
        this->timer.expires_after(step_interval);
        boost::system::error_code ended;
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
    }
}

void control_host::expire_served(time_point now)
{
    const auto silent = std::erase_if(
        this->served, [&](const auto& each) { return each.second.heard + served_silence < now; });
    this->registry.take(this->name, this->served_rows(now), now);
    if (silent > 0) {
        this->events->write(shell::event{"entry_hosts_silent"}.with("count", silent));
        this->send_relays(now, false);
    }
}

// Stays connected with all members of the group, and with the seeds until there is one.
void control_host::refresh_members(const consensus::replica_status& now_is)
{
    std::set<std::string> next;
    for (const auto* members : {&now_is.members.voters, &now_is.members.learners}) {
        for (const auto& each : *members) {
            next.insert(each.host);
        }
    }
    for (const auto& each : this->settings.seeds) {
        next.insert(to_string(each));
    }
    next.erase(this->name);
    if (next == this->peers) {
        return;
    }
    this->peers = next;
    std::vector<shell::peer_address> addresses;
    for (const auto& each : next) {
        if (const auto address = parse_ipv4_address(each)) {
            addresses.push_back({each, {*address, this->settings.peer_port}});
        }
    }
    this->link->set_peers(addresses);
}

// A leader lets in control hosts that ask, one at a time, and takes out those they replaced.
void control_host::admit_newcomers(const consensus::replica_status& now_is, time_point now)
{
    if (!this->leads) {
        this->voter_heard.clear();
        return;
    }
    for (const auto& each : now_is.applicants) {
        if (!member_on(now_is.members, each.host)) {
            this->events->write(shell::event{"control_host_admitted"}.with("host", each.host));
            this->agreed->add_member(each.host);
            return;
        }
    }
    for (const auto& voter : now_is.members.voters) {
        auto& heard = this->voter_heard.try_emplace(voter.host, now).first->second;
        if (voter.host == this->name || this->link->connected(voter.host)) {
            heard = now;
        }
        const bool silent = now - heard > replaced_silence;
        const auto domain = this->control_domains.find(voter.host);
        if (!silent || domain == this->control_domains.end()) {
            continue;
        }
        const bool replaced = std::any_of(
            now_is.members.voters.begin(), now_is.members.voters.end(), [&](const auto& other) {
                const auto known = this->control_domains.find(other.host);
                return other.host != voter.host && known != this->control_domains.end() &&
                       known->second == domain->second &&
                       (other.host == this->name || this->link->connected(other.host));
            });
        if (replaced) {
            this->events->write(shell::event{"control_host_removed"}.with("host", voter.host));
            this->agreed->remove_member(voter.host);
            this->voter_heard.erase(voter.host);
            return;
        }
    }
}

std::uint32_t control_host::own_rank(const consensus::replica_status& now_is) const
{
    const auto& voters = now_is.members.voters;
    const auto before = std::count_if(voters.begin(), voters.end(),
                                      [this](const auto& each) { return each.host < this->name; });
    return static_cast<std::uint32_t>(before);
}

asio::awaitable<void> control_host::read_list()
{
    const auto begun = shell::monotonic_now();
    auto rows = co_await this->calls.read_list();
    const auto now = shell::monotonic_now();
    this->reading = false;
    if (this->stopping) {
        co_return;
    }
    if (!rows) {
        this->events->write(shell::event{"list_failed"}
                                .with("why", rows.error())
                                .with("held_age_ms", now - this->catalog.read_at()));
        co_return;
    }
    const bool changed = this->catalog.take(std::move(*rows), begun);
    if (changed) {
        this->events->write(shell::event{"list_read"}
                                .with("targets", this->catalog.size())
                                .with("revision", this->catalog.revision().value())
                                .with("took_ms", now - begun));
        this->send_updates(now);
    }
    this->send_relays(now, changed);
}

} // namespace bth::fleet
