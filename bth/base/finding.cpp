#include "bth/base/finding.h"

#include <algorithm>
#include <utility>

namespace bth {

void findings::add(source_place place, std::string message, std::string expected)
{
    this->rows.push_back({std::move(place), std::move(message), std::move(expected)});
}

void findings::add_warning(source_place place, std::string message, std::string expected)
{
    this->rows.push_back(
        {std::move(place), std::move(message), std::move(expected), severity::warning});
}

bool findings::has_errors() const
{
    return std::any_of(this->rows.begin(), this->rows.end(),
                       [](const finding& each) { return each.level == severity::error; });
}

source_place place_of_offset(std::string_view file, std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto line_start = before.rfind('\n');
    const auto column =
        line_start == std::string_view::npos ? before.size() + 1 : before.size() - line_start;
    return {std::string{file}, static_cast<std::uint32_t>(line),
            static_cast<std::uint32_t>(column)};
}

std::string to_string(const finding& what)
{
    std::string line = what.place.file;
    if (what.place.line != 0) {
        line += ':' + std::to_string(what.place.line) + ':' + std::to_string(what.place.column);
    }
    line += what.level == severity::warning ? ": warning: " : ": ";
    line += what.message;
    if (!what.expected.empty()) {
        line += "; expected " + what.expected;
    }
    return line;
}

std::string to_string(const findings& all)
{
    std::string text;
    for (const finding& each : all.all()) {
        text += to_string(each) + '\n';
    }
    return text;
}

} // namespace bth
