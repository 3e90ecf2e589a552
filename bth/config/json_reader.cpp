#include "bth/config/json_reader.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <sstream>
#include <utility>

#include <json/reader.h>

namespace bth::config {

namespace {

std::string range_text(double least, double most)
{
    std::ostringstream out;
    out << "a number from " << least << " to " << most;
    return out.str();
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words) {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

} // namespace

std::optional<json_document> json_document::parse(std::string file, std::string text,
                                                  findings& found)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["strictRoot"] = true;
    builder["allowSpecialFloats"] = false;
    json_document document;
    document.file = std::move(file);
    document.text = std::move(text);
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    const char* begin = document.text.data();
    std::string errors;
    bool parsed = false;
    try {
        parsed = reader->parse(begin, begin + document.text.size(), &document.value, &errors);
    }
    catch (const Json::Exception& error) {
        errors = error.what();
    }
    if (parsed) {
        document.index_lines();
        return document;
    }
    // The library reports "* Line L, Column C" and then the message, indented.
    std::istringstream lines{errors};
    std::string line;
    source_place place{document.file, 0, 0};
    bool reported = false;
    while (std::getline(lines, line)) {
        unsigned row = 0;
        unsigned column = 0;
        if (std::sscanf(line.c_str(), "* Line %u, Column %u", &row, &column) == 2) { // NOLINT
            place.line = row;
            place.column = column;
        }
        else if (const auto start = line.find_first_not_of(' '); start != std::string::npos) {
            found.add(place, line.substr(start), "JSON with comments");
            reported = true;
        }
    }
    if (!reported) {
        found.add(place, "not a JSON object", "JSON with comments");
    }
    return std::nullopt;
}

source_place json_document::place_of(const Json::Value& at) const
{
    const auto offset = static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, at.getOffsetStart()));
    const auto behind =
        std::upper_bound(this->line_starts.begin(), this->line_starts.end(), offset);
    const std::size_t start = *std::prev(behind);
    return {this->file, static_cast<std::uint32_t>(behind - this->line_starts.begin()),
            static_cast<std::uint32_t>(offset - start + 1)};
}

void json_document::index_lines()
{
    this->line_starts = {0};
    for (auto end = this->text.find('\n'); end != std::string::npos;
         end = this->text.find('\n', end + 1)) {
        this->line_starts.push_back(end + 1);
    }
}

json_object::json_object(const Json::Value& value, const json_document& document, findings& found)
    : value{&value}, document{&document}, found{&found}, is_object{value.isObject()}
{
    if (!this->is_object) {
        found.add(document.place_of(value), "not an object", "an object");
    }
}

bool json_object::has(std::string_view key) const
{
    return this->is_object && this->value->isMember(key.data(), key.data() + key.size());
}

const Json::Value* json_object::find(std::string_view key)
{
    this->known.emplace_back(key);
    return this->is_object ? this->value->find(key.data(), key.data() + key.size()) : nullptr;
}

const Json::Value* json_object::require(std::string_view key)
{
    const Json::Value* found_value = this->find(key);
    if (found_value == nullptr && this->is_object) {
        this->found->add(this->place(), "key \"" + std::string{key} + "\" is missing");
    }
    return found_value;
}

std::optional<std::string> json_object::required_string(std::string_view key)
{
    const Json::Value* at = this->require(key);
    if (at == nullptr) {
        return std::nullopt;
    }
    if (!at->isString() || at->asString().empty()) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"", "a string with text");
        return std::nullopt;
    }
    return at->asString();
}

std::string json_object::string_or(std::string_view key, std::string fallback)
{
    const Json::Value* at = this->find(key);
    if (at == nullptr) {
        return fallback;
    }
    if (!at->isString()) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"", "a string");
        return fallback;
    }
    return at->asString();
}

std::optional<double> json_object::number(std::string_view key, const Json::Value& at,
                                          number_range range)
{
    if (!at.isNumeric() || at.asDouble() < range.least || at.asDouble() > range.most) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"",
                     range_text(range.least, range.most));
        return std::nullopt;
    }
    return at.asDouble();
}

