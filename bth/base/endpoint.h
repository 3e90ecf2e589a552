// IPv4 addresses, ports and blocks of addresses, as plain values without any socket library.
//
//   auto where = parse_endpoint("127.1.0.1:8080");
//   auto block = parse_ipv4_block("10.3.0.0/16");
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bth {

// An IPv4 address in host byte order.
struct ipv4_address {
    std::uint32_t bits{};
    friend constexpr auto operator<=>(const ipv4_address&, const ipv4_address&) = default;
};

// An address and a TCP port.
struct endpoint {
    ipv4_address address;
    std::uint16_t port{};
    friend constexpr auto operator<=>(const endpoint&, const endpoint&) = default;
};

// All addresses whose first `length` bits (0 to 32) are those of `address`; the other bits are
// zero.
struct ipv4_block {
    ipv4_address address;
    std::uint8_t length{};
    friend constexpr auto operator<=>(const ipv4_block&, const ipv4_block&) = default;
};

// Each parser takes the usual notation and returns nothing for any other text, set bits behind a
// block's length included.
std::optional<ipv4_address> parse_ipv4_address(std::string_view text);
std::optional<endpoint> parse_endpoint(std::string_view text);
std::optional<ipv4_block> parse_ipv4_block(std::string_view text);

std::string to_string(ipv4_address address);
std::string to_string(const endpoint& where);
std::string to_string(const ipv4_block& block);

// Whether `address` lies in `block`.
bool contains(const ipv4_block& block, ipv4_address address);

} // namespace bth
