#include "bth/control/edit_request.h"

#include "bth/config/json_reader.h"

#include <array>
#include <limits>
#include <optional>
#include <utility>

#include <json/writer.h>

namespace bth::control {

namespace {

constexpr std::uint64_t most_unix_ms = 253'402'300'799'000;
constexpr std::array<drain_kind, 4> all_kinds{drain_kind::target, drain_kind::host,
                                              drain_kind::failure_domain, drain_kind::region};

struct drain_subject {
    drain_kind kind{};
    std::string name;
};

drain_subject read_subject(config::json_object& at)
{
    drain_subject out;
    int named = 0;
    for (const drain_kind kind : all_kinds) {
        if (at.has(to_string(kind))) {
            out = {kind, at.required_string(to_string(kind)).value_or("")};
            ++named;
        }
    }
    if (named != 1) {
        at.report("", "a drain names one thing", "one of: target, host, failure_domain, region");
    }
    return out;
}

drain_change read_drain(config::json_object at)
{
    auto subject = read_subject(at);
    const auto from = at.integer_or("from_unix_ms", 0, most_unix_ms, 0);
    at.finish();
    return {subject.kind, std::move(subject.name),
            wall_time{std::chrono::milliseconds{static_cast<std::int64_t>(from)}}};
}

undrain_change read_undrain(config::json_object at)
{
    auto subject = read_subject(at);
    at.finish();
    return {subject.kind, std::move(subject.name)};
}

edit_change read_change(config::json_object& root, const config::json_document& document,
                        findings& found)
{
    edit_change out = text_change{};
    int changes = 0;
    if (root.has("text")) {
        out = text_change{root.required_string("text").value_or("")};
        ++changes;
    }
    if (const Json::Value* value = root.optional_value("drain")) {
        out = read_drain({*value, document, found});
        ++changes;
    }
    if (const Json::Value* value = root.optional_value("undrain")) {
        out = read_undrain({*value, document, found});
        ++changes;
    }
    if (changes != 1) {
        root.report("", "an edit makes one change", "one of: text, drain, undrain");
    }
    return out;
}

} // namespace

tl::expected<edit, findings> read_edit_request(std::string body, std::uint32_t ids_kept)
{
    findings found;
    const auto document = config::json_document::parse("edit", std::move(body), found);
    if (!document) {
        return tl::unexpected{std::move(found)};
    }
    config::json_object root{document->root(), *document, found};
    edit out;
    out.id = root.required_string("edit_id").value_or("");
    out.expected_version = revision{
        root.required_integer("expected_version", 0, std::numeric_limits<std::uint64_t>::max())
            .value_or(0)};
    out.author = root.string_or("author", "");
    out.change = read_change(root, *document, found);
    out.ids_kept = ids_kept;
    root.finish();
    if (found.empty()) {
        if (auto wrong = check_edit(out)) {
            found.add(root.place(), std::move(*wrong));
        }
    }
    if (!found.empty()) {
        return tl::unexpected{std::move(found)};
    }
    return out;
}

std::string write_edit_request(const edit& one)
{
    Json::Value body{Json::objectValue};
    body["edit_id"] = one.id;
    body["expected_version"] = Json::UInt64{one.expected_version.value()};
    if (!one.author.empty()) {
        body["author"] = one.author;
    }
    if (const auto* text = std::get_if<text_change>(&one.change)) {
        body["text"] = text->text;
    }
    else if (const auto* drain = std::get_if<drain_change>(&one.change)) {
        body["drain"][std::string{to_string(drain->kind)}] = drain->name;
        body["drain"]["from_unix_ms"] = Json::Int64{drain->from.time_since_epoch().count()};
    }
    else {
        const auto& undrain = std::get<undrain_change>(one.change);
        body["undrain"][std::string{to_string(undrain.kind)}] = undrain.name;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, body);
}

} // namespace bth::control
