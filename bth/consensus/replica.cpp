#include "bth/consensus/replica.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::consensus {

namespace {

// The log as it was stored, without what the snapshot covers.
replicated_log restore_log(const restored_state& restored)
{
    replicated_log log{restored.founders};
    if (restored.taken != nullptr) {
        log.reset(*restored.taken);
    }
    // A crash may have left a log behind a newer snapshot, and one that contradicts it.
    const bool contradicts =
        std::any_of(restored.entries.begin(), restored.entries.end(), [&](const auto& entry) {
            return entry.index == log.base() && entry.term != log.last_term();
        });
    if (contradicts) {
        return log;
    }
    for (const auto& entry : restored.entries) {
        if (entry.index > log.base()) {
            log.append(entry);
        }
    }
    return log;
}

} // namespace

std::string to_string(replica_role role)
{
    switch (role) {
    case replica_role::follower:
        return "follower";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    }
    return "unknown";
}

replica::replica(const restored_state& restored, replica_options options, std::uint64_t seed,
                 time_point now, std::optional<time_point> heard_leader)
    : self{restored.self}, options{std::move(options)}, generator{seed}, state{restored.state},
      log{restore_log(restored)}, taken{restored.taken}, commit{this->log.base()},
      // A restarted replica may have answered a leader just before: it gives no vote for a while.
      heard_leader{heard_leader.value_or(now)}, join_due{now}, persisted_index{this->log.last()}
{
    const auto& members = this->log.members();
    if (is_voter(members, this->self) || is_learner(members, this->self)) {
        this->floor = this->log.last();
    }
    this->reset_election(now, this->options.election_least, this->options.election_spread);
}

void replica::tick(time_point now)
{
    this->check_lease(now);
    if (this->role == replica_role::leader) {
        for (auto& peer : this->peers) {
            if (now - peer.last_sent >= this->options.heartbeat) {
                this->replicate(now, peer);
            }
        }
        this->admit(now);
        return;
    }
    this->ask_to_join(now);
    if (now < this->election_due) {
        return;
    }
    this->leader.reset();
    if (this->may_lead()) {
        this->start_election(now, true);
    }
}

void replica::receive(time_point now, const envelope& from_peer)
{
    this->check_lease(now);
    const auto& to = from_peer.to;
    const bool for_me =
        to == this->self || (to.host == this->self.host && to.life == any_incarnation);
    if (!for_me) {
        return;
    }
    const auto& from = from_peer.from;
    const auto& body = from_peer.body;
    if (const auto* vote = std::get_if<vote_request>(&body)) {
        this->on_vote_request(now, from, *vote);
    }
    else if (const auto* voted = std::get_if<vote_answer>(&body)) {
        this->on_vote_answer(now, from, *voted);
    }
    else if (const auto* append = std::get_if<append_request>(&body)) {
        this->on_append_request(now, from, *append);
    }
    else if (const auto* appended = std::get_if<append_answer>(&body)) {
        this->on_append_answer(now, from, *appended);
    }
    else if (const auto* part = std::get_if<snapshot_request>(&body)) {
        this->on_snapshot_request(now, from, *part);
    }
    else if (const auto* received = std::get_if<snapshot_answer>(&body)) {
        this->on_snapshot_answer(now, from, *received);
    }
    else {
        this->on_join_request(now, from, std::get<join_request>(body));
    }
}

void replica::propose(time_point now, request_token token, std::string command)
{
    if (!this->ready_for_requests(now, token)) {
        return;
    }
    this->proposals.push_back({this->log.last() + 1, 0, token});
    this->append_own({{}, {}, entry_kind::command, std::move(command), {}});
    this->replicate_to_all(now);
}

void replica::read(time_point now, request_token token)
{
    if (!this->ready_for_requests(now, token)) {
        return;
    }
    ++this->round;
    // A new leader's commit index may lag behind its predecessor's until its own first entry is
    // committed.
    const auto index = std::max(this->commit, this->term_start);
    this->reads.push_back({index, this->round, token});
    this->replicate_to_all(now);
    this->answer_reads();
}

void replica::persisted(time_point now)
{
    this->persisted_index = this->log.last();
    if (this->role == replica_role::leader) {
        this->try_commit(now);
    }
}

