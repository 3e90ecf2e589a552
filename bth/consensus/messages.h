// The messages between replicas. Every message names the life of its sender and its receiver, so
// that one meant for a disk that is gone is never taken by its successor.
#pragma once

#include "bth/base/time.h"
#include "bth/consensus/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bth::consensus {

// Asks for a vote. A pre-vote asks whether a vote would be given, and changes nothing.
struct vote_request {
    term_number term;
    bool pre{};
    log_index last_index;
    term_number last_term;
};

struct vote_answer {
    term_number term;
    bool pre{};
    bool granted{};
};

// What a leader stamps on a message and its receiver sends back unchanged: the read round, and the
// leader's own monotonic time at sending, from which it counts its lease.
struct leader_stamp {
    std::uint64_t round{};
    time_point sent_at;
    friend bool operator==(const leader_stamp&, const leader_stamp&) = default;
};

// Entries that follow `previous`, or none (a heartbeat).
struct append_request {
    term_number term;
    leader_stamp stamp;
    log_index previous;
    term_number previous_term;
    log_index commit;
    std::vector<log_entry> entries;
};

struct append_answer {
    term_number term;
    leader_stamp stamp;
    bool accepted{};
    // Accepted: the log equals the leader's up to here. Else: the leader should go on after here.
    log_index last;
};

// A part of a snapshot, `offset` bytes into its data of `total` bytes.
struct snapshot_request {
    term_number term;
    leader_stamp stamp;
    log_index index;
    term_number index_term;
    configuration members;
    std::uint64_t total{};
    std::uint64_t offset{};
    std::string data;
};

// How many bytes of the snapshot at `index` have come so far.
struct snapshot_answer {
    term_number term;
    leader_stamp stamp;
    log_index index;
    std::uint64_t received{};
};

// Asks the leader to let a replica in that is no member. The replica sends it to its seeds without
// `applicant`; a seed that follows a leader passes it on with the applicant's name.
struct join_request {
    std::optional<member_id> applicant;
    // The applicant's failure domain; empty if it isn't stated.
    std::string domain{};
};

using message = std::variant<vote_request, vote_answer, append_request, append_answer,
                             snapshot_request, snapshot_answer, join_request>;

struct envelope {
    member_id from;
    member_id to;
    message body;
};

} // namespace bth::consensus
