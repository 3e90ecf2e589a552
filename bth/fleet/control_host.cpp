#include "bth/fleet/control_host.h"

#include "bth/fleet/customer_limits.h"

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

// Interval at which the host updates its tables and sends the messages that are due.
constexpr std::chrono::milliseconds housekeeping_interval{100};

// Timing with which a lost leader is replaced within a second, so that leaving targets are known
// and changes are acknowledged in time. Messages between regions take 20 ms, a disk sync 1 ms. More
// frequent heartbeats would cost more bytes between regions than all other control traffic.
consensus::replica_options consensus_options()
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
                                 incarnation incarnation_number)
{
    group_settings out;
    out.data_folder = settings.data_folder;
    out.member.host = name;
    out.member.fresh_life = incarnation_number;
    out.member.replica = consensus_options();
    out.member.replica.domain = settings.domain;
    out.member.seed = incarnation_number.value() ^ settings.address.bits;
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

std::set<std::string> domains_of(const dispatch::domain_regions& regions)
{
    std::set<std::string> out;
    for (const auto& [domain, region] : regions) {
        out.insert(domain);
    }
    return out;
}

} // namespace

tl::expected<std::shared_ptr<control_host>, std::string>
control_host::open(asio::io_context& context, const control_host_settings& settings,
                   platform_callbacks callbacks, shell::event_log& events)
{
    const auto incarnation_number = shell::fresh_incarnation();
    auto group = consensus_driver::open(
        context, group_settings_of(settings, to_string(settings.address), incarnation_number));
    if (!group) {
        return tl::unexpected{std::move(group.error())};
    }
    return std::shared_ptr<control_host>{new control_host{
        context, settings, std::move(callbacks), events, std::move(*group), incarnation_number}};
}

control_host::control_host(asio::io_context& context, control_host_settings settings,
                           platform_callbacks callbacks, shell::event_log& events,
                           std::shared_ptr<consensus_driver> group, incarnation incarnation_number)
    : context{&context}, settings{std::move(settings)}, name{to_string(this->settings.address)},
      callbacks{std::move(callbacks)}, events{&events}, group{std::move(group)},
      link{std::make_shared<shell::peer_link>(
          context.get_executor(), shell::peer_link_settings{this->name, incarnation_number})},
      timer{context}, registry{this->settings.regions}, lookup_turn{this->settings.address.bits},
      attached{this->name, this->settings.domain, this->settings.regions},
      roster{domains_of(this->settings.regions)}, demand{this->settings.allowance_terms}
{
    this->control_domains[this->name] = this->settings.domain;
}

tl::expected<void, std::string> control_host::start()
{
    const auto self = shared_from_this();
    this->started_at = shell::monotonic_now();
    this->link->on_frame(wire::frame_kind::membership, [this](const auto& from, auto payload) {
        return this->receive(from, payload);
    });
    this->link->on_change([this](const auto& peer, bool connected, std::string_view reason) {
        this->on_peer_change(peer, connected, reason);
    });
    auto listening = this->link->listen({this->settings.address, this->settings.peer_port});
    if (!listening) {
        return listening;
    }
    if (const auto& tail = this->group->truncated_tail()) {
        this->events->write(
            shell::event{"log_tail_cut"}.with("bytes", tail->bytes).with("offset", tail->offset),
            shell::event_weight::essential);
    }
    this->group->start(this->link, [this] { this->on_group_progress(); });
    asio::co_spawn(
        *this->context, [self] { return self->run(); }, asio::detached);
    return {};
}

void control_host::stop()
{
    this->stopping = true;
    this->timer.cancel();
    this->group->stop();
    this->link->stop();
}

// Returns the result of an operation that this host can't perform because it isn't the leader, or
// nothing if it is.
std::optional<operation_result> control_host::reject_unless_leader() const
{
    const auto group_status = this->group->status();
    if (group_status.role == consensus::replica_role::leader) {
        return std::nullopt;
    }
    operation_result answer{operation_outcome::unknown, std::nullopt, {}, {}};
    if (group_status.leader) {
        answer.outcome = operation_outcome::not_leader;
        answer.leader = parse_ipv4_address(group_status.leader->host);
    }
    return answer;
}

