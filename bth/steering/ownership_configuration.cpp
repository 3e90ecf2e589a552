#include "bth/steering/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace bth::steering {

namespace {

std::vector<service_id> remapped(const std::vector<service_id>& list, const model_map& change)
{
    std::vector<service_id> out;
    for (const service_id service : list) {
        if (const auto id = change.find(service)) {
            out.push_back(*id);
        }
    }
    return out;
}

std::uint64_t rendezvous_weight(const config::model& in, host_id host, service_id service)
{
    const std::string& service_name = in.at(service).name;
    const std::string& host_name = in.at(host).name;
    const std::uint64_t seed = XXH64(service_name.data(), service_name.size(), 0);
    return XXH64(host_name.data(), host_name.size(), seed);
}

std::vector<bool> services_with_targets(const config::model& in, domain_id domain)
{
    std::vector<bool> has_targets(in.services.size(), false);
    for (const config::target& each : in.targets) {
        if (each.domain == domain) {
            has_targets.at(each.service.index()) = true;
        }
    }
    return has_targets;
}

} // namespace

std::vector<host_id> owner_candidates(const config::model& in, domain_id domain, service_id service)
{
    std::vector<std::pair<std::uint64_t, host_id>> ranked;
    for (std::size_t index = 0; index < in.hosts.size(); ++index) {
        const auto host = host_id::from_index(index);
        if (in.at(host).domain == domain) {
            ranked.emplace_back(rendezvous_weight(in, host, service), host);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>{});
    ranked.resize(std::min(ranked.size(), max_owner_candidates));
    std::vector<host_id> hosts;
    hosts.reserve(ranked.size());
    for (const auto& [unused, host] : ranked) {
        hosts.push_back(host);
    }
    return hosts;
}

void ownership::apply(std::shared_ptr<const config::model> next, revision number, host_id self,
                      time_point now)
{
    this->update_awake_time(now);
    std::vector<candidate_group> before = std::move(this->groups);
    std::map<host_id, peer_state> known = std::move(this->peers);
    this->groups.assign(next->services.size(), {});
    this->peers.clear();
    const domain_id domain = next->at(self).domain;
    const auto has_targets = services_with_targets(*next, domain);
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        candidate_group& group = this->groups.at(index);
        group.has_targets = has_targets.at(index);
        group.claim_not_before = now + this->promise_duration();
        if (!group.has_targets) {
            continue;
        }
        for (const host_id host : owner_candidates(*next, domain, service_id::from_index(index))) {
            // A new candidate waits before its first claim like a host that has just started. This
            // wait counts as its first acknowledgement.
            group.candidates.push_back({host, now});
        }
    }
    if (this->model != nullptr) {
        this->carry_over(before, known, model_map{*this->model, *next});
    }
    this->model = std::move(next);
    this->configuration = number;
    this->self = self;
    this->update_periodic_peers(now);
}

// Copies the state of groups and peers to their ids in a new configuration.
void ownership::carry_over(const std::vector<candidate_group>& before,
                           std::map<host_id, peer_state>& known, const model_map& change)
{
    for (auto& [host, row] : known) {
        if (const auto id = change.find(host)) {
            row.latest.owned = remapped(row.latest.owned, change);
            row.latest.claimed = remapped(row.latest.claimed, change);
            row.unpromised = remapped(row.unpromised, change);
            this->peers[*id] = std::move(row);
        }
    }
    for (std::size_t index = 0; index < before.size(); ++index) {
        const auto id = change.find(service_id::from_index(index));
        if (id && this->groups.at(id->index()).has_targets) {
            this->carry_over(before.at(index), this->groups.at(id->index()), change);
        }
    }
}

void ownership::carry_over(const candidate_group& old, candidate_group& group,
                           const model_map& change) const
{
    group.phase = old.phase;
    group.claim_sequence = old.claim_sequence;
    group.promised_until = old.promised_until;
    if (old.promised_to) {
        group.promised_to = change.find(*old.promised_to);
    }
    if (old.known_owner) {
        group.known_owner = change.find(*old.known_owner);
    }
    for (const candidate_row& each : old.candidates) {
        const auto host = change.find(each.host);
        const auto rank = host ? this->rank_of(group, *host) : std::nullopt;
        if (rank) {
            group.candidates.at(*rank).acked_send_time = each.acked_send_time;
        }
    }
}

// Sends periodic heartbeats to the other candidates of every service for which this host is a
// candidate or the owner.
void ownership::update_periodic_peers(time_point now)
{
    for (auto& [host, row] : this->peers) {
        row.periodic = false;
    }
    for (const candidate_group& group : this->groups) {
        if (!this->rank_of(group, this->self) && group.phase != claim_phase::owned) {
            continue;
        }
        for (const candidate_row& each : group.candidates) {
            if (each.host != this->self) {
                peer_state& row = this->peers[each.host];
                row.periodic = true;
                row.next_due = std::min(row.next_due, now);
            }
        }
    }
}

} // namespace bth::steering
