#include "bth/control/drain_text.h"

#include "bth/config/json_reader.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include <json/writer.h>

namespace bth::control {

namespace {

constexpr const char* drains_key = "drains";

std::string slice(const std::string& text, const Json::Value& value)
{
    const auto start = static_cast<std::size_t>(value.getOffsetStart());
    const auto limit = static_cast<std::size_t>(value.getOffsetLimit());
    return text.substr(start, limit - start);
}

bool names(const Json::Value& drain, drain_kind kind, const std::string& name)
{
    const std::string key{to_string(kind)};
    return drain.isObject() && drain.isMember(key) && drain[key].isString() &&
           drain[key].asString() == name;
}

std::string drain_row(const drain_change& change)
{
    std::string row = "{\"" + std::string{to_string(change.kind)} +
                      "\": " + Json::valueToQuotedString(change.name.c_str());
    if (change.from != wall_time{}) {
        row += ", \"from_unix_ms\": " + std::to_string(change.from.time_since_epoch().count());
    }
    return row + "}";
}

std::string drains_array(const std::vector<std::string>& rows)
{
    std::string out = "[";
    for (const std::string& row : rows) {
        out += (out.size() == 1 ? "\n    " : ",\n    ") + row;
    }
    return out + (rows.empty() ? "]" : "\n  ]");
}

// Puts the array in place of the one that stands in the text, or at the head of the text's object.
std::string replace_drains(const std::string& text, const Json::Value& root,
                           const std::vector<std::string>& rows)
{
    std::string out = text;
    if (root.isMember(drains_key)) {
        const auto start = static_cast<std::size_t>(root[drains_key].getOffsetStart());
        const auto limit = static_cast<std::size_t>(root[drains_key].getOffsetLimit());
        return out.replace(start, limit - start, drains_array(rows));
    }
    const auto behind_brace = static_cast<std::size_t>(root.getOffsetStart()) + 1;
    return out.insert(behind_brace, "\n  \"drains\": " + drains_array(rows) + ",");
}

struct parsed_drains {
    config::json_document document;
    // The text of each drain but those of the thing in question.
    std::vector<std::string> others;
    bool found{};
};

tl::expected<parsed_drains, std::string> parse_drains(const std::string& text, drain_kind kind,
                                                      const std::string& name)
{
    findings found;
    auto document = config::json_document::parse("text", text, found);
    if (!document || !document->root().isObject()) {
        return tl::unexpected{std::string{"there is no accepted text to change yet"}};
    }
    parsed_drains out{std::move(*document), {}, false};
    const Json::Value& root = out.document.root();
    if (!root.isMember(drains_key)) {
        return out;
    }
    if (!root[drains_key].isArray()) {
        return tl::unexpected{std::string{"\"drains\" of the text is no array"}};
    }
    for (const Json::Value& each : root[drains_key]) {
        if (names(each, kind, name)) {
            out.found = true;
        }
        else {
            out.others.push_back(slice(text, each));
        }
    }
    return out;
}

} // namespace

tl::expected<std::string, std::string> with_drain(const std::string& text,
                                                  const drain_change& change)
{
    auto parsed = parse_drains(text, change.kind, change.name);
    if (!parsed) {
        return tl::unexpected{parsed.error()};
    }
    parsed->others.push_back(drain_row(change));
    return replace_drains(text, parsed->document.root(), parsed->others);
}

tl::expected<std::string, std::string> without_drain(const std::string& text,
                                                     const undrain_change& change)
{
    const auto parsed = parse_drains(text, change.kind, change.name);
    if (!parsed) {
        return tl::unexpected{parsed.error()};
    }
    if (!parsed->found) {
        return tl::unexpected{"the " + std::string{to_string(change.kind)} + " \"" + change.name +
                              "\" is not drained"};
    }
    return replace_drains(text, parsed->document.root(), parsed->others);
}

} // namespace bth::control
