// Messages of the steering core between entry hosts, as payloads of frames of the kind "steering".
// Rows go by name; each host reads them into the ids of its own model.
//
//   link.send(host, frame_kind::steering, encode_steering(model, message));
//   auto read = decode_steering(model, payload);
//   if (!read.well_formed) { close; }
//   if (read.message) { node.receive(from, *read.message, now); }
#pragma once

#include "bth/config/model.h"
#include "bth/steering/messages.h"
#include "bth/wire/frame.h"

#include <optional>

namespace bth::wire {

bytes encode_steering(const config::model& model, const steering::peer_message& message);

struct decoded_steering {
    // False if the payload doesn't verify or a number in it makes no sense.
    bool well_formed{};
    // Nothing if the message is about rows that this model doesn't have. Of a list, only the rows
    // that it has are kept.
    std::optional<steering::peer_message> message;
};

decoded_steering decode_steering(const config::model& model, byte_view payload);

} // namespace bth::wire
