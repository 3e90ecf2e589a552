// Idempotency keys: the format of the prefix that a lookup response issues, and its parser.
//
// A caller appends a suffix of its own, unique to the request, to the prefix, and resends the
// request with the same key. The prefix names the entry host that keeps the record, the host's
// incarnation, and the key epoch in which the prefix was issued:
//
//   bth:entry-east-mids-1-a:1733259600000:12:  +  34-fee-4711
//
//   const std::string prefix = make_prefix({"entry-east-mids-1-a", incarnation{1}, 12});
//   if (auto origin = parse_origin(key)) { use(origin->host); }
#pragma once

#include "bth/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bth::once {

// Longer keys are refused.
inline constexpr std::size_t max_key_bytes = 256;

// Where and when the prefix of a key was issued.
struct key_origin {
    std::string host;
    incarnation incarnation_number;
    // The number of the key epoch, counted from 0 within that incarnation.
    std::uint64_t epoch{};
    friend bool operator==(const key_origin&, const key_origin&) = default;
};

std::string make_prefix(const key_origin& origin);

// Returns the origin that the prefix of a key states, or nothing for a key without a valid prefix.
std::optional<key_origin> parse_origin(std::string_view key);

} // namespace bth::once
