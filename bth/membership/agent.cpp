#include "bth/membership/agent.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::membership {

namespace {

// A host is a relay as long as control called it one within this time.
constexpr duration relay_timeout = std::chrono::milliseconds{3000};
// Changes of the confirmations are reported no more often than this.
constexpr duration summary_interval = std::chrono::milliseconds{100};
// A new revision has this time to reach all hosts before those without it are reported.
constexpr duration spreading_time = std::chrono::milliseconds{300};
constexpr duration far_probe_interval = std::chrono::milliseconds{1000};
// A relay that pulled at most this many edits at once passes them on; more are left to the others'
// own pulls.
constexpr std::size_t most_forwarded_edits = 8;
// After so many pulls without progress a snapshot is asked for.
constexpr std::uint32_t most_fruitless_pulls = 2;
constexpr std::size_t first_asked = 3;

constexpr auto never_heard = std::chrono::milliseconds{std::numeric_limits<std::uint32_t>::max()};

std::size_t pick(std::size_t count, std::mt19937_64& random)
{
    boost::random::uniform_int_distribution<std::size_t> index{0, count - 1};
    return index(random);
}

} // namespace

agent::agent(agent_settings settings, std::optional<config::text_table> stored)
    : settings{std::move(settings)}, random{this->settings.seed}, detector{{this->settings.self}},
      copy{std::move(stored), this->settings.durable}
{
    this->detector.set_members(this->settings.seeds);
    this->refresh_topology();
}

actions agent::tick(time_point now)
{
    actions out;
    if (!this->started) {
        this->started = now;
        this->ask_around(now, out);
    }
    for (outgoing_probe& each : this->detector.tick(now, this->stamp(now), this->random)) {
        this->send(out, each.to, std::move(each.what));
    }
    this->probe_far_host(now, out);
    this->settle(now, out);
    return out;
}

actions agent::receive(time_point now, const peer& from, const message& what)
{
    actions out;
    this->detector.heard_from(now, from);
    std::visit([&](const auto& each) { this->on(now, from, each, out); }, what);
    this->settle(now, out);
    return out;
}

actions agent::persisted(time_point now, revision upto)
{
    actions out;
    this->copy.persisted(upto);
    this->settle(now, out);
    return out;
}

void agent::persist_failed(time_point now)
{
    this->copy.persist_failed();
    this->persist_due = now + persist_retry_interval;
}

actions agent::in_use(time_point now)
{
    actions out;
    this->used = this->copy.in_force();
    this->used_since = now;
    this->send_confirmation(now, out);
    this->send_summary(now, false, out);
    return out;
}

void agent::on(time_point now, const peer& from, const probe_message& what, actions& out)
{
    this->take_stamp(now, from, what.stamp);
    for (outgoing_probe& each : this->detector.receive(now, from, what, this->stamp(now))) {
        this->send(out, each.to, std::move(each.what));
    }
}

void agent::on(time_point now, const peer& from, const delta_push& what, actions& out)
{
    if (this->relay.empty()) {
        this->set_relay(what.relay);
    }
    const take_result result = this->copy.take(what.delta);
    if (result == take_result::applied) {
        this->forward(what.relay, what.delta, out);
    }
    else if (result == take_result::gap) {
        const auto change = config::decode_delta(*what.delta);
        this->note_missing(now, from.host, change ? change->to : revision{});
    }
}

void agent::on(time_point /*now*/, const peer& from, const pull& what, actions& out)
{
    if (this->copy.newest_revision() > revision{}) {
        this->send(out, from.host, this->copy.answer(what));
    }
}

void agent::on(time_point now, const peer& from, const pull_answer& what, actions& out)
{
    if (!this->pulling || this->pulling->from != from.host) {
        return;
    }
    this->pulling.reset();
    const revision before = this->copy.newest_revision();
    const std::vector<shared_bytes> applied = this->copy.take(what);
    this->note_missing(now, from.host, what.at.at);
    if (this->copy.newest_revision() > before || this->copy.assembling()) {
        this->fruitless_pulls = 0;
        this->pull_on = true;
    }
    else if (this->behind()) {
        ++this->fruitless_pulls;
        this->missing.reset();
        if (this->fruitless_pulls >= most_fruitless_pulls) {
            this->copy.want_snapshot();
        }
    }
    if (this->is_relay(now) && applied.size() <= most_forwarded_edits) {
        for (const shared_bytes& bytes : applied) {
            this->forward(this->settings.self.host, bytes, out);
        }
    }
}

