// Reads JSON with comments into typed values and collects what is wrong with its place. Used for
// the operators' text and for the settings of every program.
//
//   findings found;
//   auto document = json_document::parse("site.json", text, found);
//   if (!document) { return ...; }
//   json_object root{document->root(), *document, found};
//   auto name = root.required_string("name");
//   root.finish();   // unknown keys become findings
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/finding.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

namespace bth::config {

// A parsed text. Values remember their offset in it, so that findings about meaning carry a place.
class json_document {
public:
    // Parses `text`. Syntax errors and duplicate keys are added to `found`; then nothing is
    // returned.
    static std::optional<json_document> parse(std::string file, std::string text, findings& found);

    const Json::Value& root() const { return this->value; }
    source_place place_of(const Json::Value& value) const;

private:
    void index_lines();

    std::string file;
    std::string text;
    // The offset at which each line starts, so that a place is found by a binary search.
    std::vector<std::size_t> line_starts;
    Json::Value value;
};

// The range that a number must lie in, both ends included.
struct number_range {
    double least{};
    double most{};
};

// One object of a document. Each getter marks its key as known; finish() reports the others. A
// getter whose key is missing or wrong adds a finding and returns nothing or the stated default.
class json_object {
public:
    json_object(const Json::Value& value, const json_document& document, findings& found);

    bool valid() const { return this->is_object; }
    bool has(std::string_view key) const;

    std::optional<std::string> required_string(std::string_view key);
    std::string string_or(std::string_view key, std::string fallback);
    std::optional<double> required_number(std::string_view key, number_range range);
    double number_or(std::string_view key, number_range range, double fallback);
    std::optional<std::uint64_t> required_integer(std::string_view key, std::uint64_t least,
                                                  std::uint64_t most);
    std::uint64_t integer_or(std::string_view key, std::uint64_t least, std::uint64_t most,
                             std::uint64_t fallback);
    bool boolean_or(std::string_view key, bool fallback);
    std::optional<endpoint> required_endpoint(std::string_view key);
    std::optional<endpoint> optional_endpoint(std::string_view key);
    std::vector<std::string> strings(std::string_view key);

    // Calls `visit` with each element of the array at `key`; a missing key is an empty array.
    void each(std::string_view key, const std::function<void(const Json::Value&)>& visit);
    // The value of a nested object, or nothing if the key is missing.
    const Json::Value* optional_value(std::string_view key);

    // The place of the value of `key`, or of the object if the key is missing.
    source_place place_of(std::string_view key) const;
    source_place place() const;
    void report(std::string_view key, std::string message, std::string expected = {});

    // Adds a finding for every key that no getter asked for.
    void finish();

private:
    const Json::Value* find(std::string_view key);
    const Json::Value* require(std::string_view key);
    std::optional<double> number(std::string_view key, const Json::Value& value,
                                 number_range range);
    std::optional<std::uint64_t> integer(std::string_view key, const Json::Value& value,
                                         std::uint64_t least, std::uint64_t most);

    const Json::Value* value;
    const json_document* document;
    findings* found;
    bool is_object;
    std::vector<std::string> known;
};

} // namespace bth::config
