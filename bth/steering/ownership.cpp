#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

ownership::ownership(incarnation life, ownership_settings settings) : life{life}, settings{settings}
{}

duration ownership::awake_at(time_point now) const
{
    if (!this->last_call || now <= *this->last_call) {
        return this->awake;
    }
    return this->awake + std::min(now - *this->last_call, this->settings.longest_step);
}

void ownership::look_at(time_point now)
{
    this->awake = this->awake_at(now);
    this->last_call = std::max(now, this->last_call.value_or(now));
}

// How long a promise lasts for the one who gave it: longer than the lease by the worst drift.
duration ownership::promise() const
{
    const double factor = 1.0 + this->settings.drift;
    return std::chrono::duration_cast<duration>(this->settings.lease * factor);
}

std::optional<std::size_t> ownership::rank_of(const group_row& group, host_id host) const
{
    for (std::size_t rank = 0; rank < group.candidates.size(); ++rank) {
        if (group.candidates.at(rank).host == host) {
            return rank;
        }
    }
    return std::nullopt;
}

// Time in which this process slept doesn't count: what was sent to it meanwhile may still wait.
bool ownership::unheard_for(host_id host, duration limit, time_point now) const
{
    const auto found = this->peers.find(host);
    const bool heard = found != this->peers.end() && found->second.heard;
    const duration since = heard ? *found->second.heard : duration{};
    const duration wait = heard ? limit : std::max(limit, this->settings.first_contact);
    return this->awake_at(now) - since >= wait;
}

bool ownership::silent(host_id host, time_point now) const
{
    return this->unheard_for(host, this->promise(), now);
}

bool ownership::gone(host_id host, time_point now) const
{
    return this->unheard_for(host, this->settings.gone_after, now);
}

time_point ownership::lease_end(const group_row& group, time_point now) const
{
    time_point end = now + this->settings.lease;
    std::size_t consenting = 1;
    for (const candidate_row& each : group.candidates) {
        if (each.host == this->self) {
            continue;
        }
        const bool consents = each.consent && now - *each.consent < this->settings.lease;
        if (consents) {
            ++consenting;
            end = std::min(end, *each.consent + this->settings.lease);
        }
        else if (this->gone(each.host, now)) {
            const auto found = this->peers.find(each.host);
            const time_point sent = found == this->peers.end() ? now : found->second.last_sent;
            end = std::min(end, sent + this->settings.lease);
        }
        else {
            return time_point::min();
        }
    }
    const bool majority = consenting * 2 > group.candidates.size();
    return majority || group.candidates.size() < 3 ? end : time_point::min();
}

bool ownership::claim_granted(const group_row& group, time_point now) const
{
    std::size_t consenting = 1;
    for (const candidate_row& each : group.candidates) {
        if (each.host == this->self) {
            continue;
        }
        if (each.consent && now - *each.consent < this->settings.lease) {
            ++consenting;
        }
        else if (!this->silent(each.host, now)) {
            return false;
        }
    }
    return group.candidates.size() < 3 || consenting * 2 > group.candidates.size();
}

void ownership::withdraw(group_row& group, time_point now) const
{
    group.now_in = phase::idle;
    group.own_wait = now + this->promise();
}

// `from` owns or claims the service: yields to it, and promises it if it isn't promised to another.
void ownership::consider(group_row& group, host_id from, bool owned, time_point now) const
{
    const auto theirs = this->rank_of(group, from);
    const auto mine = this->rank_of(group, this->self);
    const bool before_me = theirs && mine ? *theirs < *mine : theirs.has_value();
    if (group.now_in == phase::claiming && (owned || before_me)) {
        this->withdraw(group, now);
    }
    if (group.now_in == phase::owned && owned && before_me) {
        this->withdraw(group, now);
    }
    if (group.now_in != phase::idle) {
        return;
    }
    group.own_wait = now + this->promise();
    // An earlier life of this host may have promised a claimed service to another.
    const bool remembers = owned || this->awake >= this->promise();
    const bool free = remembers && (!group.promised_to || now >= group.promised_until);
    if (free || group.promised_to == from) {
        group.promised_to = from;
        group.promised_until = now + this->promise();
    }
}

