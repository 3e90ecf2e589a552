// What entry hosts say to each other about a request that one hands to the owner of its target.
//
//   link.send(owner, encode(handoff_order{...}));
//   if (auto got = decode_handoff(payload)) { std::visit(handler, *got); }
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/placement.h"
#include "bth/gateway/answer.h"
#include "bth/gateway/target_send.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bth::gateway {

// A request for its target's owner to send.
struct handoff_order {
    std::uint64_t id{};
    std::string target;
    std::string route;
    std::string service;
    std::string request_id;
    dispatch::object_key object{};
    // The whole request as the target is to get it.
    std::string bytes;
    bool to_head{};
    bool once{};
    dispatch::fractional_ms time_left{};
    dispatch::fractional_ms objective_left{};
    std::uint32_t priority{};
};

// Why an owner did not send a request.
enum class decline : std::uint8_t {
    none,  // It was sent.
    unfit, // The target gets nothing now, or the host isn't its owner any more.
    full,  // The queue at the target is too long for this request.
};

// What became of an order.
struct handoff_outcome {
    std::uint64_t id{};
    decline declined{decline::none};
    send_result result;
    // What the owner knew and saw, for the estimates of the host that asked.
    bool known{};
    dispatch::fractional_ms took{};
    dispatch::fractional_ms wait{};
    std::uint32_t at_target{};
};

// The caller has left, or its time has run out.
struct handoff_cancel {
    std::uint64_t id{};
};

// Asks whether the other host still runs.
struct handoff_ping {
    bool reply{};
};

using handoff_message = std::variant<handoff_order, handoff_outcome, handoff_cancel, handoff_ping>;

std::string encode_handoff(const handoff_message& what);
// Nothing if the bytes aren't well formed.
std::optional<handoff_message> decode_handoff(std::string_view bytes);

} // namespace bth::gateway
