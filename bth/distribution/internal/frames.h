// Messages of membership and distribution as frames of a peer link.
#pragma once

#include "bth/membership/agent.h"
#include "bth/membership/messages.h"
#include "bth/shell/peer_link.h"

#include <cstddef>
#include <optional>

namespace bth::distribution::internal {

// Sends a message in a frame of its kind. The bytes of its payload, or 0 if nothing was sent.
std::size_t send(shell::peer_link& link, const membership::send_message& what);

// The message, or nothing if the payload is malformed.
std::optional<membership::message> decode(wire::byte_view payload);

} // namespace bth::distribution::internal