asio::awaitable<operation_result> control_host::submit_configuration(std::string text)
{
    const auto decoded = this->callbacks.decode_configuration(text);
    if (!decoded) {
        auto reasons = to_string(decoded.error());
        this->events->write(shell::event{"configuration_refused"}.with("findings", reasons));
        co_return operation_result{
            operation_outcome::invalid, std::nullopt, std::move(reasons), {}};
    }
    const auto version = decoded->version;
    std::string description = "configuration " + std::to_string(version.value());
    // A named object, since g++ 12 destroys temporaries in the operand of co_await twice.
    message command{set_configuration{version, std::move(text)}};
    co_return co_await this->run_command(std::move(command), std::move(description));
}

asio::awaitable<operation_result> control_host::set_evacuated(std::string domain, bool evacuated)
{
    if (!this->settings.regions.contains(domain)) {
        co_return operation_result{operation_outcome::invalid,
                                   std::nullopt,
                                   "no failure domain is named \"" + domain + "\"",
                                   {}};
    }
    std::string description = (evacuated ? "evacuate " : "restore ") + domain;
    message command{set_evacuation{std::move(domain), evacuated}};
    co_return co_await this->run_command(std::move(command), std::move(description));
}

// Proposes a command and returns once it is durable on a majority. `description` is its name in the
// event log.
asio::awaitable<operation_result> control_host::run_command(message command,
                                                            std::string description)
{
    const auto self = shared_from_this();
    if (auto rejection = this->reject_unless_leader()) {
        co_return std::move(*rejection);
    }
    const auto started_at = shell::monotonic_now();
    std::string bytes = encode(command);
    const auto result = co_await this->group->propose(std::move(bytes));
    const bool committed = result && result->applied && result->applied->valid;
    this->events->write(shell::event{"order"}
                            .with("order", description)
                            .with("outcome", committed ? "agreed" : "unknown")
                            .with("changed", committed && result->applied->changed)
                            .with("took_ms", shell::monotonic_now() - started_at));
    if (committed) {
        co_return operation_result{operation_outcome::done, std::nullopt, {}, {}};
    }
    co_return operation_result{operation_outcome::unknown, std::nullopt, {}, {}};
}

asio::awaitable<operation_result> control_host::read_configuration()
{
    const auto self = shared_from_this();
    if (auto rejection = this->reject_unless_leader()) {
        co_return std::move(*rejection);
    }
    const auto result = co_await this->group->read_barrier();
    if (!result || result->answer.outcome != consensus::request_outcome::read_ready) {
        co_return operation_result{operation_outcome::unknown, std::nullopt, {}, {}};
    }
    co_return operation_result{
        operation_outcome::done, std::nullopt, {}, this->group->machine().state().text};
}

std::vector<endpoint> control_host::resolve(const std::string& region, std::size_t limit)
{
    return this->registry.resolve(region, shell::monotonic_now(), limit, this->lookup_turn++);
}

control_host::host_status control_host::status() const
{
    const auto now = shell::monotonic_now();
    return {
        this->is_leader,
        this->leader.has_value(),
        this->group->machine().state().version.value(),
        this->catalog.size(),
        this->registry.in_service(now).size(),
        now - this->catalog.read_at(),
        !this->group->failure().has_value(),
        this->is_leader ? duration{} : now - this->group->status().heard_leader,
        this->group->status().members.voters.size(),
        this->demand.pressures(now).value_or(std::vector<dispatch::customer_pressure>{}).size()};
}

bool control_host::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto received = decode({reinterpret_cast<const char*>(payload.data()), payload.size()});
    if (!received) {
        return false;
    }
    if (const auto* each = std::get_if<report>(&*received)) {
        this->handle(from, *each);
        return true;
    }
    if (const auto* each = std::get_if<relay>(&*received)) {
        this->handle(from, *each);
        return true;
    }
    return false;
}

