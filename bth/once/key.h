// Idempotency keys: the prefix that a look-up hands out, and how a key is read.
//
// A caller puts the prefix before a part of its own that is unique to the request, and resends the
// request with the same key. The prefix names the entry host that keeps the record, its
// incarnation, and when the prefix was handed out:
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
inline constexpr std::size_t longest_key = 256;

// Where the prefix of a key was handed out.
struct key_origin {
    std::string host;
    incarnation life;
    // Counts the key epochs of that life.
    std::uint64_t epoch{};
    friend bool operator==(const key_origin&, const key_origin&) = default;
};

std::string make_prefix(const key_origin& origin);

// The origin of a key, or nothing for a key without a prefix.
std::optional<key_origin> parse_origin(std::string_view key);

} // namespace bth::once
