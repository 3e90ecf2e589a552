// Elections: pre-vote, vote, and taking the lead.
#include "bth/consensus/replica.h"

#include <algorithm>

namespace bth::consensus {

// A voter that its own log takes out goes on until that change is committed: it may be the only one
// whose log is new enough to win.
bool replica::may_lead() const
{
    return is_voter(this->log.members(), this->self) ||
           is_voter(this->log.members_at(this->commit), this->self);
}

void replica::start_election(time_point now, bool pre)
{
    this->role = replica_role::candidate;
    this->pre_voting = pre;
    this->leader.reset();
    this->votes = {this->self};
    this->reset_election(now, this->options.retry_least, this->options.retry_spread);
    const term_number next{this->state.term.value() + 1};
    if (!pre) {
        this->state = {next, this->self};
        this->save_state();
    }
    for (const auto& voter : this->log.members().voters) {
        if (voter != this->self) {
            this->send(voter, vote_request{next, pre, this->log.last(), this->log.last_term()});
        }
    }
    this->count_votes(now);
}

void replica::count_votes(time_point now)
{
    const auto& members = this->log.members();
    const auto given = std::count_if(this->votes.begin(), this->votes.end(),
                                     [&](const auto& from) { return is_voter(members, from); });
    if (static_cast<std::size_t>(given) < this->quorum()) {
        return;
    }
    if (this->pre_voting) {
        this->start_election(now, false);
    }
    else {
        this->lead(now);
    }
}

void replica::lead(time_point now)
{
    this->role = replica_role::leader;
    this->leader = this->self;
    this->led_since = now;
    this->peers.clear();
    this->applicants.clear();
    this->refresh_peers();
    this->term_start = this->log.last() + 1;
    this->append_own({});
    this->replicate_to_all(now);
}

bool replica::up_to_date(const vote_request& request) const
{
    if (request.last_term != this->log.last_term()) {
        return request.last_term > this->log.last_term();
    }
    return request.last_index >= this->log.last();
}

bool replica::heard_recently(time_point now) const
{
    return this->role == replica_role::leader ||
           now - this->heard_leader < this->options.vote_silence;
}

void replica::on_vote_request(time_point now, const member_id& from, const vote_request& request)
{
    if (this->heard_recently(now)) {
        // Neither the term nor the vote changes while a leader may hold its lease.
        this->send(from, vote_answer{this->state.term, request.pre, false});
        return;
    }
    if (request.pre) {
        // Of two with equal logs that ask each other at once, the one with the smaller name goes
        // on.
        const bool rival = this->role == replica_role::candidate && this->self < from &&
                           request.last_index == this->log.last() &&
                           request.last_term == this->log.last_term();
        const bool granted = request.term > this->state.term && this->up_to_date(request) && !rival;
        if (granted) {
            // Its election has this long before one of our own would split the votes.
            this->election_due = std::max(this->election_due, now + this->options.retry_least);
        }
        const auto term = granted ? request.term : this->state.term;
        this->send(from, vote_answer{term, true, granted});
        return;
    }
    if (request.term > this->state.term) {
        this->follow(now, request.term, std::nullopt);
    }
    const bool mine = !this->state.vote.has_value() || this->state.vote == from;
    const bool granted = request.term == this->state.term && mine && this->up_to_date(request);
    if (granted && !this->state.vote.has_value()) {
        this->state.vote = from;
        this->save_state();
    }
    if (granted) {
        this->reset_election(now, this->options.election_least, this->options.election_spread);
    }
    this->send(from, vote_answer{this->state.term, false, granted});
}

void replica::on_vote_answer(time_point now, const member_id& from, const vote_answer& reply)
{
    if (!reply.granted) {
        if (reply.term > this->state.term) {
            this->follow(now, reply.term, std::nullopt);
        }
        return;
    }
    const auto asked = this->state.term.value() + (this->pre_voting ? 1 : 0);
    const bool expected = this->role == replica_role::candidate && reply.pre == this->pre_voting &&
                          reply.term.value() == asked;
    if (!expected) {
        return;
    }
    if (std::find(this->votes.begin(), this->votes.end(), from) == this->votes.end()) {
        this->votes.push_back(from);
    }
    this->count_votes(now);
}

} // namespace bth::consensus
