#include "bth/once/key.h"

#include <charconv>

namespace bth::once {

namespace {

constexpr std::string_view tag = "bth:";
constexpr char separator = ':';

// Cuts the part up to the next separator off `text`, or nothing if there is none.
std::optional<std::string_view> take_part(std::string_view& text)
{
    const std::size_t end = text.find(separator);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(end + 1);
    return part;
}

std::optional<std::uint64_t> take_number(std::string_view& text)
{
    const auto part = take_part(text);
    if (!part) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* const end = part->data() + part->size();
    const auto result = std::from_chars(part->data(), end, value);
    return result.ec == std::errc{} && result.ptr == end ? std::optional{value} : std::nullopt;
}

} // namespace

std::string make_prefix(const key_origin& origin)
{
    std::string prefix{tag};
    prefix.append(origin.host).push_back(separator);
    prefix.append(std::to_string(origin.life.value())).push_back(separator);
    prefix.append(std::to_string(origin.epoch)).push_back(separator);
    return prefix;
}

std::optional<key_origin> parse_origin(std::string_view key)
{
    if (!key.starts_with(tag)) {
        return std::nullopt;
    }
    key.remove_prefix(tag.size());
    const auto host = take_part(key);
    const auto life = take_number(key);
    const auto epoch = take_number(key);
    if (!host || host->empty() || !life || !epoch) {
        return std::nullopt;
    }
    return key_origin{std::string{*host}, incarnation{*life}, *epoch};
}

} // namespace bth::once
