// Replication: sending and taking entries and snapshots, and committing.
#include "bth/consensus/replica.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bth::consensus {

peer_progress* replica::find_peer(const member_id& peer)
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(),
                                    [&](const auto& row) { return row.peer == peer; });
    return found == this->peers.end() ? nullptr : &*found;
}

void replica::append_own(log_entry entry)
{
    entry.index = this->log.last() + 1;
    entry.term = this->state.term;
    this->pending.appended.push_back(entry);
    this->log.append(std::move(entry));
}

void replica::replicate(time_point now, peer_progress& peer)
{
    if (peer.next <= this->log.base()) {
        this->send_snapshot(now, peer);
        return;
    }
    const auto before = previous(peer.next);
    append_request request{this->state.term,          {this->round, now}, before,
                           this->log.term_at(before), this->commit,       {}};
    request.entries =
        this->log.after(before, this->options.batch_entries, this->options.batch_bytes);
    // Sent ahead of the answer; a refusal sets it back.
    peer.next = peer.next + request.entries.size();
    peer.last_sent = now;
    this->send(peer.peer, std::move(request));
}

void replica::send_snapshot(time_point now, peer_progress& peer)
{
    const auto& whole = *this->taken;
    if (peer.snapshot_index != whole.index) {
        peer.snapshot_index = whole.index;
        peer.snapshot_received = 0;
    }
    peer.last_sent = now;
    this->send(peer.peer, snapshot_request{this->state.term,
                                           {this->round, now},
                                           whole.index,
                                           whole.term,
                                           whole.members,
                                           whole.data.size(),
                                           peer.snapshot_received,
                                           whole.data.substr(peer.snapshot_received,
                                                             this->options.snapshot_chunk)});
}

void replica::replicate_to_all(time_point now)
{
    for (auto& peer : this->peers) {
        this->replicate(now, peer);
    }
}

// Commits what a quorum of voters holds. Only an entry of the own term is counted; it commits all
// before it.
void replica::try_commit(time_point now)
{
    std::vector<log_index> held;
    for (const auto& voter : this->log.members().voters) {
        const auto* peer = this->find_peer(voter);
        if (voter == this->self) {
            held.push_back(this->persisted_index);
        }
        else {
            held.push_back(peer == nullptr ? log_index{} : peer->match);
        }
    }
    std::sort(held.begin(), held.end(), std::greater<>{});
    const auto index = held.at(this->quorum() - 1);
    if (index > this->commit && index >= this->term_start) {
        this->commit_through(index);
        this->answer_reads();
        this->leave_if_removed(now);
    }
}

void replica::commit_through(log_index index)
{
    while (this->commit < index) {
        this->commit = this->commit + 1;
        committed_entry done{this->log.at(this->commit), std::nullopt};
        const auto proposed =
            std::find_if(this->proposals.begin(), this->proposals.end(),
                         [&](const auto& row) { return row.index == this->commit; });
        if (proposed != this->proposals.end()) {
            done.token = proposed->token;
            this->proposals.erase(proposed);
        }
        this->pending.committed.push_back(std::move(done));
    }
}

void replica::answer_reads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto& voter : this->log.members().voters) {
        const auto* peer = this->find_peer(voter);
        if (voter == this->self) {
            rounds.push_back(this->round);
        }
        else {
            rounds.push_back(peer == nullptr ? 0 : peer->acknowledged.round);
        }
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>{});
    const auto confirmed = rounds.at(this->quorum() - 1);
    std::vector<pending_request> waiting;
    for (const auto& row : std::exchange(this->reads, {})) {
        if (row.round <= confirmed && row.index <= this->commit) {
            this->answer(row.token, request_outcome::read_ready);
        }
        else {
            waiting.push_back(row);
        }
    }
    this->reads = std::move(waiting);
}

// Takes the entries that are new. Returns false if they contradict what is committed, which a
// correct leader never sends.
bool replica::accept_entries(const append_request& request)
{
    auto index = request.previous;
    for (const auto& entry : request.entries) {
        index = index + 1;
        if (entry.index != index) {
            return false;
        }
        if (index <= this->log.last() && this->log.term_at(index) == entry.term) {
            continue;
        }
        if (index <= this->commit) {
            return false;
        }
        this->pending.appended.push_back(entry);
        this->log.append(entry);
        this->note_floor(index);
    }
    return true;
}

// The log now ends at `index` with a new entry, or with a snapshot. What stood there and behind it
// wasn't committed, so it was never shown.
void replica::note_floor(log_index index)
{
    const auto& members = this->log.members();
    const bool named = is_voter(members, this->self) || is_learner(members, this->self);
    if (!this->floor.has_value() || index <= *this->floor) {
        this->floor = named ? std::optional{index} : std::nullopt;
    }
}