void control_host::handle(const shell::peer_identity& from, const report& received)
{
    const auto now = shell::monotonic_now();
    this->lag.record(now, this->group->machine().state().index, received.index);
    const auto result = this->attached.record_report(now, from.name, received, this->link->life());
    if (this->crashes.merge(now, received.crashes, dispatch::news_source::observed)) {
        this->relays.request();
    }
    this->demand.record_host(now, from.name, received.usage);
    if (!received.loads.empty()) {
        this->loads.merge(now, received.loads, dispatch::news_source::observed);
        this->relays.request();
    }
    if (result.is_behind) {
        this->events->write(shell::event{"entry_host_behind"}
                                .with("host", from.name)
                                .with("version", received.version.value())
                                .with("index", received.index.value())
                                .with("targets_revision", received.targets.value()));
    }
    if (!result.is_new && !result.is_behind && !result.changed_readiness && !result.changed_reach) {
        return;
    }
    this->events->write(shell::event{"entry_host"}
                            .with("host", from.name)
                            .with("ready", received.host.ready)
                            .with("reaches_targets", received.host.reaches_targets)
                            .with("version", received.version.value()));
    this->registry.record_hosts(this->name, this->attached.hosts(now), now);
    this->relays.request();
    // The others follow with the next step, together with those of the same time.
    if (const auto due = this->attached.due_update_of(now, from.name, this->make_view(now))) {
        this->send_update(*due);
    }
}

void control_host::handle(const shell::peer_identity& from, const relay& received)
{
    const auto now = shell::monotonic_now();
    this->control_domains[from.name] = received.host.domain;
    this->lag.record(now, this->group->machine().state().index, received.index);
    this->registry.record_hosts(from.name, received.entry_hosts, now);
    this->crashes.merge(now, received.crashes, dispatch::news_source::relayed);
    std::vector<dispatch::demand_ledger::heard_host> heard;
    for (const auto& each : received.entry_hosts) {
        heard.push_back({each.name, each.age});
    }
    this->demand.record_control_host(now, from.name, heard, received.usage);
    this->loads.merge(now, received.loads, dispatch::news_source::relayed);
    const auto read_at = now - received.list_age;
    const bool list_changed =
        received.list && this->catalog.record_reading(*received.list, read_at);
    if (!received.list && received.list_digest != 0) {
        this->catalog.confirm(received.list_digest, read_at);
    }
    if (list_changed) {
        this->events->write(shell::event{"list_relayed"}
                                .with("from", from.name)
                                .with("targets", this->catalog.size())
                                .with("age_ms", received.list_age));
        this->send_updates(now);
    }
}

void control_host::on_peer_change(const shell::peer_identity& peer, bool connected,
                                  std::string_view reason)
{
    this->events->write(
        connected ? shell::event{"peer_connected"}.with("peer", peer.name)
                  : shell::event{"peer_lost"}.with("peer", peer.name).with("why", reason));
    const auto now = shell::monotonic_now();
    if (connected) {
        // Brings another control host the state that it missed, without waiting for the interval.
        if (this->peer_names.contains(peer.name)) {
            this->send_relay(now, true, peer.name);
        }
        return;
    }
    this->registry.forget(peer.name);
    if (this->attached.detach(peer.name)) {
        this->registry.record_hosts(this->name, this->attached.hosts(now), now);
        this->relays.request();
    }
}

void control_host::on_group_progress()
{
    const auto group_status = this->group->status();
    this->report_group_failure(group_status);
    this->update_leader(group_status);
    const auto& state = this->group->machine().state();
    if (state.index != this->logged_index) {
        this->logged_index = state.index;
        this->events->write(shell::event{"agreed"}
                                .with("index", state.index.value())
                                .with("version", state.version.value())
                                .with("evacuated", state.evacuated.size()));
        this->send_updates(shell::monotonic_now());
    }
}

void control_host::report_group_failure(const consensus::replica_status& group_status)
{
    const auto failure = this->group->failure();
    if (failure == this->reported_group_failure) {
        return;
    }
    this->reported_group_failure = failure;
    if (!failure) {
        this->events->write(shell::event{"group_resumed"}
                                .with("term", group_status.term.value())
                                .with("log_index", group_status.last.value),
                            shell::event_weight::essential);
        return;
    }
    this->events->write(shell::event{"group_stopped"}
                            .with("why", *failure)
                            .with("term", group_status.term.value())
                            .with("log_index", group_status.last.value)
                            .with("commit_index", group_status.commit.value),
                        shell::event_weight::essential);
}

