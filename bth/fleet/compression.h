// Raw deflate compression (RFC 1951), for long and repetitive messages.
//
//   std::string small = deflate(text);
//   if (auto text = inflate(small, limit)) { ... }
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bth::fleet {

std::string deflate(std::string_view bytes);

// Returns nothing if the bytes are damaged or inflate to more than `limit` bytes.
std::optional<std::string> inflate(std::string_view bytes, std::size_t limit);

} // namespace bth::fleet
