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

// Parses a positive number of seconds, whole or decimal.
std::optional<duration> parse_seconds(std::string_view text)
{
    double seconds{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool is_number = error == std::errc{} && end == text.data() + text.size();
    if (!is_number || !std::isfinite(seconds) || seconds <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::min(seconds, max_rest_seconds)});
}

} // namespace

target_signals read_target_signals(std::string_view leaving, bool is_unavailable,
                                   std::string_view retry_after)
{
    target_signals out;
    out.leaves = trim(leaving) == "1";
    const auto rest = trim(retry_after);
    if (is_unavailable && !rest.empty()) {
        out.rest = parse_seconds(rest);
        out.has_unreadable_rest = !out.rest.has_value();
    }
    return out;
}

} // namespace bth::gateway
