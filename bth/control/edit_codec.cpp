#include "bth/control/edit_codec.h"

#include "bth/control/edit_book.h"
#include "bth/control/internal/edits_generated.h"

#include <algorithm>
#include <utility>

namespace bth::control {

namespace {

namespace fb = flatbuffers;

constexpr fb::uoffset_t verify_depth = 16;
constexpr fb::uoffset_t verify_tables = 100'000'000;
constexpr std::uint8_t last_kind = static_cast<std::uint8_t>(drain_kind::region);

std::vector<std::uint8_t> bytes_of(const fb::FlatBufferBuilder& builder)
{
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::string text_of(const fb::String* text)
{
    return text == nullptr ? std::string{} : text->str();
}

wall_time from_unix_ms(std::int64_t value)
{
    return wall_time{std::chrono::milliseconds{value}};
}

struct encoded_change {
    frames::change kind{};
    fb::Offset<void> value;
};

encoded_change encode_change(fb::FlatBufferBuilder& out, const edit_change& change)
{
    if (const auto* text = std::get_if<text_change>(&change)) {
        const auto body = out.CreateString(text->text);
        return {frames::change::text_change, frames::Createtext_change(out, body).Union()};
    }
    if (const auto* drain = std::get_if<drain_change>(&change)) {
        const auto name = out.CreateString(drain->name);
        const auto kind = static_cast<std::uint8_t>(drain->kind);
        const std::int64_t from = drain->from.time_since_epoch().count();
        return {frames::change::drain_change,
                frames::Createdrain_change(out, kind, name, from).Union()};
    }
    const auto& undrain = std::get<undrain_change>(change);
    const auto name = out.CreateString(undrain.name);
    const auto kind = static_cast<std::uint8_t>(undrain.kind);
    return {frames::change::undrain_change, frames::Createundrain_change(out, kind, name).Union()};
}

tl::expected<edit_change, std::string> decode_change(const frames::edit_record& record)
{
    if (const auto* text = record.change_as_text_change()) {
        return text_change{text_of(text->text())};
    }
    const auto* drain = record.change_as_drain_change();
    if (drain != nullptr && drain->kind() <= last_kind) {
        return drain_change{static_cast<drain_kind>(drain->kind()), text_of(drain->name()),
                            from_unix_ms(drain->from_unix_ms())};
    }
    const auto* undrain = record.change_as_undrain_change();
    if (undrain != nullptr && undrain->kind() <= last_kind) {
        return undrain_change{static_cast<drain_kind>(undrain->kind()), text_of(undrain->name())};
    }
    return tl::unexpected{std::string{"the edit has a change of an unknown kind"}};
}

fb::Offset<frames::accepted_row> encode_accepted(fb::FlatBufferBuilder& out,
                                                 const accepted_edit& accepted)
{
    std::vector<fb::Offset<frames::difference_row>> rows;
    for (const config::row_difference& row : accepted.changes.rows) {
        const auto section = out.CreateString(row.section);
        const auto name = out.CreateString(row.name);
        const auto before = out.CreateString(row.before);
        const auto after = out.CreateString(row.after);
        rows.push_back(frames::Createdifference_row(out, static_cast<std::uint8_t>(row.change),
                                                    section, name, before, after));
    }
    const auto id = out.CreateString(accepted.edit_id);
    const auto author = out.CreateString(accepted.author);
    const auto all_rows = out.CreateVector(rows);
    return frames::Createaccepted_row(out, accepted.version.value(), id, author, all_rows,
                                      accepted.changes.omitted);
}

accepted_edit decode_accepted(const frames::accepted_row& row)
{
    accepted_edit out{revision{row.version()}, text_of(row.edit_id()), text_of(row.author()), {}};
    out.changes.omitted = row.omitted();
    if (row.rows() == nullptr) {
        return out;
    }
    constexpr auto last_change = static_cast<std::uint8_t>(config::row_change::changed);
    for (const auto* each : *row.rows()) {
        const auto change = static_cast<config::row_change>(std::min(each->change(), last_change));
        out.changes.rows.push_back({change, text_of(each->section()), text_of(each->name()),
                                    text_of(each->before()), text_of(each->after())});
    }
    return out;
}

fb::Offset<frames::answer_row> encode_answer(fb::FlatBufferBuilder& out, const kept_answer& kept)
{
    const auto id = out.CreateString(kept.edit_id);
    const auto body = out.CreateString(kept.answer.body);
    return frames::Createanswer_row(out, id, kept.fingerprint,
                                    static_cast<std::uint8_t>(kept.answer.outcome),
                                    kept.answer.version.value(), body);
}

kept_answer decode_answer(const frames::answer_row& row)
{
    return {
        text_of(row.edit_id()),
        row.fingerprint(),
        {static_cast<edit_outcome>(row.outcome()), revision{row.version()}, text_of(row.body())}};
}

} // namespace

std::vector<std::uint8_t> encode_edit(const edit& one)
{
    fb::FlatBufferBuilder out;
    const auto id = out.CreateString(one.id);
    const auto author = out.CreateString(one.author);
    const encoded_change change = encode_change(out, one.change);
    out.Finish(frames::Createedit_record(out, id, one.expected_version.value(), author, change.kind,
                                         change.value, one.ids_kept));
    return bytes_of(out);
}

tl::expected<edit, std::string> decode_edit(const std::vector<std::uint8_t>& bytes)
{
    fb::Verifier verifier{bytes.data(), bytes.size()};
    if (!verifier.VerifyBuffer<frames::edit_record>(nullptr)) {
        return tl::unexpected{std::string{"the bytes are no edit"}};
    }
    const auto& record = *fb::GetRoot<frames::edit_record>(bytes.data());
    auto change = decode_change(record);
    if (!change) {
        return tl::unexpected{change.error()};
    }
    return edit{text_of(record.id()), revision{record.expected_version()}, text_of(record.author()),
                std::move(*change), record.ids_kept()};
}

std::vector<std::uint8_t> edit_book::snapshot() const
{
    fb::FlatBufferBuilder out;
    const auto text = out.CreateString(this->current);
    std::vector<fb::Offset<frames::accepted_row>> accepted_rows;
    for (const accepted_edit& each : this->history) {
        accepted_rows.push_back(encode_accepted(out, each));
    }
    std::vector<fb::Offset<frames::answer_row>> answer_rows;
    for (const kept_answer& each : this->order) {
        answer_rows.push_back(encode_answer(out, each));
    }
    const auto all_accepted = out.CreateVector(accepted_rows);
    const auto all_answers = out.CreateVector(answer_rows);
    out.Finish(
        frames::Createedit_book_state(out, this->now.value(), text, all_accepted, all_answers));
    return bytes_of(out);
}

tl::expected<edit_book, std::string> edit_book::restore(const std::vector<std::uint8_t>& bytes)
{
    fb::Verifier verifier{bytes.data(), bytes.size(), verify_depth, verify_tables};
    if (!verifier.VerifyBuffer<frames::edit_book_state>(nullptr)) {
        return tl::unexpected{std::string{"the bytes are no snapshot of an edit book"}};
    }
    const auto& state = *fb::GetRoot<frames::edit_book_state>(bytes.data());
    edit_book out;
    out.now = revision{state.version()};
    out.current = text_of(state.text());
    if (state.accepted() != nullptr) {
        for (const auto* each : *state.accepted()) {
            out.history.push_back(decode_accepted(*each));
        }
    }
    if (state.answers() == nullptr) {
        return out;
    }
    for (const auto* each : *state.answers()) {
        if (each->outcome() >= edit_outcome_count) {
            return tl::unexpected{std::string{"the snapshot has an outcome of an unknown kind"}};
        }
        out.by_id.emplace(text_of(each->edit_id()), out.order.size());
        out.order.push_back(decode_answer(*each));
    }
    return out;
}

} // namespace bth::control