void replica::compact(std::string state_machine_state)
{
    if (this->commit == this->log.base()) {
        return;
    }
    const snapshot made{this->commit, this->log.term_at(this->commit),
                        this->log.members_at(this->commit), std::move(state_machine_state)};
    this->taken = std::make_shared<const snapshot>(made);
    this->pending.taken = this->taken;
    const auto kept = this->options.retained_entries;
    if (this->commit - this->log.base() > kept) {
        this->log.drop_through({this->commit.value - kept});
    }
}

output replica::take_output()
{
    return std::exchange(this->pending, {});
}

std::vector<log_entry> replica::retained_after(log_index index) const
{
    constexpr auto no_bound = static_cast<std::size_t>(-1);
    return this->log.after(index, no_bound, no_bound);
}

replica_status replica::status(time_point now) const
{
    replica_status found;
    found.self = this->self;
    found.role = this->role;
    found.term = this->state.term;
    found.leader = this->leader;
    found.heard_leader = this->heard_leader;
    found.holds_lease = this->role == replica_role::leader && this->commit >= this->term_start &&
                        this->holds_lease(now);
    found.caught_up = this->caught_up();
    found.last = this->log.last();
    found.commit = this->commit;
    found.members = this->log.members();
    found.peers = this->peers;
    for (const auto& row : this->applicants) {
        found.applicants.push_back(row.member);
    }
    return found;
}

// A leader whose lease has run out may have a successor already: it stops being one.
void replica::check_lease(time_point now)
{
    if (this->role == replica_role::leader && !this->holds_lease(now)) {
        this->follow(now, this->state.term, std::nullopt);
    }
}

bool replica::ready_for_requests(time_point now, request_token token)
{
    const bool led = this->role == replica_role::leader;
    this->check_lease(now);
    if (this->role == replica_role::leader) {
        return true;
    }
    this->answer(token, led ? request_outcome::no_quorum : request_outcome::not_leader);
    return false;
}

void replica::answer(request_token token, request_outcome outcome)
{
    this->pending.answers.push_back({token, outcome, this->leader});
}

void replica::follow(time_point now, term_number term, std::optional<member_id> new_leader)
{
    if (term > this->state.term) {
        this->state = {term, std::nullopt};
        this->save_state();
    }
    if (this->role == replica_role::leader) {
        this->reset_election(now, this->options.election_least, this->options.election_spread);
    }
    this->role = replica_role::follower;
    this->leader = std::move(new_leader);
    this->votes.clear();
    this->peers.clear();
    this->applicants.clear();
    for (const auto& proposal : std::exchange(this->proposals, {})) {
        this->answer(proposal.token, request_outcome::unknown);
    }
    for (const auto& waiting : std::exchange(this->reads, {})) {
        this->answer(waiting.token, request_outcome::not_leader);
    }
}

// A message of the current term's leader has come.
void replica::follow_sender(time_point now, const member_id& sender)
{
    this->heard_leader = now;
    this->reset_election(now, this->options.election_least, this->options.election_spread);
    this->join_due = now + this->options.election_least;
    if (this->role != replica_role::follower || this->leader != sender) {
        this->follow(now, this->state.term, sender);
    }
}

void replica::send(const member_id& to, message body)
{
    this->pending.messages.push_back({this->self, to, std::move(body)});
}

void replica::save_state()
{
    this->pending.state = this->state;
}

void replica::reset_election(time_point now, duration least, duration spread)
{
    boost::random::uniform_int_distribution<duration::rep> extra{0, spread.count()};
    this->election_due = now + least + duration{extra(this->generator)};
}

// The lease counts from when the message was sent that a quorum answered: none of that quorum votes
// for another within vote_silence of receiving it, by its own clock.
std::optional<time_point> replica::lease_end(time_point now) const
{
    std::vector<time_point> heard;
    for (const auto& voter : this->log.members().voters) {
        const auto peer = std::find_if(this->peers.begin(), this->peers.end(),
                                       [&](const auto& row) { return row.peer == voter; });
        if (voter == this->self) {
            heard.push_back(now);
        }
        else if (peer != this->peers.end()) {
            heard.push_back(peer->acknowledged.sent_at);
        }
    }
    if (heard.size() < this->quorum()) {
        return std::nullopt;
    }
    std::sort(heard.begin(), heard.end(), std::greater<>{});
    const auto silence = static_cast<double>(this->options.vote_silence.count());
    const duration safe{static_cast<duration::rep>(silence / (1.0 + this->options.clock_drift))};
    return heard.at(this->quorum() - 1) + safe;
}

bool replica::holds_lease(time_point now) const
{
    const auto end = this->lease_end(now);
    return end.has_value() && now < *end;
}

} // namespace bth::consensus
