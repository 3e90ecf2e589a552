// Edits of the operators' text, and their answers.
//
// An edit carries an id that its operator chose and the version that it was made for. The agreed
// log keeps edits in their order, and each control host feeds them to its edit_book.
//
//   edit one{"mend-links-7", revision{4}, "ada", text_change{text}, 10'000};
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bth::control {

// Replaces the whole text.
struct text_change {
    std::string text;
};

// The kinds of thing that a drain names.
enum class drain_kind : std::uint8_t { target, host, failure_domain, region };

// Announces a drain: from `from` on, the thing gets no new work. Zero means at once. A drain of the
// same thing that already stands in the text is replaced.
struct drain_change {
    drain_kind kind{};
    std::string name;
    wall_time from;
};

// Takes an announced drain back.
struct undrain_change {
    drain_kind kind{};
    std::string name;
};

using edit_change = std::variant<text_change, drain_change, undrain_change>;

struct edit {
    // Chosen by the operator, 1 to 128 bytes; the same for each resend of one edit.
    std::string id;
    // The version that the edit was made for; 0 before the first text.
    revision expected_version;
    // Who sends it, as free text of at most 128 bytes; shown to others whose edit loses.
    std::string author;
    edit_change change;
    // How many answers the book keeps from this edit on, at least 1. The host that proposes the
    // edit writes its setting here, so that all hosts forget the same ids at the same place of the
    // log.
    std::uint32_t ids_kept{10'000};
};

enum class edit_outcome : std::uint8_t {
    accepted,         // The edit made a new version.
    version_conflict, // Another edit made the version that this one wanted to make.
    text_refused,     // The text that the edit leads to has findings.
    malformed,        // The edit itself isn't well formed.
    id_reused,        // Another edit with this id was answered before.
    too_old,          // Too old to tell whether it was accepted.
};
inline constexpr std::size_t edit_outcome_count = 6;

struct edit_answer {
    edit_outcome outcome{};
    // The version that the edit made, or the version now if it made none.
    revision version;
    // The JSON that the operator gets, word for word the same for each resend.
    std::string body;
};

// The fixed names used in answers, settings and metrics, such as "version_conflict" and "target".
std::string_view to_string(edit_outcome outcome);
std::string_view to_string(drain_kind kind);
std::optional<drain_kind> parse_drain_kind(std::string_view name);

// What is wrong with the edit itself, or nothing.
std::optional<std::string> check_edit(const edit& one);

} // namespace bth::control
