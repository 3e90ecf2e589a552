// One replica of the agreed log: messages, requests and ticks in; what to persist, send, apply and
// answer out. It does no I/O and reads no clock.
//
//   replica self{identity, options, seed, now};
//   self.receive(now, envelope);
//   output out = self.take_output();
//   // 1. make out.state, out.appended and out.snapshot durable,
//   // 2. tell self.persisted(now),
//   // 3. apply out.committed, then send out.messages and give out.answers.
//
// Nothing of an output may be sent, applied or answered before its durable part is synced. If that
// fails, the replica must not be used again.
#pragma once

#include "bth/base/time.h"
#include "bth/consensus/messages.h"
#include "bth/consensus/replicated_log.h"
#include "bth/consensus/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bth::consensus {

struct replica_options {
    // How often a leader sends to each peer without need.
    duration heartbeat{std::chrono::milliseconds{300}};
    // A replica that heard its leader within this time gives no vote. The lease rests on it.
    duration vote_silence{std::chrono::milliseconds{900}};
    // A voter that heard no leader for `election_least` plus up to `election_spread` asks for
    // votes.
    duration election_least{std::chrono::milliseconds{1000}};
    duration election_spread{std::chrono::milliseconds{400}};
    // The same after an election that nobody won.
    duration retry_least{std::chrono::milliseconds{150}};
    duration retry_spread{std::chrono::milliseconds{300}};
    // By how much the clock of one host may run faster than another's.
    double clock_drift{0.05};
    // Bounds of one message.
    std::size_t batch_entries{128};
    std::size_t batch_bytes{std::size_t{256} * 1024};
    std::size_t snapshot_chunk{std::size_t{128} * 1024};
    // Entries kept in memory behind a snapshot, for followers that are a little behind.
    std::uint64_t retained_entries{1024};
    // The hosts that a replica asks to be let in.
    std::vector<std::string> seeds;
    // The failure domain of this host; empty if it isn't to be recorded.
    std::string domain{};
};

// What storage held when the replica started.
struct restored_state {
    member_id self;
    configuration founders;
    hard_state state;
    std::shared_ptr<const snapshot> taken;
    std::vector<log_entry> entries;
};

enum class replica_role : std::uint8_t { follower, candidate, leader };

std::string to_string(replica_role role);

enum class request_outcome : std::uint8_t {
    read_ready, // The state machine now holds all that was accepted before the read.
    not_leader, // Not taken: ask the leader, if one is named.
    no_quorum,  // Not taken: this leader's lease has run out.
    busy,       // Not taken: another change of members is under way.
    bad_member, // Not taken: the host is unknown, is in already, or can't be spared.
    unknown,    // Taken, and it may or may not be accepted: ask again with the same id.
};

struct request_answer {
    request_token token;
    request_outcome outcome{};
    std::optional<member_id> leader;
};

struct committed_entry {
    log_entry entry;
    // The request that proposed it here.
    std::optional<request_token> token;
};

struct output {
    std::optional<hard_state> state;
    // Replaces what the store holds at and after the first entry's index.
    std::vector<log_entry> appended;
    // Replaces the store's snapshot and the log up to it; see retained_after().
    std::shared_ptr<const snapshot> taken;
    // Whether the state machine must be restored from `taken`.
    bool restore{};
    std::vector<committed_entry> committed;
    std::vector<envelope> messages;
    std::vector<request_answer> answers;

    bool must_persist() const
    {
        return this->state.has_value() || !this->appended.empty() || this->taken != nullptr;
    }
};

// How far a peer is, as its leader knows.
struct peer_progress {
    member_id peer;
    log_index match;
    log_index next;
    // The bytes that it has of the snapshot at `snapshot_index`.
    log_index snapshot_index;
    std::uint64_t snapshot_received{};
    leader_stamp acknowledged;
    time_point last_sent;
};

struct replica_status {
    member_id self;
    replica_role role{};
    term_number term;
    std::optional<member_id> leader;
    // When a message of a leader last arrived, or the start if none has.
    time_point heard_leader;
    // A leader: whether a quorum confirmed it recently enough.
    bool holds_lease{};
    // Whether the applied state may be served; see replica::caught_up.
    bool caught_up{};
    log_index last;
    log_index commit;
    configuration members;
    std::vector<peer_progress> peers;
    std::vector<member_id> applicants;
};

class replica {
public:
    // `seed` differs between replicas; it spreads the election timeouts. `heard_leader` is when
    // this process last heard a leader by its own clock; unset if an earlier process may have.
    replica(const restored_state& restored, replica_options options, std::uint64_t seed,
            time_point now, std::optional<time_point> heard_leader = {});

    void tick(time_point now);
    void receive(time_point now, const envelope& from_peer);

    // Proposes a command. It is answered by its committed entry or by a request_answer.
    void propose(time_point now, request_token token, std::string command);

