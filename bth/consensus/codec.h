// What replicas send and keep, as bytes (FlatBuffers, bth/consensus/consensus.fbs). Every decoder
// verifies its input and returns nothing for bytes that aren't well formed.
//
//   auto bytes = encode(envelope);
//   auto again = decode_envelope(bytes);
#pragma once

#include "bth/consensus/messages.h"
#include "bth/consensus/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::consensus {

// Who owns a data folder, and the group that this member founded, if it did.
struct folder_identity {
    member_id self;
    configuration founders;
    friend bool operator==(const folder_identity&, const folder_identity&) = default;
};

// One record of the log on disk.
struct durable_batch {
    std::optional<hard_state> state;
    std::vector<log_entry> entries;
    friend bool operator==(const durable_batch&, const durable_batch&) = default;
};

std::string encode(const folder_identity& identity);
std::string encode(const durable_batch& batch);
std::string encode(const snapshot& taken);
std::string encode(const envelope& sent);

std::optional<folder_identity> decode_identity(std::string_view bytes);
std::optional<durable_batch> decode_batch(std::string_view bytes);
std::optional<snapshot> decode_snapshot(std::string_view bytes);
std::optional<envelope> decode_envelope(std::string_view bytes);

} // namespace bth::consensus
