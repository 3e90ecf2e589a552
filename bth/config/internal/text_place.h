// The places of rows of a text, for findings of the checks.
//
//   found.add(place_of_row(document, "targets", 3, "http"), "...");
#pragma once

#include "bth/config/json_reader.h"

#include <cstddef>
#include <string>

#include <json/value.h>

namespace bth::config {

// The row `index` of a section; its value `key` if it has one, else the whole row.
inline source_place place_of_row(const json_document& document, const std::string& section,
                                 std::size_t index, const std::string& key = {})
{
    const Json::Value& row = document.root()[section][static_cast<Json::ArrayIndex>(index)];
    const bool has_key = !key.empty() && row.isObject() && row.isMember(key);
    return document.place_of(has_key ? row[key] : row);
}

} // namespace bth::config
