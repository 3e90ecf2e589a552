#include "bth/once/key.h"

#include <charconv>

namespace bth::once {

namespace {

constexpr std::string_view prefix_tag = "bth:";
constexpr char separator = ':';

// Returns the field before the next separator and removes both from `text`. Returns nothing if
// there is no separator.
std::optional<std::string_view> consume_field(std::string_view& text)
{
    const std::size_t end = text.find(separator);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view field = text.substr(0, end);
    text.remove_prefix(end + 1);
    return field;
}

// Like consume_field, for a decimal number; nothing too if the field is no such number.
std::optional<std::uint64_t> consume_number(std::string_view& text)
{
    const auto field = consume_field(text);
    if (!field) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* const end = field->data() + field->size();
    const auto result = std::from_chars(field->data(), end, value);
    return result.ec == std::errc{} && result.ptr == end ? std::optional{value} : std::nullopt;
}

} // namespace

std::string make_prefix(const key_origin& origin)
{
    std::string prefix{prefix_tag};
    prefix.append(origin.host).push_back(separator);
    prefix.append(std::to_string(origin.incarnation_number.value())).push_back(separator);
    prefix.append(std::to_string(origin.epoch)).push_back(separator);
    return prefix;
}

std::optional<key_origin> parse_origin(std::string_view key)
{
    if (!key.starts_with(prefix_tag)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix_tag.size());
    const auto host = consume_field(key);
    const auto incarnation_number = consume_number(key);
    const auto epoch = consume_number(key);
    if (!host || host->empty() || !incarnation_number || !epoch) {
        return std::nullopt;
    }
    return key_origin{std::string{*host}, incarnation{*incarnation_number}, *epoch};
}

} // namespace bth::once
