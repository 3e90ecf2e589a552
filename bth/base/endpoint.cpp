#include "bth/base/endpoint.h"

#include <charconv>

namespace bth {

namespace {

constexpr int address_bits = 32;

// Reads a whole decimal number of at most `limit` from the front of `text` and removes it there.
std::optional<std::uint32_t> take_number(std::string_view& text, std::uint32_t limit)
{
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || value > limit) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(stop - text.data());
    if (length > 1 && text.front() == '0') {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return value;
}

bool take_character(std::string_view& text, char wanted)
{
    if (text.empty() || text.front() != wanted) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::uint32_t mask_of(std::uint8_t length)
{
    return length == 0 ? 0U : ~std::uint32_t{0} << (address_bits - length);
}

} // namespace

std::optional<ipv4_address> parse_ipv4_address(std::string_view text)
{
    constexpr std::uint32_t largest_octet = 255;
    constexpr int octets = 4;
    constexpr int bits_per_octet = 8;
    std::uint32_t bits = 0;
    for (int position = 0; position < octets; ++position) {
        if (position > 0 && !take_character(text, '.')) {
            return std::nullopt;
        }
        const auto octet = take_number(text, largest_octet);
        if (!octet) {
            return std::nullopt;
        }
        bits = (bits << bits_per_octet) | *octet;
    }
    if (!text.empty()) {
        return std::nullopt;
    }
    return ipv4_address{bits};
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::uint32_t largest_port = 65'535;
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto address = parse_ipv4_address(text.substr(0, colon));
    std::string_view rest = text.substr(colon + 1);
    const auto port = take_number(rest, largest_port);
    if (!address || !port || !rest.empty()) {
        return std::nullopt;
    }
    return endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::optional<ipv4_block> parse_ipv4_block(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto address = parse_ipv4_address(text.substr(0, slash));
    std::string_view rest = text.substr(slash + 1);
    const auto length = take_number(rest, address_bits);
    if (!address || !length || !rest.empty()) {
        return std::nullopt;
    }
    const auto short_length = static_cast<std::uint8_t>(*length);
    if ((address->bits & ~mask_of(short_length)) != 0) {
        return std::nullopt;
    }
    return ipv4_block{*address, short_length};
}

std::string to_string(ipv4_address address)
{
    constexpr std::uint32_t octet_mask = 255;
    std::string text;
    for (int shift = address_bits - 8; shift >= 0; shift -= 8) {
        text += std::to_string((address.bits >> shift) & octet_mask);
        if (shift > 0) {
            text += '.';
        }
    }
    return text;
}

std::string to_string(const endpoint& where)
{
    return to_string(where.address) + ':' + std::to_string(where.port);
}

std::string to_string(const ipv4_block& block)
{
    return to_string(block.address) + '/' + std::to_string(block.length);
}

bool contains(const ipv4_block& block, ipv4_address address)
{
    return (address.bits & mask_of(block.length)) == block.address.bits;
}

} // namespace bth
