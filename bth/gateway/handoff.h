// Messages between entry hosts by which a host forwards a request to another: to a sender of its
// target, one of the few hosts that send to a target which accepts only few requests, or to any
// host that reaches targets, if it reaches none itself.
//
//   std::string payload = encode_handoff(handoff_request{...});
//   if (auto decoded = decode_handoff(payload)) { std::visit(handler, *decoded); }
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/placement.h"
#include "bth/dispatch/request_fingerprint.h"
#include "bth/gateway/caller_response.h"
#include "bth/gateway/target_send.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::gateway {

// A request that another host is to send.
struct handoff_request {
    // Unique among the requests of the forwarding host; repeated in the outcome.
    std::uint64_t id{};
    // The id of the target; empty if the other host selects one.
    std::string target;
    std::string route;
    std::string service;
    std::string request_id;
    dispatch::request_fingerprint fingerprint;
    dispatch::object_key object{};
    // The complete HTTP request to send to the target. If the other host selects that, it lacks the
    // field that names the expected target.
    std::string request_bytes;
    // The request method is HEAD.
    bool is_head{};
    // The request must not run more than once.
    bool at_most_once{};
    // Time until the deadline, and until the latency objective is missed.
    dispatch::fractional_ms remaining_time{};
    dispatch::fractional_ms remaining_objective_time{};
    // 0 is the most urgent priority.
    std::uint32_t priority{};
    // How long the target stays cold, as far as the forwarding host knows.
    dispatch::fractional_ms remaining_cold_time{};
    // The limit that the target named to the forwarding host.
    std::optional<double> limit{};
    // The regions in which the request may run; empty if in all.
    std::vector<std::string> allowed_regions{};

    // Returns whether the other host selects the target.
    bool selects_target() const { return this->target.empty(); }
};

// Why a sender did not send a forwarded request. The values go over the wire.
enum class decline_reason : std::uint8_t {
    none,    // The request was sent.
    unfit,   // The target can't be used now or is unknown there, or the host is stopping or no
             // sender.
    full,    // The queue at the target is too long for this request.
    suspect, // The request may crash the target.
};

// The sender's reply to a forwarded request.
struct handoff_outcome {
    std::uint64_t id{};
    decline_reason declined{decline_reason::none};
    send_result result;
    // The sender recently sent the target another request for the same object.
    bool object_sent_recently{};
    // Duration of the sender's attempt.
    dispatch::fractional_ms took{};
    // Expected wait for a slot at the target; if declined, the time after which to retry.
    dispatch::fractional_ms expected_wait{};
    // Requests of all hosts at the target.
    std::uint32_t at_target{};
};

// Cancels a forwarded request: its caller disconnected or its deadline has passed.
struct handoff_cancel {
    std::uint64_t id{};
};

// Checks whether the other host responds.
struct handoff_ping {
    // Set in the reply to a ping.
    bool reply{};
};

using handoff_message =
    std::variant<handoff_request, handoff_outcome, handoff_cancel, handoff_ping>;

std::string encode_handoff(const handoff_message& message);
// Returns nullopt if the bytes are malformed.
std::optional<handoff_message> decode_handoff(std::string_view bytes);

} // namespace bth::gateway