void agent::on(time_point /*now*/, const peer& from, const confirm& what, actions& out)
{
    if (!this->role) {
        return;
    }
    this->note_confirmed(from.host, what.in_force);
    this->send(out, from.host, confirm_answer{what.in_force});
}

void agent::on(time_point /*now*/, const peer& from, const confirm_answer& what, actions& /*out*/)
{
    if (from.host == this->relay) {
        this->confirmed_upto = std::max(this->confirmed_upto, what.in_force);
    }
}

void agent::on(time_point now, const peer& from, const control_heartbeat& what, actions& out)
{
    if (!this->role) {
        this->role.emplace();
    }
    this->role->control = from.host;
    this->role->last_heartbeat = now;
    this->control_heard = now;
    this->set_relay(what.relay);
    this->note_missing(now, from.host, what.accepted.at);
    this->send_summary(now, true, out);
}

void agent::on(time_point /*now*/, const peer& /*from*/, const domain_summary& /*what*/,
               actions& /*out*/)
{}

host_stamp agent::stamp(time_point now) const
{
    host_stamp said{this->used, this->relay, never_heard};
    if (this->control_heard) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->control_heard);
        said.control_age = std::clamp(age, std::chrono::milliseconds{0}, never_heard);
    }
    return said;
}

void agent::take_stamp(time_point now, const peer& from, const host_stamp& said)
{
    this->note_missing(now, from.host, said.in_force.at);
    this->note_confirmed(from.host, said.in_force.at);
    if (said.control_age >= never_heard) {
        return;
    }
    const time_point heard = now - said.control_age;
    if (!this->control_heard || heard > *this->control_heard) {
        this->control_heard = heard;
        if (!said.relay.empty() && this->is_member(from.host)) {
            this->set_relay(said.relay);
        }
    }
}

void agent::note_confirmed(const std::string& host, revision in_force)
{
    if (this->role && this->is_member(host)) {
        revision& known = this->role->confirmed[host];
        known = std::max(known, in_force);
    }
}

void agent::set_relay(const std::string& name)
{
    if (this->relay != name) {
        this->relay = name;
        this->confirmed_upto = revision{};
        this->last_confirm.reset();
    }
}

bool agent::is_relay(time_point now) const
{
    return this->role && now - this->role->last_heartbeat < relay_timeout;
}

bool agent::is_member(const std::string& host) const
{
    const auto& rows = this->detector.members();
    const auto place = std::lower_bound(
        rows.begin(), rows.end(), host,
        [](const member& row, const std::string& name) { return row.host < name; });
    return place != rows.end() && place->host == host;
}

bool agent::control_heard_lately(time_point now) const
{
    return this->control_heard && now - *this->control_heard < this->settings.control_timeout;
}

void agent::note_missing(time_point now, const std::string& holder, revision at)
{
    if (at <= this->copy.newest_revision()) {
        return;
    }
    if (!this->behind()) {
        this->missing = missing_revision{holder, at, now};
    }
    else if (at >= this->missing->at) {
        this->missing->holder = holder;
        this->missing->at = at;
    }
}

bool agent::behind() const
{
    return this->missing && this->missing->at > this->copy.newest_revision();
}

void agent::send(actions& out, const std::string& to, message what) const
{
    if (!to.empty() && to != this->settings.self.host) {
        out.emplace_back(send_message{to, std::move(what)});
    }
}

void agent::forward(const std::string& root, const shared_bytes& delta, actions& out) const
{
    for (const std::string& child : tree_children(
             this->detector.alive(), root, this->settings.self.host, this->settings.fan_out)) {
        this->send(out, child, delta_push{root, delta});
    }
}

void agent::refresh_topology()
{
    if (this->hosts_revision == this->copy.newest_revision()) {
        return;
    }
    this->hosts_revision = this->copy.newest_revision();
    const config::table_digest digest = hosts_digest(this->copy.table());
    if (digest == this->known_hosts) {
        return;
    }
    this->known_hosts = digest;
    this->hosts = hosts_of(this->copy.table());
    this->detector.set_members(hosts_in(this->hosts, this->settings.failure_domain));
}

// Does what follows from a changed table, a finished store or the time.
void agent::settle(time_point now, actions& out)
{
    this->refresh_topology();
    if (now >= this->persist_due) {
        if (auto order = this->copy.next_persist()) {
            out.emplace_back(std::move(*order));
        }
    }
    this->start_pull(now, out);
    this->update_ready(now);
    if (this->ready && this->copy.advance()) {
        out.emplace_back(take_into_force{this->copy.in_force()});
    }
    this->send_confirmation(now, out);
    this->send_summary(now, false, out);
}