    // Answered read_ready once a quorum has confirmed after now that this is the leader.
    void read(time_point now, request_token token);

    // Lets in the applicant on `host` as a learner, which becomes a voter once it has caught up.
    void add_member(time_point now, request_token token, const std::string& host);
    void remove_member(time_point now, request_token token, const std::string& host);
    // Records the failure domains of members, by host. The members stay the same.
    void record_domains(time_point now, request_token token,
                        const std::map<std::string, std::string>& domains);

    // The durable part of the last output has been synced.
    void persisted(time_point now);

    // Replaces the log up to the last applied entry by the state machine's state after it.
    void compact(std::string state_machine_state);

    output take_output();

    // The entries that a store must keep behind the snapshot at `index`.
    std::vector<log_entry> retained_after(log_index index) const;

    log_index commit_index() const { return this->commit; }

    // Whether the applied state is at least as new as any that this host has shown before, also
    // before a restart or the loss of its disk. Until then nothing may be served from it.
    bool caught_up() const { return this->floor.has_value() && this->commit >= *this->floor; }
    const hard_state& durable_state() const { return this->state; }
    replica_status status(time_point now) const;

private:
    struct pending_request {
        log_index index;
        std::uint64_t round{};
        request_token token;
    };
    struct applicant {
        member_id member;
        time_point heard;
        std::string domain;
    };

    // replica.cpp
    void check_lease(time_point now);
    bool ready_for_requests(time_point now, request_token token);
    void answer(request_token token, request_outcome outcome);
    void follow(time_point now, term_number term, std::optional<member_id> leader);
    void follow_sender(time_point now, const member_id& leader);
    void send(const member_id& to, message body);
    void save_state();
    void reset_election(time_point now, duration least, duration spread);
    std::optional<time_point> lease_end(time_point now) const;
    bool holds_lease(time_point now) const;
    std::size_t quorum() const { return this->log.members().voters.size() / 2 + 1; }

    // replica_election.cpp
    bool may_lead() const;
    void start_election(time_point now, bool pre);
    void count_votes(time_point now);
    void lead(time_point now);
    bool up_to_date(const vote_request& request) const;
    bool heard_recently(time_point now) const;
    void on_vote_request(time_point now, const member_id& from, const vote_request& request);
    void on_vote_answer(time_point now, const member_id& from, const vote_answer& reply);

    // replica_replication.cpp
    peer_progress* find_peer(const member_id& peer);
    void append_own(log_entry entry);
    void replicate(time_point now, peer_progress& peer);
    void send_snapshot(time_point now, peer_progress& peer);
    void replicate_to_all(time_point now);
    void try_commit(time_point now);
    void commit_through(log_index index);
    void answer_reads();
    bool accept_entries(const append_request& request);
    void note_floor(log_index index);
    log_index conflict_hint(log_index previous_index) const;
    void on_append_request(time_point now, const member_id& from, const append_request& request);
    void on_append_answer(time_point now, const member_id& from, const append_answer& reply);
    void on_snapshot_request(time_point now, const member_id& from,
                             const snapshot_request& request);
    void on_snapshot_answer(time_point now, const member_id& from, const snapshot_answer& reply);
    void acknowledge(peer_progress& peer, const leader_stamp& stamp);
    void install(const snapshot_request& request);

    // replica_membership.cpp
    void on_join_request(time_point now, const member_id& from, const join_request& request);
    void ask_to_join(time_point now);
    void refresh_peers();
    bool change_pending() const;
    bool reaches_quorum(time_point now, const configuration& next) const;
    void change_members(time_point now, configuration next, std::optional<request_token> token);
    void admit(time_point now);
    bool readmit_applicant(time_point now);
    static void add_learner(configuration& members, const applicant& added);
    void promote_learner(time_point now);
    void leave_if_removed(time_point now);

    member_id self;
    replica_options options;
    std::mt19937_64 generator;
    hard_state state;
    replicated_log log;
    std::shared_ptr<const snapshot> taken;
    log_index commit;
    // Earlier lives of the process showed nothing that is behind this entry. Unknown before the log
    // names this member.
    std::optional<log_index> floor;
    replica_role role{replica_role::follower};
    bool pre_voting{};
    std::optional<member_id> leader;
    time_point heard_leader;
    time_point election_due;
    time_point join_due;
    std::vector<member_id> votes;
    // Of a leader.
    log_index term_start;
    log_index persisted_index;
    std::uint64_t round{};
    time_point led_since;
    std::vector<peer_progress> peers;
    std::vector<pending_request> proposals;
    std::vector<pending_request> reads;
    std::vector<applicant> applicants;
    // Of a follower: the snapshot that is coming in.
    snapshot incoming;
    output pending;
};

} // namespace bth::consensus
