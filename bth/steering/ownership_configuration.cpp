#include "bth/steering/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace bth::steering {

namespace {

std::vector<service_id> mapped(const std::vector<service_id>& list, const model_map& change)
{
    std::vector<service_id> out;
    for (const service_id service : list) {
        if (const auto id = change.find(service)) {
            out.push_back(*id);
        }
    }
    return out;
}

std::uint64_t weight(const config::model& in, host_id host, service_id service)
{
    const std::string& service_name = in.at(service).name;
    const std::string& host_name = in.at(host).name;
    const std::uint64_t seed = XXH64(service_name.data(), service_name.size(), 0);
    return XXH64(host_name.data(), host_name.size(), seed);
}

std::vector<bool> services_present(const config::model& in, domain_id domain)
{
    std::vector<bool> present(in.services.size(), false);
    for (const config::target& each : in.targets) {
        if (each.domain == domain) {
            present.at(each.service.index()) = true;
        }
    }
    return present;
}

} // namespace

std::vector<host_id> owner_candidates(const config::model& in, domain_id domain, service_id service)
{
    std::vector<std::pair<std::uint64_t, host_id>> ranked;
    for (std::size_t index = 0; index < in.hosts.size(); ++index) {
        const auto host = host_id::from_index(index);
        if (in.at(host).domain == domain) {
            ranked.emplace_back(weight(in, host, service), host);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>{});
    ranked.resize(std::min(ranked.size(), most_candidates));
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
    this->look_at(now);
    std::vector<group_row> before = std::move(this->groups);
    std::map<host_id, peer_row> known = std::move(this->peers);
    this->groups.assign(next->services.size(), {});
    this->peers.clear();
    const domain_id domain = next->at(self).domain;
    const auto present = services_present(*next, domain);
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        group_row& group = this->groups.at(index);
        group.present = present.at(index);
        group.own_wait = now + this->promise();
        if (!group.present) {
            continue;
        }
        for (const host_id host : owner_candidates(*next, domain, service_id::from_index(index))) {
            // A new candidate waits as a host that has just started: that is its first promise.
            group.candidates.push_back({host, now});
        }
    }
    if (this->model != nullptr) {
        this->carry_over(before, known, model_map{*this->model, *next});
    }
    this->model = std::move(next);
    this->configuration = number;
    this->self = self;
    this->plan_peers(now);
}

// Puts what is known of groups and peers into the rows of a new configuration.
void ownership::carry_over(const std::vector<group_row>& before, std::map<host_id, peer_row>& known,
                           const model_map& change)
{
    for (auto& [host, row] : known) {
        if (const auto id = change.find(host)) {
            row.latest.owned = mapped(row.latest.owned, change);
            row.latest.claimed = mapped(row.latest.claimed, change);
            row.unpromised = mapped(row.unpromised, change);
            this->peers[*id] = std::move(row);
        }
    }
    for (std::size_t index = 0; index < before.size(); ++index) {
        const auto id = change.find(service_id::from_index(index));
        if (id && this->groups.at(id->index()).present) {
            this->carry_over(before.at(index), this->groups.at(id->index()), change);
        }
    }
}

void ownership::carry_over(const group_row& old, group_row& group, const model_map& change) const
{
    group.now_in = old.now_in;
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
            group.candidates.at(*rank).consent = each.consent;
        }
    }
}

// Regular peers are the other candidates of every service that this host may own or owns.
void ownership::plan_peers(time_point now)
{
    for (auto& [host, row] : this->peers) {
        row.regular = false;
    }
    for (const group_row& group : this->groups) {
        if (!this->rank_of(group, this->self) && group.now_in != phase::owned) {
            continue;
        }
        for (const candidate_row& each : group.candidates) {
            if (each.host != this->self) {
                peer_row& row = this->peers[each.host];
                row.regular = true;
                row.next_due = std::min(row.next_due, now);
            }
        }
    }
}

} // namespace bth::steering
