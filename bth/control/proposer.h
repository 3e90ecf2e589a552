// The acceptance path as the HTTP handlers see it: something that decides edits and answers
// confirmed reads. The handlers know nothing else of it, so that one host's book and a replicated
// log fit alike.
//
//   template <proposer Proposer> class edit_service { ... };
#pragma once

#include "bth/base/reason.h"
#include "bth/control/edit.h"
#include "bth/control/edit_book.h"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

namespace bth::control {

// Why an edit or a read got no answer from the book.
enum class proposal_failure_reason : std::uint8_t {
    no_leader,      // No leader is known.
    no_quorum,      // The leader doesn't reach a majority.
    lost_lead,      // Another leader took over while the edit was under way.
    timed_out,      // No decision in time.
    storage_failed, // The data folder can't be written.
    stopping,       // The host is stopping.
};
inline constexpr std::size_t proposal_failure_reason_count = 6;

struct proposal_failure {
    proposal_failure_reason reason{};
    // Whether the edit may still be accepted: "no" is a promise that it never will be by this try.
    run_state accepted{run_state::unknown};
    // One sentence for the operator.
    std::string message;
};

struct accepted_text {
    revision version;
    std::string text;
};

// What one control host knows of another.
struct member_status {
    std::string host;
    // "leader", "follower", "learner", "newcomer" (asks to be let in), "candidate", "unreachable",
    // "stopped" (its disk failed) or "unknown" (only the leader knows).
    std::string role;
    // The last version that it is known to have.
    revision version;
    // The entries of the log that it is behind, if this host knows.
    std::optional<std::uint64_t> behind{};
};

// The last version that an entry host confirmed to be in force there.
struct host_confirmation {
    std::string host;
    revision version;
};

struct control_status {
    std::string host;
    std::string role;
    // The host name of the leader; empty if none is known.
    std::string leader;
    std::uint64_t term{};
    // The version that this host has applied; others may have a later one.
    revision version;
    std::size_t kept_ids{};
    // Whether this host has at least what it had before it was restarted or lost its disk.
    bool caught_up{true};
    std::vector<member_status> members;
    // By host name; nothing where this host takes no part in the distribution.
    std::optional<std::vector<host_confirmation>> confirmations;
};

// propose() decides an edit and returns once the decision is durable. read() returns the accepted
// text only while the host knows that it is the latest. status() is what the host knows at the
// moment, without asking another.
template <class Proposer>
concept proposer = requires(Proposer& in, const Proposer& known, edit one)
{
    {
        in.propose(one)
        } -> std::same_as<boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>>>;
    {
        in.read()
        } -> std::same_as<boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>>>;
    {
        known.status()
        } -> std::same_as<control_status>;
};

// The fixed names used in answers and metrics, such as "no_quorum".
std::string_view to_string(proposal_failure_reason reason);

// Every value in order, for declaring one counter each.
std::array<proposal_failure_reason, proposal_failure_reason_count> all_proposal_failure_reasons();
std::array<edit_outcome, edit_outcome_count> all_edit_outcomes();

} // namespace bth::control
