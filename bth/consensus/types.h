// The values that replicas of the agreed log exchange, keep and act on.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014), with pre-vote, leader leases and single-server membership changes as in
// Ongaro's thesis (2014), and the rule that a change waits for an entry of the leader's own term.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/strong_id.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bth::consensus {

// The number of a leader's reign; at most one leader a term.
using term_number = strong_id<struct term_tag, std::uint64_t>;

// Names one request of a client of a replica, so that its answer can be told apart.
using request_token = strong_id<struct request_token_tag, std::uint64_t>;

// A position in the log. The first entry has index 1; 0 is before the log.
struct log_index {
    std::uint64_t value{};

    friend constexpr auto operator<=>(log_index, log_index) = default;
    friend constexpr log_index operator+(log_index a, std::uint64_t count)
    {
        return {a.value + count};
    }
    friend constexpr std::uint64_t operator-(log_index a, log_index b) { return a.value - b.value; }
};

// The index before `index`, which isn't 0.
constexpr log_index previous(log_index index)
{
    return {index.value - 1};
}

// The incarnation of every member that founds a group.
inline constexpr incarnation founding_incarnation{1};

// The incarnation in the address of a message to whatever member runs on that host.
inline constexpr incarnation any_incarnation{0};

// One disk on one host. A host that lost its disk has a new incarnation and so is another member.
struct member_id {
    std::string host;
    incarnation life;
    friend auto operator<=>(const member_id&, const member_id&) = default;
};

std::string to_string(const member_id& member);

// Who takes part. Learners get the log and neither vote nor count.
struct configuration {
    std::vector<member_id> voters;
    std::vector<member_id> learners;
    // The failure domains of members, by host, as far as they are recorded. No rule of the protocol
    // depends on them.
    std::map<std::string, std::string> domains{};
    friend bool operator==(const configuration&, const configuration&) = default;
};

bool is_voter(const configuration& members, const member_id& member);
bool is_learner(const configuration& members, const member_id& member);

// The voter or learner on `host`, if any.
std::optional<member_id> member_on(const configuration& members, const std::string& host);

enum class entry_kind : std::uint8_t {
    no_op,         // Starts a leader's term.
    command,       // `data` is for the state machine.
    configuration, // `members` counts from when the entry is in the log.
};

struct log_entry {
    log_index index;
    term_number term;
    entry_kind kind{entry_kind::no_op};
    std::string data;
    configuration members;
    friend bool operator==(const log_entry&, const log_entry&) = default;
};

// What a replica must not forget besides its log.
struct hard_state {
    term_number term;
    std::optional<member_id> vote;
    friend bool operator==(const hard_state&, const hard_state&) = default;
};

// The state machine's state after the entry at `index`, and the members then.
struct snapshot {
    log_index index;
    term_number term;
    configuration members;
    std::string data;
    friend bool operator==(const snapshot&, const snapshot&) = default;
};

} // namespace bth::consensus
