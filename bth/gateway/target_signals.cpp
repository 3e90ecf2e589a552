#include "bth/gateway/target_signals.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace bth::gateway {

namespace {

// Longer times would overflow a duration in nanoseconds; no target rests for a day.
constexpr double max_rest_seconds = 86400.0;

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Parses a finite number that isn't negative, whole or decimal.
std::optional<double> parse_number(std::string_view text)
{
    double value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = error == std::errc{} && end == text.data() + text.size();
    if (!is_number || !std::isfinite(value) || std::signbit(value)) {
        return std::nullopt;
    }
    return value;
}

// Parses a positive number of seconds.
std::optional<duration> parse_seconds(std::string_view text)
{
    const auto seconds = parse_number(text);
    if (!seconds || *seconds <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::min(*seconds, max_rest_seconds)});
}

} // namespace

target_signals read_target_signals(const target_signal_fields& fields, bool is_unavailable)
{
    target_signals out;
    out.leaves = trim(fields.leaving) == "1";
    const auto rest = trim(fields.retry_after);
    if (is_unavailable && !rest.empty()) {
        out.rest = parse_seconds(rest);
        out.has_unreadable_rest = !out.rest.has_value();
    }
    const auto limit = trim(fields.limit);
    if (!limit.empty()) {
        out.limit = parse_number(limit);
        out.has_unreadable_limit = !out.limit.has_value();
    }
    return out;
}

} // namespace bth::gateway