// Where the leader should go on after a mismatch: before the whole term that differs.
log_index replica::conflict_hint(log_index previous_index) const
{
    if (previous_index > this->log.last()) {
        return this->log.last();
    }
    auto hint = previous_index;
    const auto term = this->log.term_at(hint);
    while (hint > this->commit && this->log.term_at(hint) == term) {
        hint = previous(hint);
    }
    return std::max(hint, this->commit);
}

void replica::on_append_request(time_point now, const member_id& from,
                                const append_request& request)
{
    if (request.term < this->state.term) {
        this->send(from, append_answer{this->state.term, request.stamp, false, this->commit});
        return;
    }
    if (request.term > this->state.term) {
        this->follow(now, request.term, from);
    }
    this->follow_sender(now, from);
    append_answer reply{this->state.term, request.stamp, false, this->commit};
    if (request.previous < this->log.base()) {
        // What is committed here equals the leader's log.
        reply.accepted = true;
    }
    else if (!this->log.matches(request.previous, request.previous_term)) {
        reply.last = this->conflict_hint(request.previous);
    }
    else if (this->accept_entries(request)) {
        reply.accepted = true;
        reply.last = request.previous + request.entries.size();
        this->commit_through(std::max(this->commit, std::min(request.commit, reply.last)));
    }
    this->send(from, reply);
}

void replica::acknowledge(peer_progress& peer, const leader_stamp& stamp)
{
    peer.acknowledged.round = std::max(peer.acknowledged.round, stamp.round);
    peer.acknowledged.sent_at = std::max(peer.acknowledged.sent_at, stamp.sent_at);
}

void replica::on_append_answer(time_point now, const member_id& from, const append_answer& reply)
{
    if (reply.term > this->state.term) {
        this->follow(now, reply.term, std::nullopt);
        return;
    }
    auto* peer = this->find_peer(from);
    const bool expected = this->role == replica_role::leader && reply.term == this->state.term &&
                          peer != nullptr && reply.last <= this->log.last();
    if (!expected) {
        return;
    }
    this->acknowledge(*peer, reply.stamp);
    if (!reply.accepted) {
        peer->next = std::max(peer->match + 1, std::min(reply.last + 1, peer->next));
        this->replicate(now, *peer);
        this->answer_reads();
        return;
    }
    peer->match = std::max(peer->match, reply.last);
    peer->next = std::max(peer->next, peer->match + 1);
    if (peer->next <= this->log.last()) {
        this->replicate(now, *peer);
    }
    this->try_commit(now);
    this->answer_reads();
}

void replica::install(const snapshot_request& request)
{
    this->taken = std::make_shared<const snapshot>(this->incoming);
    if (!this->log.matches(request.index, request.index_term)) {
        this->log.reset(this->incoming);
        this->note_floor(request.index);
    }
    this->incoming = {};
    this->commit = request.index;
    this->pending.taken = this->taken;
    this->pending.restore = true;
}

void replica::on_snapshot_request(time_point now, const member_id& from,
                                  const snapshot_request& request)
{
    if (request.term < this->state.term) {
        this->send(from, append_answer{this->state.term, request.stamp, false, this->commit});
        return;
    }
    if (request.term > this->state.term) {
        this->follow(now, request.term, from);
    }
    this->follow_sender(now, from);
    snapshot_answer reply{this->state.term, request.stamp, request.index, request.total};
    if (request.index > this->commit) {
        const bool same =
            this->incoming.index == request.index && this->incoming.term == request.index_term;
        if (!same) {
            this->incoming = {request.index, request.index_term, request.members, {}};
        }
        const bool fits = request.offset == this->incoming.data.size() &&
                          request.data.size() <= request.total - request.offset;
        if (fits) {
            this->incoming.data += request.data;
        }
        reply.received = this->incoming.data.size();
        if (reply.received == request.total) {
            this->install(request);
        }
    }
    this->send(from, reply);
}

void replica::on_snapshot_answer(time_point now, const member_id& from,
                                 const snapshot_answer& reply)
{
    auto* peer = this->find_peer(from);
    if (this->role != replica_role::leader || reply.term != this->state.term || peer == nullptr) {
        return;
    }
    this->acknowledge(*peer, reply.stamp);
    const bool current = this->taken != nullptr && reply.index == this->taken->index &&
                         reply.received <= this->taken->data.size();
    if (current) {
        const bool late = reply.received < peer->snapshot_received;
        peer->snapshot_received = reply.received;
        if (reply.received == this->taken->data.size()) {
            peer->match = std::max(peer->match, reply.index);
            peer->next = std::max(peer->next, peer->match + 1);
        }
        if (!late && peer->next <= this->log.last()) {
            this->replicate(now, *peer);
        }
    }
    this->try_commit(now);
    this->answer_reads();
}

} // namespace bth::consensus
