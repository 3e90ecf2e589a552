#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

ownership::ownership(incarnation incarnation_number, ownership_settings settings)
    : incarnation_number{incarnation_number}, settings{settings}
{}

duration ownership::awake_at(time_point now) const
{
    if (!this->last_update || now <= *this->last_update) {
        return this->awake;
    }
    return this->awake + std::min(now - *this->last_update, this->settings.max_awake_step);
}

void ownership::update_awake_time(time_point now)
{
    this->awake = this->awake_at(now);
    this->last_update = std::max(now, this->last_update.value_or(now));
}

// Returns how long a promise binds the host that gave it: longer than the lease by the maximum
// clock drift.
duration ownership::promise_duration() const
{
    const double factor = 1.0 + this->settings.clock_drift;
    return std::chrono::duration_cast<duration>(this->settings.lease * factor);
}

std::optional<std::size_t> ownership::rank_of(const candidate_group& group, host_id host) const
{
    for (std::size_t rank = 0; rank < group.candidates.size(); ++rank) {
        if (group.candidates.at(rank).host == host) {
            return rank;
        }
    }
    return std::nullopt;
}

// Returns whether no heartbeat has come from the host for `limit`. Time in which this process was
// suspended doesn't count, since heartbeats sent meanwhile may not have been received yet.
bool ownership::unseen_for(host_id host, duration limit, time_point now) const
{
    const auto found = this->peers.find(host);
    const bool ever_seen = found != this->peers.end() && found->second.last_seen;
    const duration seen_at = ever_seen ? *found->second.last_seen : duration{};
    const duration effective_limit =
        ever_seen ? limit : std::max(limit, this->settings.first_contact_timeout);
    return this->awake_at(now) - seen_at >= effective_limit;
}

bool ownership::presumed_dead(host_id host, time_point now) const
{
    return this->unseen_for(host, this->promise_duration(), now);
}

bool ownership::heartbeat_overdue(host_id host, time_point now) const
{
    return this->unseen_for(host, this->settings.overdue_after, now);
}

time_point ownership::lease_end(const candidate_group& group, time_point now) const
{
    time_point end = now + this->settings.lease;
    std::size_t acknowledging = 1;
    for (const candidate_row& each : group.candidates) {
        if (each.host == this->self) {
            continue;
        }
        const bool acknowledged =
            each.acked_send_time && now - *each.acked_send_time < this->settings.lease;
        if (acknowledged) {
            ++acknowledging;
            end = std::min(end, *each.acked_send_time + this->settings.lease);
        }
        else if (this->heartbeat_overdue(each.host, now)) {
            const auto found = this->peers.find(each.host);
            const time_point sent = found == this->peers.end() ? now : found->second.last_sent;
            end = std::min(end, sent + this->settings.lease);
        }
        else {
            return time_point::min();
        }
    }
    const bool majority = acknowledging * 2 > group.candidates.size();
    return majority || group.candidates.size() < 3 ? end : time_point::min();
}

bool ownership::claim_granted(const candidate_group& group, time_point now) const
{
    std::size_t acknowledging = 1;
    for (const candidate_row& each : group.candidates) {
        if (each.host == this->self) {
            continue;
        }
        if (each.acked_send_time && now - *each.acked_send_time < this->settings.lease) {
            ++acknowledging;
        }
        else if (!this->presumed_dead(each.host, now)) {
            return false;
        }
    }
    return group.candidates.size() < 3 || acknowledging * 2 > group.candidates.size();
}

// Ends the claim or ownership of this host, which may claim the service again only after a promise
// would have expired.
void ownership::withdraw(candidate_group& group, time_point now) const
{
    group.phase = claim_phase::idle;
    group.claim_not_before = now + this->promise_duration();
}