void agent::start_pull(time_point now, actions& out)
{
    if (this->pulling && now - this->pulling->sent >= this->settings.answer_timeout) {
        this->pulling.reset();
        this->missing.reset();
    }
    if (!this->behind()) {
        this->pull_on = false;
    }
    if (this->pulling || !this->behind()) {
        return;
    }
    const bool on_its_way = now - this->missing->since < this->settings.pull_grace;
    if (on_its_way && this->ready && !this->pull_on) {
        return;
    }
    this->pull_on = false;
    this->pulling = pull_under_way{this->missing->holder, now};
    this->send(out, this->missing->holder, this->copy.next_pull());
}

void agent::send_confirmation(time_point now, actions& out)
{
    const revision at = this->used.at;
    if (this->relay.empty() || this->relay == this->settings.self.host ||
        at <= this->confirmed_upto) {
        return;
    }
    if (this->last_confirm && now - *this->last_confirm < this->settings.answer_timeout &&
        at == this->last_confirmed) {
        return;
    }
    this->last_confirm = now;
    this->last_confirmed = at;
    this->send(out, this->relay, confirm{at});
}

domain_summary agent::summary() const
{
    domain_summary said{this->used.at, 0, {}};
    if (this->relay != this->settings.self.host) {
        // Hosts confirm to the first relay only; this one can't tell and names none.
        said.unconfirmed_count = static_cast<std::uint32_t>(this->detector.members().size());
        return said;
    }
    for (const member& row : this->detector.members()) {
        const auto known = this->role->confirmed.find(row.host);
        const bool confirmed =
            row.host == this->settings.self.host ||
            (known != this->role->confirmed.end() && known->second >= said.in_force);
        if (confirmed) {
            continue;
        }
        ++said.unconfirmed_count;
        if (said.unconfirmed.size() < unconfirmed_limit) {
            said.unconfirmed.push_back(row.host);
        }
    }
    return said;
}

void agent::send_summary(time_point now, bool even_if_unchanged, actions& out)
{
    if (!this->is_relay(now)) {
        return;
    }
    const bool too_soon =
        this->role->last_summary && now - *this->role->last_summary < summary_interval;
    if (too_soon && !even_if_unchanged) {
        return;
    }
    domain_summary said = this->summary();
    const bool still_spreading =
        said.unconfirmed_count > 0 && now - this->used_since < spreading_time;
    if (!even_if_unchanged && (still_spreading || said == this->role->last_sent)) {
        return;
    }
    this->role->last_summary = now;
    this->role->last_sent = said;
    this->send(out, this->role->control, std::move(said));
}

// A host that has just started asks a few others at once, in place of waiting for its probes.
void agent::ask_around(time_point now, actions& out)
{
    std::vector<std::string> names = this->settings.seeds;
    for (const member& row : this->detector.members()) {
        names.push_back(row.host);
    }
    for (std::size_t asked = 0; asked < first_asked && !names.empty(); ++asked) {
        const std::size_t index = pick(names.size(), this->random);
        this->send(out, names[index],
                   probe_message{probe_kind::probe, 0, {}, this->stamp(now), {}});
        std::erase(names, std::string{names[index]});
    }
}

// While control isn't heard, another failure domain may still hear it.
void agent::probe_far_host(time_point now, actions& out)
{
    if (this->control_heard_lately(now) || now < this->next_far_probe || this->hosts.empty()) {
        return;
    }
    this->next_far_probe = now + far_probe_interval;
    const host_place& far = this->hosts[pick(this->hosts.size(), this->random)];
    if (far.failure_domain != this->settings.failure_domain) {
        this->send(out, far.host, probe_message{probe_kind::probe, 0, {}, this->stamp(now), {}});
    }
}

void agent::update_ready(time_point now)
{
    if (this->ready || !this->started || this->copy.newest_revision() == revision{} ||
        this->behind()) {
        return;
    }
    this->ready =
        this->control_heard_lately(now) || now - *this->started >= this->settings.learn_limit;
}

agent_status agent::status(time_point now) const
{
    agent_status said;
    said.in_force = this->used;
    said.newest = this->copy.newest_revision();
    if (this->control_heard) {
        said.control_age = now - *this->control_heard;
    }
    said.relay = this->relay;
    said.cut_off = !this->control_heard_lately(now);
    said.ready = this->ready;
    return said;
}

} // namespace bth::membership
