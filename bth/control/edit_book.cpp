#include "bth/control/edit_book.h"

#include "bth/config/text.h"
#include "bth/control/drain_text.h"
#include "bth/control/edit_answers.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bth::control {

namespace {

constexpr std::size_t most_rows_kept = 20;

// The kind of change and what it names; `from` of a drain counts, too.
std::string fingerprint_text(const edit_change& change)
{
    if (const auto* text = std::get_if<text_change>(&change)) {
        return "text " + text->text;
    }
    if (const auto* drain = std::get_if<drain_change>(&change)) {
        return "drain " + std::string{to_string(drain->kind)} + " " +
               std::to_string(drain->from.time_since_epoch().count()) + " " + drain->name;
    }
    const auto& undrain = std::get<undrain_change>(change);
    return "undrain " + std::string{to_string(undrain.kind)} + " " + undrain.name;
}

std::uint64_t fingerprint(const edit_change& change)
{
    const std::string text = fingerprint_text(change);
    return XXH3_64bits(text.data(), text.size());
}

// The text that a change of the present text leads to.
tl::expected<std::string, std::string> changed_text(const std::string& text,
                                                    const edit_change& change)
{
    if (const auto* whole = std::get_if<text_change>(&change)) {
        return whole->text;
    }
    if (const auto* drain = std::get_if<drain_change>(&change)) {
        return with_drain(text, *drain);
    }
    return without_drain(text, std::get<undrain_change>(change));
}

} // namespace

applied_edit edit_book::apply(const edit& one)
{
    if (auto before = this->answered(one)) {
        return {std::move(*before), true};
    }
    edit_answer answer = this->decide(one);
    if (answer.outcome != edit_outcome::malformed) {
        this->keep(one, answer);
    }
    return {std::move(answer), false};
}

std::optional<edit_answer> edit_book::answered(const edit& one) const
{
    const auto place = this->by_id.find(one.id);
    if (place == this->by_id.end()) {
        return std::nullopt;
    }
    const kept_answer& kept = this->order.at(place->second - this->first);
    if (kept.fingerprint != fingerprint(one.change)) {
        return plain_answer(edit_outcome::id_reused, one, this->now,
                            "another edit with the id " + one.id +
                                " was answered before; choose a new id");
    }
    return kept.answer;
}

edit_answer edit_book::decide(const edit& one)
{
    if (const auto wrong = check_edit(one)) {
        return plain_answer(edit_outcome::malformed, one, this->now, *wrong);
    }
    if (one.expected_version != this->now) {
        return this->conflict(one);
    }
    auto text = changed_text(this->current, one.change);
    if (!text) {
        findings found;
        found.add({"text", 0, 0}, text.error());
        return refused_answer(one, this->now, found);
    }
    const auto checked = config::read_text("text", *text);
    if (!checked) {
        return refused_answer(one, this->now, checked.error());
    }
    return this->accept(one, std::move(*text));
}

edit_answer edit_book::conflict(const edit& one) const
{
    if (one.expected_version > this->now) {
        return conflict_answer(one, this->now, {});
    }
    const auto later =
        std::find_if(this->history.begin(), this->history.end(), [&](const accepted_edit& each) {
            return each.version > one.expected_version;
        });
    if (later == this->history.end() ||
        later->version.value() != one.expected_version.value() + 1) {
        return plain_answer(edit_outcome::too_old, one, this->now,
                            "the edits after version " +
                                std::to_string(one.expected_version.value()) +
                                " are forgotten; compare the text now with yours");
    }
    if (later->edit_id == one.id) {
        return accepted_answer(one.id, later->version);
    }
    return conflict_answer(one, this->now, {later, this->history.end()});
}

edit_answer edit_book::accept(const edit& one, std::string text)
{
    auto changes = config::difference_of(this->current, text, most_rows_kept);
    this->current = std::move(text);
    this->now = revision{this->now.value() + 1};
    this->history.push_back({this->now, one.id, one.author, std::move(changes)});
    return accepted_answer(one.id, this->now);
}

void edit_book::keep(const edit& one, const edit_answer& answer)
{
    this->by_id.emplace(one.id, this->first + this->order.size());
    this->order.push_back({one.id, fingerprint(one.change), answer});
    while (this->order.size() > one.ids_kept) {
        this->by_id.erase(this->order.front().edit_id);
        this->order.pop_front();
        ++this->first;
    }
    while (this->history.size() > one.ids_kept) {
        this->history.pop_front();
    }
}

} // namespace bth::control