void control_host::update_leader(const consensus::replica_status& group_status)
{
    const bool is_leader_now =
        group_status.role == consensus::replica_role::leader && group_status.holds_lease;
    std::optional<std::string> leader_now;
    if (is_leader_now) {
        leader_now = this->name;
    }
    else if (group_status.leader) {
        leader_now = group_status.leader->host;
    }
    if (leader_now != this->leader) {
        this->events->write(shell::event{leader_now ? "leader_known" : "leader_lost"}
                                .with("leader", leader_now.value_or("none"))
                                .with("term", group_status.term.value()),
                            shell::event_weight::essential);
    }
    this->leader = std::move(leader_now);
    this->is_leader = is_leader_now;
    this->caught_up = group_status.caught_up;
}

asio::awaitable<void> control_host::run()
{
    while (!this->stopping) {
        const auto now = shell::monotonic_now();
        const auto group_status = this->group->status();
        this->refresh_peers(group_status);
        this->update_membership(group_status, now);
        this->report_lag(now);
        this->expire_attached_hosts(now);
        this->refresh_customer_limits();
        this->demand.step(now);
        if (this->demand.differs_from_told()) {
            this->relays.request();
        }
        if (!this->list_read_in_flight && this->is_list_reading_due(group_status, now)) {
            this->list_read_in_flight = true;
            asio::co_spawn(
                *this->context, [self = shared_from_this()] { return self->read_list(); },
                asio::detached);
        }
        this->send_due_relays(now);
        this->send_updates(now);
        this->timer.expires_after(housekeeping_interval);
        boost::system::error_code ignored;
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void control_host::refresh_customer_limits()
{
    const auto& state = this->group->machine().state();
    if (state.version == this->limits_version) {
        return;
    }
    this->limits_version = state.version;
    const auto decoded = this->callbacks.decode_configuration(state.text);
    std::vector<dispatch::customer_limit> limits;
    if (decoded && decoded->customers) {
        limits = limits_of(*decoded->customers);
    }
    this->demand.set_limits(limits);
    if (!limits.empty()) {
        this->events->write(shell::event{"customer_limits"}
                                .with("customers", limits.size())
                                .with("version", state.version.value()));
    }
}

void control_host::report_lag(time_point now)
{
    const auto own = this->group->machine().state().index;
    const bool behind = !this->is_leader && this->lag.is_behind(now, own);
    if (behind != this->reported_behind) {
        this->reported_behind = behind;
        this->events->write(shell::event{behind ? "group_behind" : "group_caught_up"}
                                .with("index", own.value())
                                .with("reported_index", this->lag.newest_index().value()),
                            shell::event_weight::essential);
    }
}

void control_host::expire_attached_hosts(time_point now)
{
    const auto expired = this->attached.expire(now);
    this->registry.record_hosts(this->name, this->attached.hosts(now), now);
    if (expired > 0) {
        this->events->write(shell::event{"entry_hosts_silent"}.with("count", expired));
        this->relays.request();
    }
}

// Keeps connections to all members of the group and to the seeds, which are the only known control
// hosts until there is a group.
void control_host::refresh_peers(const consensus::replica_status& group_status)
{
    std::set<std::string> new_peers;
    for (const auto* members : {&group_status.members.voters, &group_status.members.learners}) {
        for (const auto& each : *members) {
            new_peers.insert(each.host);
        }
    }
    for (const auto& each : this->settings.seeds) {
        new_peers.insert(to_string(each));
    }
    new_peers.erase(this->name);
    if (new_peers == this->peer_names) {
        return;
    }
    this->peer_names = new_peers;
    std::vector<shell::peer_address> addresses;
    for (const auto& each : new_peers) {
        if (const auto address = parse_ipv4_address(each)) {
            addresses.push_back({each, {*address, this->settings.peer_port}});
        }
    }
    this->link->set_peers(addresses);
}

// If this host is the leader: adds control hosts that apply for membership, one at a time, records
// where members are, and removes those that were replaced.
void control_host::update_membership(const consensus::replica_status& group_status, time_point now)
{
    if (!this->is_leader) {
        this->roster.reset();
        return;
    }
    const auto& members = group_status.members;
    this->roster.record_contact(now, members, [this](const std::string& host) {
        return host == this->name || this->link->connected(host);
    });
    for (const auto& each : group_status.applicants) {
        if (!member_on(members, each.host)) {
            this->events->write(shell::event{"control_host_admitted"}.with("host", each.host));
            this->group->add_member(each.host);
            return;
        }
    }
    const auto unrecorded = unrecorded_domains(members, this->control_domains);
    if (!unrecorded.empty()) {
        this->events->write(
            shell::event{"control_host_domains"}.with("recorded", unrecorded.size()));
        this->group->record_domains(unrecorded);
        return;
    }
    if (const auto host = this->roster.find_replaced(now, members)) {
        const auto domain = members.domains.find(*host);
        this->events->write(
            shell::event{"control_host_removed"}
                .with("host", *host)
                .with("domain", domain == members.domains.end() ? "unknown" : domain->second)
                .with("voters", members.voters.size()));
        this->group->remove_member(*host);
        this->roster.forget(*host);
    }
}

bool control_host::is_list_reading_due(const consensus::replica_status& group_status,
                                       time_point now)
{
    const auto& voters = group_status.members.voters;
    const bool votes = is_voter(group_status.members, group_status.self);
    const auto smaller = std::count_if(voters.begin(), voters.end(), [this](const auto& each) {
        return each.host < this->name && this->link->connected(each.host);
    });
    const auto rank = static_cast<std::uint32_t>(smaller);
    if (this->catalog.was_read() && this->catalog.read_at() > this->reading_failed_at) {
        this->failed_readings = 0;
    }
    if (now - this->reading_failed_at <
        pause_after_failures(this->failed_readings, this->is_leader, rank)) {
        return false;
    }
    if (!this->catalog.was_read()) {
        return should_read_first_list(votes, now - this->started_at);
    }
    return should_read_list(
        {this->is_leader, votes, rank, now - this->catalog.read_at(), this->settings.drain_time});
}

asio::awaitable<void> control_host::read_list()
{
    const auto started_at = shell::monotonic_now();
    target_list_result reading;
    // Not a conditional expression: g++ 12 miscompiles co_await in its operands.
    if (reads_by_domain(this->settings.regions.size(), this->calls_of_last_reading)) {
        reading = co_await this->read_list_by_domain();
    }
    else {
        std::string all_domains;
        reading = co_await this->callbacks.read_list(std::move(all_domains));
    }
    const auto now = shell::monotonic_now();
    this->list_read_in_flight = false;
    if (this->stopping) {
        co_return;
    }
    if (!reading) {
        ++this->failed_readings;
        this->reading_failed_at = now;
        this->events->write(shell::event{"list_failed"}
                                .with("why", reading.error())
                                .with("failed", this->failed_readings)
                                .with("held_age_ms", now - this->catalog.read_at()));
        co_return;
    }
    this->calls_of_last_reading = reading->calls;
    const bool list_changed = this->catalog.record_reading(std::move(reading->targets), started_at);
    if (list_changed) {
        this->events->write(shell::event{"list_read"}
                                .with("targets", this->catalog.size())
                                .with("revision", this->catalog.revision().value())
                                .with("calls", reading->calls)
                                .with("took_ms", now - started_at));
        this->send_updates(now);
    }
    this->send_relay(now, list_changed, std::nullopt);
}

asio::awaitable<target_list_result> control_host::read_list_by_domain()
{
    struct joined_reading {
        explicit joined_reading(asio::io_context& context) : all_ended{context} {}

        target_list_result result{target_list_reading{}};
        std::size_t pending{};
        // Never expires; cancelled when the last part has ended.
        asio::steady_timer all_ended;
    };
    const auto joined = std::make_shared<joined_reading>(*this->context);
    joined->all_ended.expires_at(std::chrono::steady_clock::time_point::max());
    joined->pending = this->settings.regions.size();
    for (const auto& [domain, region] : this->settings.regions) {
        asio::co_spawn(
            *this->context,
            [self = shared_from_this(), joined, domain = domain]() -> asio::awaitable<void> {
                auto part = co_await self->callbacks.read_list(domain);
                if (!part) {
                    joined->result = tl::unexpected{std::move(part.error())};
                }
                else if (joined->result) {
                    auto& targets = joined->result->targets;
                    targets.insert(targets.end(), part->targets.begin(), part->targets.end());
                    joined->result->calls += part->calls;
                }
                if (--joined->pending == 0) {
                    joined->all_ended.cancel();
                }
            },
            asio::detached);
    }
    if (joined->pending > 0) {
        boost::system::error_code ignored;
        co_await joined->all_ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(joined->result);
}

} // namespace bth::fleet