std::optional<double> json_object::required_number(std::string_view key, number_range range)
{
    const Json::Value* at = this->require(key);
    return at == nullptr ? std::nullopt : this->number(key, *at, range);
}

double json_object::number_or(std::string_view key, number_range range, double fallback)
{
    const Json::Value* at = this->find(key);
    return at == nullptr ? fallback : this->number(key, *at, range).value_or(fallback);
}

std::optional<std::uint64_t> json_object::integer(std::string_view key, const Json::Value& at,
                                                  std::uint64_t least, std::uint64_t most)
{
    const bool whole = at.isUInt64();
    if (!whole || at.asUInt64() < least || at.asUInt64() > most) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"",
                     "a whole number from " + std::to_string(least) + " to " +
                         std::to_string(most));
        return std::nullopt;
    }
    return at.asUInt64();
}

std::optional<std::uint64_t> json_object::required_integer(std::string_view key,
                                                           std::uint64_t least, std::uint64_t most)
{
    const Json::Value* at = this->require(key);
    return at == nullptr ? std::nullopt : this->integer(key, *at, least, most);
}

std::uint64_t json_object::integer_or(std::string_view key, std::uint64_t least, std::uint64_t most,
                                      std::uint64_t fallback)
{
    const Json::Value* at = this->find(key);
    return at == nullptr ? fallback : this->integer(key, *at, least, most).value_or(fallback);
}

bool json_object::boolean_or(std::string_view key, bool fallback)
{
    const Json::Value* at = this->find(key);
    if (at == nullptr) {
        return fallback;
    }
    if (!at->isBool()) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"", "true or false");
        return fallback;
    }
    return at->asBool();
}

std::optional<endpoint> json_object::required_endpoint(std::string_view key)
{
    const auto text = this->required_string(key);
    if (!text) {
        return std::nullopt;
    }
    const auto parsed = parse_endpoint(*text);
    if (!parsed) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"",
                     "an IPv4 address and port such as 127.1.0.1:8080");
    }
    return parsed;
}

std::optional<endpoint> json_object::optional_endpoint(std::string_view key)
{
    if (!this->has(key)) {
        this->known.emplace_back(key);
        return std::nullopt;
    }
    return this->required_endpoint(key);
}

std::vector<std::string> json_object::strings(std::string_view key)
{
    std::vector<std::string> all;
    this->each(key, [&](const Json::Value& element) {
        if (!element.isString() || element.asString().empty()) {
            this->found->add(this->document->place_of(element), "wrong element", "a string");
            return;
        }
        all.push_back(element.asString());
    });
    return all;
}

void json_object::each(std::string_view key, const std::function<void(const Json::Value&)>& visit)
{
    const Json::Value* at = this->find(key);
    if (at == nullptr) {
        return;
    }
    if (!at->isArray()) {
        this->report(key, "wrong value of \"" + std::string{key} + "\"", "an array");
        return;
    }
    for (const Json::Value& element : *at) {
        visit(element);
    }
}

const Json::Value* json_object::optional_value(std::string_view key)
{
    return this->find(key);
}

source_place json_object::place_of(std::string_view key) const
{
    const Json::Value* at =
        this->is_object ? this->value->find(key.data(), key.data() + key.size()) : nullptr;
    return this->document->place_of(at == nullptr ? *this->value : *at);
}

source_place json_object::place() const
{
    return this->document->place_of(*this->value);
}

void json_object::report(std::string_view key, std::string message, std::string expected)
{
    this->found->add(this->place_of(key), std::move(message), std::move(expected));
}

void json_object::finish()
{
    if (!this->is_object) {
        return;
    }
    for (const std::string& key : this->value->getMemberNames()) {
        if (std::find(this->known.begin(), this->known.end(), key) == this->known.end()) {
            this->report(key, "unknown key \"" + key + "\"", "one of: " + join(this->known));
        }
    }
}

} // namespace bth::config
