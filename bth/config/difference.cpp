#include "bth/config/difference.h"

#include "bth/config/json_reader.h"

#include <array>
#include <map>
#include <utility>

#include <json/writer.h>

namespace bth::config {

namespace {

struct row_key {
    std::string section;
    std::string name;
    friend auto operator<=>(const row_key&, const row_key&) = default;
};

using row_table = std::map<row_key, Json::Value>;

std::string compact(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::string string_at(const Json::Value& row, const char* key)
{
    return row.isMember(key) && row[key].isString() ? row[key].asString() : std::string{};
}

void add_section(const std::string& section, const Json::Value& rows, row_table& out)
{
    if (!rows.isArray()) {
        out.emplace(row_key{section, ""}, rows);
        return;
    }
    for (Json::ArrayIndex index = 0; index < rows.size(); ++index) {
        std::string name = row_name(rows[index]);
        if (name.empty() || out.contains(row_key{section, name})) {
            name += "#" + std::to_string(index);
        }
        out.emplace(row_key{section, std::move(name)}, rows[index]);
    }
}

row_table rows_of(const std::string& text)
{
    row_table out;
    findings ignored;
    const auto document = json_document::parse("", text, ignored);
    if (!document || !document->root().isObject()) {
        return out;
    }
    for (const std::string& section : document->root().getMemberNames()) {
        add_section(section, document->root()[section], out);
    }
    return out;
}

void add_row(difference& out, std::size_t most_rows, row_difference row)
{
    if (out.rows.size() < most_rows) {
        out.rows.push_back(std::move(row));
    }
    else {
        ++out.omitted;
    }
}

} // namespace

std::string_view to_string(row_change change)
{
    constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names.at(static_cast<std::size_t>(change));
}

std::string row_name(const Json::Value& row)
{
    constexpr std::array<const char*, 4> drain_kinds{"target", "host", "failure_domain", "region"};
    if (!row.isObject()) {
        return {};
    }
    for (const char* key : {"name", "block"}) {
        if (auto name = string_at(row, key); !name.empty()) {
            return name;
        }
    }
    if (row.isMember("from") && row.isMember("to")) {
        return string_at(row, "from") + "->" + string_at(row, "to");
    }
    for (const char* kind : drain_kinds) {
        if (row.isMember(kind)) {
            return std::string{kind} + ":" + string_at(row, kind);
        }
    }
    return {};
}

difference difference_of(const std::string& before, const std::string& after, std::size_t most_rows)
{
    const row_table old_rows = rows_of(before);
    const row_table new_rows = rows_of(after);
    difference out;
    auto was = old_rows.begin();
    auto is = new_rows.begin();
    while (was != old_rows.end() || is != new_rows.end()) {
        const bool removed =
            is == new_rows.end() || (was != old_rows.end() && was->first < is->first);
        const bool added = !removed && (was == old_rows.end() || is->first < was->first);
        const row_key& key = removed ? was->first : is->first;
        if (removed) {
            add_row(out, most_rows,
                    {row_change::removed, key.section, key.name, compact(was->second), ""});
        }
        else if (added) {
            add_row(out, most_rows,
                    {row_change::added, key.section, key.name, "", compact(is->second)});
        }
        else if (was->second != is->second) {
            add_row(out, most_rows,
                    {row_change::changed, key.section, key.name, compact(was->second),
                     compact(is->second)});
        }
        if (!added) {
            ++was;
        }
        if (!removed) {
            ++is;
        }
    }
    return out;
}

} // namespace bth::config
