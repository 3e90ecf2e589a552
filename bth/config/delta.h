// What an edit changed: the entries and client blocks that it set and removed.
//
//   delta change = difference(old_table, new_table);
//   if (auto done = table.apply(change); !done) { ask for a snapshot; }
//
// Each change states a value outright, so that applying a delta twice, or over a table that holds
// some of it already, gives the same result. A snapshot is sent as a row of bounded pieces that may
// come from different revisions; the deltas between the lowest and the highest of them, merged in
// order, make it whole (a fuzzy checkpoint with a redo log, as in ARIES, Mohan et al. 1992).
#pragma once

#include "bth/config/text_table.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::config {

struct delta {
    revision from;
    revision to;
    // The digest of the table at `to`.
    table_digest digest;
    std::vector<entry> set;
    std::vector<entry_key> removed;
    // The failure domains that blocks_set refers to by index.
    std::vector<std::string> domains;
    std::vector<block_row> blocks_set;
    std::vector<ipv4_block> blocks_removed;
};

// What leads from one table to another, at the cost of comparing both.
delta difference(const text_table& older, const text_table& newer);

// Where the next piece of a snapshot starts: behind this entry, or this block once `in_blocks`.
struct snapshot_cursor {
    bool in_blocks{};
    bool started{};
    entry_key entry;
    ipv4_block block;
};

// A piece of a snapshot: entries of the table at `content.to`, whose whole digest is
// content.digest.
struct snapshot_piece {
    delta content;
    // Nothing after the last piece.
    std::optional<snapshot_cursor> next;
};

// The entries behind `cursor`, of some `most_bytes` bytes but at least one.
snapshot_piece piece_after(const text_table& table, const snapshot_cursor& cursor,
                           std::size_t most_bytes);

// The FlatBuffers form of a delta. decode() verifies the whole buffer and each value in it, and
// returns nothing for anything that encode() didn't make.
std::string encode(const delta& change);
std::optional<delta> decode_delta(std::string_view bytes);

} // namespace bth::config
