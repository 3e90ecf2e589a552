// Deflated bytes (RFC 1951), for messages that are long and repeat themselves.
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

// Nothing if the bytes are damaged or inflate to more than `limit`.
std::optional<std::string> inflate(std::string_view bytes, std::size_t limit);

} // namespace bth::fleet
