#include "bth/standins/behaviour.h"

#include "bth/config/json_reader.h"

#include <array>
#include <string_view>
#include <utility>

namespace bth::standins {

namespace {

constexpr std::uint64_t most_count = 1'000'000'000;
constexpr std::uint64_t most_late_ms = 600'000;
constexpr double most_cold_factor = 1000;

template <class Value>
using named_value = std::pair<std::string_view, Value>;

constexpr std::array<named_value<overload_policy>, 3> overload_names{
    {{"share_time", overload_policy::share_time},
     {"shed_marked", overload_policy::shed_marked},
     {"shed_bare", overload_policy::shed_bare}}};

constexpr std::array<named_value<report_policy>, 5> report_names{
    {{"true_load", report_policy::true_load},
     {"low", report_policy::low},
     {"high", report_policy::high},
     {"stuck", report_policy::stuck},
     {"none", report_policy::none}}};

// The value that the string at `key` names; a name that isn't in `names` is a finding.
template <class Value, std::size_t Count>
Value read_named(config::json_object& at, std::string_view key,
                 const std::array<named_value<Value>, Count>& names)
{
    const std::string name = at.string_or(key, std::string{names.front().first});
    std::string expected = "one of:";
    for (const auto& [known, value] : names) {
        if (name == known) {
            return value;
        }
        expected += ' ' + std::string{known};
    }
    at.report(key, "wrong value of \"" + std::string{key} + "\"", expected);
    return names.front().second;
}

std::uint32_t read_count(config::json_object& at, std::string_view key)
{
    return static_cast<std::uint32_t>(at.integer_or(key, 0, most_count, 0));
}

} // namespace

std::optional<behaviour> read_behaviour(const std::string& file, const std::string& text,
                                        findings& found)
{
    const auto document = config::json_document::parse(file, text, found);
    if (!document) {
        return std::nullopt;
    }
    config::json_object at{document->root(), *document, found};
    behaviour out;
    out.overload = read_named(at, "overload", overload_names);
    out.report = read_named(at, "report", report_names);
    out.cold_answers = read_count(at, "cold_answers");
    out.cold_factor = at.number_or("cold_factor", {1, most_cold_factor}, 1.0);
    out.late_every = read_count(at, "late_every");
    out.late_by = std::chrono::milliseconds{at.integer_or("late_by_ms", 0, most_late_ms, 0)};
    out.cut_every = read_count(at, "cut_every");
    out.fail_every = read_count(at, "fail_every");
    out.leaving = at.boolean_or("leaving", false);
    at.finish();
    return found.empty() ? std::optional{out} : std::nullopt;
}

} // namespace bth::standins