// Ends ownerships whose lease has run out.
void ownership::system_leases(time_point now)
{
    for (group_row& group : this->groups) {
        if (group.now_in == phase::owned && now >= this->lease_end(group, now)) {
            this->withdraw(group, now);
        }
    }
}

// Begins and completes claims. Returns whether any did.
bool ownership::system_claims(time_point now)
{
    bool changed = false;
    for (group_row& group : this->groups) {
        const auto rank = this->rank_of(group, this->self);
        if (!group.present || !rank) {
            continue;
        }
        const bool handed = group.own_wait == time_point::min();
        const duration delay =
            handed ? duration{} : this->settings.rank_delay * static_cast<int>(*rank);
        const bool waited = handed || now >= group.own_wait + delay;
        const bool promised = group.promised_to && now < group.promised_until;
        if (group.now_in == phase::idle && waited && !promised && !this->leaving) {
            group.now_in = phase::claiming;
            group.claim_sequence = this->sequence + 1;
            for (candidate_row& each : group.candidates) {
                each.consent.reset();
            }
            changed = true;
        }
        if (group.now_in == phase::claiming && this->claim_granted(group, now)) {
            group.now_in = phase::owned;
            changed = true;
        }
    }
    return changed;
}

ownership::outgoing ownership::tick(time_point now)
{
    outgoing out;
    this->look_at(now);
    if (this->model == nullptr) {
        return out;
    }
    this->system_leases(now);
    if (this->system_claims(now)) {
        this->send_all(now, out);
        return out;
    }
    for (auto& [host, row] : this->peers) {
        if (row.regular && now >= row.next_due) {
            this->send(host, now, out);
        }
    }
    return out;
}

std::vector<due_handover> ownership::due(time_point now) const
{
    std::vector<due_handover> all;
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        const group_row& group = this->groups.at(index);
        if (group.now_in != phase::owned) {
            continue;
        }
        const auto mine = this->rank_of(group, this->self);
        const bool must = this->leaving || !mine;
        for (const candidate_row& each : group.candidates) {
            const host_id host = each.host;
            if (host == this->self) {
                if (must) {
                    continue;
                }
                break;
            }
            const auto found = this->peers.find(host);
            const bool usable = found != this->peers.end() && found->second.heard &&
                                !found->second.latest.leaving && !this->gone(host, now);
            if (usable && (must || this->awake - found->second.first_heard >=
                                       this->settings.rebalance_after)) {
                all.push_back({service_id::from_index(index), host});
                break;
            }
        }
    }
    return all;
}

bool ownership::owns(service_id service, time_point now) const
{
    return now < this->owned_until(service, now);
}

time_point ownership::owned_until(service_id service, time_point now) const
{
    if (service.index() >= this->groups.size()) {
        return time_point::min();
    }
    const group_row& group = this->groups.at(service.index());
    return group.now_in == phase::owned ? this->lease_end(group, now) : time_point::min();
}

void ownership::peer_lost(host_id peer)
{
    const auto found = this->peers.find(peer);
    if (found != this->peers.end()) {
        found->second.lost = true;
    }
}

bool ownership::reachable(host_id host, time_point now) const
{
    const auto found = this->peers.find(host);
    const bool lost = found != this->peers.end() && found->second.lost;
    return !lost && !this->gone(host, now);
}

std::optional<host_id> ownership::owner(service_id service, time_point now) const
{
    if (service.index() >= this->groups.size() || !this->groups.at(service.index()).present) {
        return std::nullopt;
    }
    const group_row& group = this->groups.at(service.index());
    if (this->owns(service, now)) {
        return this->self;
    }
    if (group.known_owner && this->reachable(*group.known_owner, now)) {
        return group.known_owner;
    }
    for (const candidate_row& each : group.candidates) {
        if (each.host == this->self || this->reachable(each.host, now)) {
            return each.host;
        }
    }
    return group.candidates.empty() ? std::nullopt : std::optional{group.candidates.front().host};
}

} // namespace bth::steering
