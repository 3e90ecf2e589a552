#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

bool contains(const std::vector<service_id>& list, service_id service)
{
    return std::find(list.begin(), list.end(), service) != list.end();
}

} // namespace

void ownership::record_acknowledgements(host_id from, const heartbeat& message,
                                        std::optional<time_point> sent_at)
{
    if (!sent_at) {
        return;
    }
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        candidate_group& group = this->groups.at(index);
        const auto rank = this->rank_of(group, from);
        const auto service = service_id::from_index(index);
        const bool refused = contains(message.owned, service) ||
                             contains(message.claimed, service) ||
                             contains(message.denied, service);
        if (group.phase == claim_phase::idle || !rank || refused ||
            message.acked_sequence < group.claim_sequence) {
            continue;
        }
        auto& acked_send_time = group.candidates.at(*rank).acked_send_time;
        acked_send_time = std::max(acked_send_time.value_or(*sent_at), *sent_at);
    }
}

void ownership::process_claims(host_id from, peer_state& peer, time_point now)
{
    peer.unpromised.clear();
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        candidate_group& group = this->groups.at(index);
        const auto service = service_id::from_index(index);
        const bool owned = contains(peer.latest.owned, service);
        const bool named = owned || contains(peer.latest.claimed, service);
        if (!group.has_targets) {
            continue;
        }
        if (owned) {
            group.known_owner = from;
        }
        else if (group.known_owner == from) {
            group.known_owner.reset();
        }
        if (named) {
            this->consider_claim(group, from, owned, now);
            if (group.phase != claim_phase::idle || group.promised_to != from) {
                peer.unpromised.push_back(service);
            }
        }
        else if (group.promised_to == from) {
            // The peer no longer owns or claims the service. This host still waits before its own
            // claim.
            group.promised_to.reset();
        }
    }
}

ownership::outgoing ownership::receive(host_id from, const heartbeat& message, time_point now)
{
    outgoing out;
    this->update_awake_time(now);
    if (this->model == nullptr) {
        return out;
    }
    this->expire_leases(now);
    peer_state& peer = this->peers[from];
    const bool known = peer.last_seen.has_value();
    const bool old_incarnation =
        known && message.incarnation_number < peer.latest.incarnation_number;
    const bool same_incarnation =
        known && message.incarnation_number == peer.latest.incarnation_number;
    if (old_incarnation || (same_incarnation && message.sequence <= peer.latest.sequence)) {
        return out;
    }
    if (!same_incarnation) {
        peer.first_seen = this->awake;
    }
    peer.last_seen = this->awake;
    peer.disconnected = false;
    peer.latest = message;
    std::optional<time_point> sent_at;
    while (message.acked_incarnation_number == this->incarnation_number && !peer.sent.empty() &&
           peer.sent.front().sequence <= message.acked_sequence) {
        if (peer.sent.front().sequence == message.acked_sequence) {
            sent_at = peer.sent.front().at;
        }
        peer.sent.pop_front();
    }
    this->process_claims(from, peer, now);
    this->record_acknowledgements(from, message, sent_at);
    const bool changed = this->advance_claims(now);
    if (changed) {
        this->send_all(now, out);
    }
    else if (!message.claimed.empty() || !peer.periodic) {
        this->send(from, now, out);
    }
    return out;
}

ownership::outgoing ownership::accept_handover(host_id from, const handover& message,
                                               time_point now)
{
    outgoing out;
    this->update_awake_time(now);
    if (message.service.index() >= this->groups.size()) {
        return out;
    }
    candidate_group& group = this->groups.at(message.service.index());
    if (group.phase != claim_phase::idle || !this->rank_of(group, this->self) || this->leaving) {
        return out;
    }
    if (group.promised_to == from) {
        group.promised_to.reset();
    }
    group.claim_not_before = time_point::min();
    if (this->advance_claims(now)) {
        this->send_all(now, out);
    }
    return out;
}

ownership::outgoing ownership::give_up(service_id service, time_point now)
{
    outgoing out;
    this->withdraw(this->groups.at(service.index()), now);
    this->send_all(now, out);
    return out;
}

heartbeat ownership::compose(host_id to, peer_state& peer, time_point now)
{
    heartbeat out;
    out.incarnation_number = this->incarnation_number;
    out.configuration = this->configuration;
    out.digest = this->digest;
    out.leaving = this->leaving;
    out.unable = this->unable;
    out.sequence = ++this->sequence;
    out.acked_incarnation_number = peer.latest.incarnation_number;
    out.acked_sequence = peer.latest.sequence;
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        candidate_group& group = this->groups.at(index);
        const auto service = service_id::from_index(index);
        if (contains(peer.unpromised, service) && group.phase == claim_phase::idle) {
            this->consider_claim(group, to, contains(peer.latest.owned, service), now);
            if (group.promised_to == to) {
                std::erase(peer.unpromised, service);
            }
            else {
                out.denied.push_back(service);
            }
        }
        if (group.phase == claim_phase::owned) {
            out.owned.push_back(service);
        }
        else if (group.phase == claim_phase::claiming) {
            out.claimed.push_back(service);
        }
    }
    return out;
}

void ownership::send(host_id to, time_point now, outgoing& out)
{
    peer_state& peer = this->peers[to];
    heartbeat message = this->compose(to, peer, now);
    peer.sent.push_back({message.sequence, now});
    while (now - peer.sent.front().at > this->settings.lease) {
        peer.sent.pop_front();
    }
    peer.last_sent = now;
    peer.next_due = now + this->settings.heartbeat_interval;
    out.push_back({to, std::move(message)});
}

void ownership::send_all(time_point now, outgoing& out)
{
    for (auto& [host, row] : this->peers) {
        if (row.periodic) {
            this->send(host, now, out);
        }
    }
}

} // namespace bth::steering
