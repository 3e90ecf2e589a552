// What hosts tell each other about who is alive and which configuration is in force. The sender's
// name and incarnation come from the connection, not from the message.
//
//   auto bytes = encode(message{confirm{revision{7}}});
//   if (auto read = decode_message(bytes)) { core.receive(now, peer, *read); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/delta.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::membership {

// Who sent a message: the name of a host and the life of its process.
struct peer {
    std::string host;
    incarnation life;
};

// A configuration's revision and its digest.
struct config_mark {
    revision at;
    config::table_digest digest;
    friend bool operator==(const config_mark&, const config_mark&) = default;
};

// What every probe says of its sender's configuration.
struct host_stamp {
    config_mark in_force;
    // The host of the failure domain that hears from control; empty if none is known.
    std::string relay;
    // How long ago control was last heard, directly or through others.
    std::chrono::milliseconds control_age{};
};

// Ordered: of two statements about one life, the later in this order holds, unless it was refuted.
enum class liveness : std::uint8_t {
    alive,
    suspect, // Probes went unanswered; it has some time to refute.
    dead,
};

// A statement about a host. The host itself raises `refutation` to refute a suspicion.
struct news_item {
    std::string host;
    incarnation life;
    std::uint32_t refutation{};
    liveness state{};
};

enum class probe_kind : std::uint8_t {
    probe,            // Asks the receiver for an answer.
    answer,           // Answers a probe.
    indirect_request, // Asks the receiver to probe `subject`.
    indirect_answer,  // `subject` answered the probe that was asked for.
};

struct probe_message {
    probe_kind kind{};
    std::uint32_t sequence{};
    std::string subject;
    host_stamp stamp;
    std::vector<news_item> news;
};

// The bytes of an encoded config::delta, shared by all that pass them on.
using shared_bytes = std::shared_ptr<const std::string>;

// The next edit, on its way from control through the relay to all hosts of a failure domain.
struct delta_push {
    std::string relay;
    shared_bytes delta;
};

// Asks for what follows the revision `have`, or for the piece of a snapshot behind `cursor`.
struct pull {
    revision have;
    std::optional<config::snapshot_cursor> cursor;
};

// A piece of a snapshot.
struct snapshot_part {
    shared_bytes content;
    std::optional<config::snapshot_cursor> next;
};

// Answers a pull with deltas in order, or with a piece of a snapshot if the deltas are no longer
// kept or a piece was asked for.
struct pull_answer {
    config_mark at;
    std::vector<shared_bytes> deltas;
    std::optional<snapshot_part> part;
};

// The sender has this revision in force.
struct confirm {
    revision in_force;
};
struct confirm_answer {
    revision in_force;
};

// Control's newest accepted revision, to the relays of a failure domain.
struct control_heartbeat {
    config_mark accepted;
    // The first relay, to whom hosts confirm. The other one takes part only if it must.
    std::string relay;
};

// A relay's answer to a heartbeat, and its word whenever it changes: hosts of its failure domain
// that have not confirmed its revision. At most unconfirmed_limit of them are named.
struct domain_summary {
    revision in_force;
    std::uint32_t unconfirmed_count{};
    std::vector<std::string> unconfirmed;
    friend bool operator==(const domain_summary&, const domain_summary&) = default;
};
inline constexpr std::size_t unconfirmed_limit = 64;

using message = std::variant<probe_message, delta_push, pull, pull_answer, confirm, confirm_answer,
                             control_heartbeat, domain_summary>;

// The FlatBuffers form. decode_message() verifies the buffer and every enumeration in it; the
// deltas inside are only verified by whoever decodes them.
std::string encode(const message& what);
std::optional<message> decode_message(std::string_view bytes);

} // namespace bth::membership