// Handles that `from` owns or claims the service. Ends a conflicting claim or ownership of this
// host if `from` has precedence, and promises the service to `from` if it isn't promised to another
// host.
void ownership::consider_claim(candidate_group& group, host_id from, bool owned,
                               time_point now) const
{
    const auto their_rank = this->rank_of(group, from);
    const auto own_rank = this->rank_of(group, this->self);
    const bool ranks_before_self =
        their_rank && own_rank ? *their_rank < *own_rank : their_rank.has_value();
    if (group.phase == claim_phase::claiming && (owned || ranks_before_self)) {
        this->withdraw(group, now);
    }
    if (group.phase == claim_phase::owned && owned && ranks_before_self) {
        this->withdraw(group, now);
    }
    if (group.phase != claim_phase::idle) {
        return;
    }
    group.claim_not_before = now + this->promise_duration();
    // An earlier incarnation of this host may have promised the service to another host. Such a
    // promise has expired once this process has been awake for promise_duration, so a claim gets
    // no promise earlier. If `from` owns the service already, there is no wait.
    const bool promises_known = owned || this->awake >= this->promise_duration();
    const bool free = promises_known && (!group.promised_to || now >= group.promised_until);
    if (free || group.promised_to == from) {
        group.promised_to = from;
        group.promised_until = now + this->promise_duration();
    }
}

// Ends ownerships whose lease has expired.
void ownership::expire_leases(time_point now)
{
    for (candidate_group& group : this->groups) {
        if (group.phase == claim_phase::owned && now >= this->lease_end(group, now)) {
            this->withdraw(group, now);
        }
    }
}

// Starts and completes claims. Returns whether any claim changed its phase.
bool ownership::advance_claims(time_point now)
{
    bool changed = false;
    for (candidate_group& group : this->groups) {
        const auto rank = this->rank_of(group, this->self);
        if (!group.has_targets || !rank) {
            continue;
        }
        const bool handed_over = group.claim_not_before == time_point::min();
        const duration delay =
            handed_over ? duration{} : this->settings.rank_delay * static_cast<int>(*rank);
        const bool waited = handed_over || now >= group.claim_not_before + delay;
        const bool promised = group.promised_to && now < group.promised_until;
        if (group.phase == claim_phase::idle && waited && !promised && !this->leaving) {
            group.phase = claim_phase::claiming;
            group.claim_sequence = this->sequence + 1;
            for (candidate_row& each : group.candidates) {
                each.acked_send_time.reset();
            }
            changed = true;
        }
        if (group.phase == claim_phase::claiming && this->claim_granted(group, now)) {
            group.phase = claim_phase::owned;
            changed = true;
        }
    }
    return changed;
}

ownership::outgoing ownership::tick(time_point now)
{
    outgoing out;
    this->update_awake_time(now);
    if (this->model == nullptr) {
        return out;
    }
    this->expire_leases(now);
    if (this->advance_claims(now)) {
        this->send_all(now, out);
        return out;
    }
    for (auto& [host, row] : this->peers) {
        if (row.periodic && now >= row.next_due) {
            this->send(host, now, out);
        }
    }
    return out;
}

std::vector<due_handover> ownership::due_handovers(time_point now) const
{
    std::vector<due_handover> all;
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        const candidate_group& group = this->groups.at(index);
        if (group.phase != claim_phase::owned) {
            continue;
        }
        const auto own_rank = this->rank_of(group, this->self);
        const bool must_hand_over = this->leaving || !own_rank;
        for (const candidate_row& each : group.candidates) {
            const host_id host = each.host;
            if (host == this->self) {
                if (must_hand_over) {
                    continue;
                }
                break;
            }
            const auto found = this->peers.find(host);
            const bool usable = found != this->peers.end() && found->second.last_seen &&
                                !found->second.latest.leaving &&
                                !this->heartbeat_overdue(host, now);
            if (usable && (must_hand_over || this->awake - found->second.first_seen >=
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
    const candidate_group& group = this->groups.at(service.index());
    return group.phase == claim_phase::owned ? this->lease_end(group, now) : time_point::min();
}

void ownership::peer_lost(host_id peer)
{
    const auto found = this->peers.find(peer);
    if (found != this->peers.end()) {
        found->second.disconnected = true;
    }
}

bool ownership::reachable(host_id host, time_point now) const
{
    const auto found = this->peers.find(host);
    const bool disconnected = found != this->peers.end() && found->second.disconnected;
    return !disconnected && !this->heartbeat_overdue(host, now);
}

std::optional<host_id> ownership::owner(service_id service, time_point now) const
{
    if (service.index() >= this->groups.size() || !this->groups.at(service.index()).has_targets) {
        return std::nullopt;
    }
    const candidate_group& group = this->groups.at(service.index());
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
