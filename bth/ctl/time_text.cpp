#include "bth/ctl/time_text.h"

#include <charconv>
#include <chrono>
#include <cstdint>

namespace bth::ctl {

namespace {

constexpr std::int64_t most_unix_ms = 253'402'300'799'000;

// The whole of `text` as a number of decimal digits.
std::optional<std::int64_t> number(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Whether the text has the digits and separators of "YYYY-MM-DDThh:mm:ssZ".
bool has_shape(std::string_view text)
{
    constexpr std::string_view shape = "0000-00-00T00:00:00Z";
    if (text.size() != shape.size()) {
        return false;
    }
    for (std::size_t index = 0; index < shape.size(); ++index) {
        const char each = text.at(index);
        const bool digit = each >= '0' && each <= '9';
        if (shape.at(index) == '0' ? !digit : each != shape.at(index)) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<wall_time> parse_wall_time(std::string_view text)
{
    constexpr std::int64_t most_hour = 23;
    constexpr std::int64_t most_minute = 59;
    if (const auto milliseconds = number(text)) {
        if (*milliseconds > most_unix_ms) {
            return std::nullopt;
        }
        return wall_time{std::chrono::milliseconds{*milliseconds}};
    }
    if (!has_shape(text)) {
        return std::nullopt;
    }
    const auto part = [text](std::size_t start, std::size_t length) {
        return number(text.substr(start, length)).value_or(0);
    };
    const std::chrono::year_month_day day{std::chrono::year{static_cast<int>(part(0, 4))},
                                          std::chrono::month{static_cast<unsigned>(part(5, 2))},
                                          std::chrono::day{static_cast<unsigned>(part(8, 2))}};
    const std::int64_t hour = part(11, 2);
    const std::int64_t minute = part(14, 2);
    const std::int64_t second = part(17, 2);
    if (!day.ok() || hour > most_hour || minute > most_minute || second > most_minute) {
        return std::nullopt;
    }
    const wall_time out = std::chrono::sys_days{day} + std::chrono::hours{hour} +
                          std::chrono::minutes{minute} + std::chrono::seconds{second};
    return out < wall_time{} ? std::nullopt : std::optional{out};
}

} // namespace bth::ctl
