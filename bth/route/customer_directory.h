// Finds the customer that a caller's key belongs to. It holds digests of the keys under a secret of
// the process, so that neither its memory nor the time of a look-up tells a key.
//
//   customer_directory directory{configuration.customers, make_digest_secret()};
//   const auto digest = directory.digest_of(key);
//   if (const auto customer = directory.find(digest)) { ... }
//
// Keep the digest of a request that waits, and look it up again before the request is sent: the key
// may be withdrawn meanwhile.
#pragma once

#include "bth/route/model.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace bth::route {

inline constexpr std::size_t digest_bytes = 32;
using key_digest = std::array<std::uint8_t, digest_bytes>;
using digest_secret = std::array<std::uint8_t, digest_bytes>;

// Returns a random secret. Digests under it mean nothing to another process.
digest_secret make_digest_secret();

class customer_directory {
public:
    // Callers need no key.
    customer_directory() = default;
    // Callers need a key of one of the customers, unless there is no list of them.
    customer_directory(std::optional<std::vector<customer>> customers, const digest_secret& secret);

    // Whether routes that aren't public need a key.
    bool requires_key() const { return this->is_key_required; }
    // Returns the digest of a key (HMAC-SHA-256), the same while the secret is.
    key_digest digest_of(std::string_view key) const;
    // Returns the customer with the key, without its keys, or null.
    std::shared_ptr<const customer> find(const key_digest& digest) const;
    // All customers, without their keys.
    const std::vector<std::shared_ptr<const customer>>& customers() const { return this->all; }

private:
    bool is_key_required{};
    digest_secret secret{};
    std::vector<std::shared_ptr<const customer>> all;
    std::map<key_digest, std::shared_ptr<const customer>> by_digest;
};

} // namespace bth::route
