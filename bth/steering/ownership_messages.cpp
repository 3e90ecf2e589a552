#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

bool names(const std::vector<service_id>& list, service_id service)
{
    return std::find(list.begin(), list.end(), service) != list.end();
}

} // namespace

void ownership::take_consents(host_id from, const heartbeat& message,
                              std::optional<time_point> sent_at)
{
    if (!sent_at) {
        return;
    }
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        group_row& group = this->groups.at(index);
        const auto rank = this->rank_of(group, from);
        const auto service = service_id::from_index(index);
        const bool refused = names(message.owned, service) || names(message.claimed, service) ||
                             names(message.denied, service);
        if (group.now_in == phase::idle || !rank || refused ||
            message.acked_sequence < group.claim_sequence) {
            continue;
        }
        auto& consent = group.candidates.at(*rank).consent;
        consent = std::max(consent.value_or(*sent_at), *sent_at);
    }
}

void ownership::take_claims(host_id from, peer_row& peer, time_point now)
{
    peer.unpromised.clear();
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        group_row& group = this->groups.at(index);
        const auto service = service_id::from_index(index);
        const bool owned = names(peer.latest.owned, service);
        const bool named = owned || names(peer.latest.claimed, service);
        if (!group.present) {
            continue;
        }
        if (owned) {
            group.known_owner = from;
        }
        else if (group.known_owner == from) {
            group.known_owner.reset();
        }
        if (named) {
            this->consider(group, from, owned, now);
            if (group.now_in != phase::idle || group.promised_to != from) {
                peer.unpromised.push_back(service);
            }
        }
        else if (group.promised_to == from) {
            // It holds the service no more. This host still waits before its own claim.
            group.promised_to.reset();
        }
    }
}

ownership::outgoing ownership::receive(host_id from, const heartbeat& message, time_point now)
{
    outgoing out;
    this->look_at(now);
    if (this->model == nullptr) {
        return out;
    }
    this->system_leases(now);
    peer_row& peer = this->peers[from];
    const bool known = peer.heard.has_value();
    const bool old_life = known && message.incarnation_number < peer.latest.incarnation_number;
    const bool same_life = known && message.incarnation_number == peer.latest.incarnation_number;
    if (old_life || (same_life && message.sequence <= peer.latest.sequence)) {
        return out;
    }
    if (!same_life) {
        peer.first_heard = this->awake;
    }
    peer.heard = this->awake;
    peer.lost = false;
    peer.latest = message;
    std::optional<time_point> sent_at;
    while (message.acked_incarnation_number == this->life && !peer.sent.empty() &&
           peer.sent.front().sequence <= message.acked_sequence) {
        if (peer.sent.front().sequence == message.acked_sequence) {
            sent_at = peer.sent.front().at;
        }
        peer.sent.pop_front();
    }
    this->take_claims(from, peer, now);
    this->take_consents(from, message, sent_at);
    const bool changed = this->system_claims(now);
    if (changed) {
        this->send_all(now, out);
    }
    else if (!message.claimed.empty() || !peer.regular) {
        this->send(from, now, out);
    }
    return out;
}

ownership::outgoing ownership::accept(host_id from, const handover& message, time_point now)
{
    outgoing out;
    this->look_at(now);
    if (message.service.index() >= this->groups.size()) {
        return out;
    }
    group_row& group = this->groups.at(message.service.index());
    if (group.now_in != phase::idle || !this->rank_of(group, this->self) || this->leaving) {
        return out;
    }
    if (group.promised_to == from) {
        group.promised_to.reset();
    }
    group.own_wait = time_point::min();
    if (this->system_claims(now)) {
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

heartbeat ownership::compose(host_id to, peer_row& peer, time_point now)
{
    heartbeat out;
    out.incarnation_number = this->life;
    out.configuration = this->configuration;
    out.digest = this->digest;
    out.leaving = this->leaving;
    out.unable = this->unable;
    out.sequence = ++this->sequence;
    out.acked_incarnation_number = peer.latest.incarnation_number;
    out.acked_sequence = peer.latest.sequence;
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        group_row& group = this->groups.at(index);
        const auto service = service_id::from_index(index);
        if (names(peer.unpromised, service) && group.now_in == phase::idle) {
            this->consider(group, to, names(peer.latest.owned, service), now);
            if (group.promised_to == to) {
                std::erase(peer.unpromised, service);
            }
            else {
                out.denied.push_back(service);
            }
        }
        if (group.now_in == phase::owned) {
            out.owned.push_back(service);
        }
        else if (group.now_in == phase::claiming) {
            out.claimed.push_back(service);
        }
    }
    return out;
}

void ownership::send(host_id to, time_point now, outgoing& out)
{
    peer_row& peer = this->peers[to];
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
        if (row.regular) {
            this->send(host, now, out);
        }
    }
}

} // namespace bth::steering
