#include "bth/control/edit.h"

#include <algorithm>
#include <array>

namespace bth::control {

namespace {

constexpr std::size_t most_id_bytes = 128;
constexpr std::array<std::string_view, edit_outcome_count> outcome_names{
    "accepted", "version_conflict", "text_refused", "malformed", "id_reused", "too_old"};
constexpr std::array<std::string_view, 4> kind_names{"target", "host", "failure_domain", "region"};

bool printable(std::string_view text)
{
    constexpr char first = ' ';
    constexpr char last = '~';
    return std::all_of(text.begin(), text.end(),
                       [](char each) { return each >= first && each <= last; });
}

bool names_nothing(const edit_change& change)
{
    if (const auto* drain = std::get_if<drain_change>(&change)) {
        return drain->name.empty();
    }
    const auto* undrain = std::get_if<undrain_change>(&change);
    return undrain != nullptr && undrain->name.empty();
}

} // namespace

std::string_view to_string(edit_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

std::string_view to_string(drain_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<drain_kind> parse_drain_kind(std::string_view name)
{
    const auto* const found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<drain_kind>(found - kind_names.begin());
}

std::optional<std::string> check_edit(const edit& one)
{
    if (one.id.empty() || one.id.size() > most_id_bytes || !printable(one.id)) {
        return "the edit id is not 1 to 128 printable ASCII characters";
    }
    if (one.author.size() > most_id_bytes || !printable(one.author)) {
        return "the author is not up to 128 printable ASCII characters";
    }
    if (one.ids_kept == 0) {
        return "no edit id would be kept";
    }
    if (names_nothing(one.change)) {
        return "the change names nothing to drain";
    }
    return std::nullopt;
}

} // namespace bth::control
