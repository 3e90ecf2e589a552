#include "bth/membership/publisher.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace bth::membership {

publisher::publisher(publisher_settings settings) : settings{settings} {}

void publisher::set_active(time_point now, bool active)
{
    if (active && !this->active) {
        for (domain_row& row : this->rows) {
            row.first.last_heard = now;
            row.second.last_heard = now;
        }
        this->next_heartbeat = now;
    }
    this->active = active;
}

actions publisher::publish(time_point now, const config::text_table& accepted)
{
    actions out;
    if (accepted.at() <= this->newest.at()) {
        return out;
    }
    const bool first = this->newest.at() == revision{};
    const config::delta change = config::difference(this->newest, accepted);
    const auto bytes = std::make_shared<const std::string>(config::encode(change));
    this->newest = accepted;
    if (!first) {
        this->edits.add(change.from, change.to, bytes);
    }
    this->refresh_hosts(now);
    if (!this->active) {
        return out;
    }
    for (const domain_row& row : this->rows) {
        const std::string& relay = row.host_at(row.first);
        if (!first) {
            out.emplace_back(send_message{relay, delta_push{relay, bytes}});
        }
        if (first || row.hosts.size() > 1) {
            this->send_heartbeat(row, row.host_at(first ? row.first : row.second), out);
        }
    }
    return out;
}

void publisher::refresh_hosts(time_point now)
{
    const config::table_digest digest = hosts_digest(this->newest);
    if (digest == this->known_hosts) {
        return;
    }
    this->known_hosts = digest;
    std::map<std::string, std::vector<std::string>> by_domain;
    for (host_place& place : hosts_of(this->newest)) {
        by_domain[place.failure_domain].push_back(std::move(place.host));
    }
    std::vector<domain_row> next;
    for (auto& [name, hosts] : by_domain) {
        domain_row row{name, hosts, {0, now}, {1, now}, {}, {}};
        const auto old =
            std::find_if(this->rows.begin(), this->rows.end(),
                         [&](const domain_row& each) { return each.name == row.name; });
        if (old != this->rows.end() && old->hosts == row.hosts) {
            row = *old;
        }
        next.push_back(std::move(row));
    }
    this->rows = std::move(next);
    std::map<std::string, revision> known;
    for (const domain_row& row : this->rows) {
        for (const std::string& host : row.hosts) {
            known[host] = this->confirmed[host];
        }
    }
    this->confirmed = std::move(known);
}

void publisher::replace_silent(time_point now, domain_row& row) const
{
    const auto replace = [&](relay_slot& slot, const relay_slot& other) {
        if (now - slot.last_heard < this->settings.relay_timeout) {
            return;
        }
        ++slot.index;
        if (row.hosts.size() > 1 && row.host_at(slot) == row.host_at(other)) {
            ++slot.index;
        }
        slot.last_heard = now;
    };
    // A second relay that was heard becomes the first at once.
    const bool first_silent = now - row.first.last_heard >= this->settings.relay_timeout;
    const bool second_heard = row.second.last_heard > row.first.last_heard;
    if (first_silent && second_heard) {
        std::swap(row.first, row.second);
    }
    replace(row.first, row.second);
    replace(row.second, row.first);
}

void publisher::send_heartbeat(const domain_row& row, const std::string& to, actions& out) const
{
    const config_mark accepted{this->newest.at(), this->newest.digest()};
    out.emplace_back(send_message{to, control_heartbeat{accepted, row.host_at(row.first)}});
}

void publisher::send_heartbeats(const domain_row& row, actions& out) const
{
    this->send_heartbeat(row, row.host_at(row.first), out);
    if (row.hosts.size() > 1) {
        this->send_heartbeat(row, row.host_at(row.second), out);
    }
}

actions publisher::tick(time_point now)
{
    actions out;
    if (!this->active || now < this->next_heartbeat) {
        return out;
    }
    this->next_heartbeat = now + this->settings.heartbeat_interval;
    for (domain_row& row : this->rows) {
        this->replace_silent(now, row);
        this->send_heartbeats(row, out);
    }
    return out;
}

actions publisher::receive(time_point now, const peer& from, const message& what)
{
    actions out;
    if (const auto* request = std::get_if<pull>(&what); request != nullptr) {
        if (this->newest.at() > revision{}) {
            out.emplace_back(
                send_message{from.host, answer_pull(*request, this->newest, this->edits)});
        }
    }
    else if (const auto* said = std::get_if<domain_summary>(&what); said != nullptr) {
        this->take_summary(now, from, *said);
    }
    return out;
}

void publisher::take_summary(time_point now, const peer& from, const domain_summary& said)
{
    for (domain_row& row : this->rows) {
        if (std::find(row.hosts.begin(), row.hosts.end(), from.host) == row.hosts.end()) {
            continue;
        }
        row.last_heard = now;
        if (row.host_at(row.second) == from.host) {
            row.second.last_heard = now;
        }
        if (row.host_at(row.first) != from.host) {
            continue;
        }
        row.first.last_heard = now;
        row.in_force = said.in_force;
        if (said.unconfirmed.size() < said.unconfirmed_count) {
            continue;
        }
        for (const std::string& host : row.hosts) {
            const bool missing = std::find(said.unconfirmed.begin(), said.unconfirmed.end(),
                                           host) != said.unconfirmed.end();
            revision& known = this->confirmed[host];
            known = missing ? known : std::max(known, said.in_force);
        }
    }
}

std::vector<std::string> publisher::unconfirmed(revision at) const
{
    std::vector<std::string> names;
    for (const auto& [host, in_force] : this->confirmed) {
        if (in_force < at) {
            names.push_back(host);
        }
    }
    return names;
}

std::vector<std::string> publisher::relays() const
{
    std::vector<std::string> names;
    for (const domain_row& row : this->rows) {
        if (this->active) {
            names.push_back(row.host_at(row.first));
        }
        if (this->active && row.hosts.size() > 1) {
            names.push_back(row.host_at(row.second));
        }
    }
    return names;
}

std::vector<domain_status> publisher::domains(time_point now) const
{
    std::vector<domain_status> all;
    for (const domain_row& row : this->rows) {
        domain_status said{row.name, row.host_at(row.first), {}, row.in_force};
        if (row.last_heard) {
            said.age = now - *row.last_heard;
        }
        all.push_back(std::move(said));
    }
    return all;
}

} // namespace bth::membership
