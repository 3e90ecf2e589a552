#include "bth/ctl/report.h"

#include "bth/config/json_reader.h"

#include <json/value.h>
#include <json/writer.h>

namespace bth::ctl {

namespace {

std::string write(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

// The string at `key`, or an empty one if it is missing or no string.
std::string text_at(const Json::Value& object, const char* key)
{
    return object.isObject() && object.isMember(key) && object[key].isString()
               ? object[key].asString()
               : std::string{};
}

std::string number_at(const Json::Value& object, const char* key)
{
    return object.isObject() && object.isMember(key) && object[key].isUInt64()
               ? std::to_string(object[key].asUInt64())
               : std::string{"?"};
}

// The array at `key`, or an empty one.
Json::Value rows_at(const Json::Value& object, const char* key)
{
    return object.isObject() && object.isMember(key) && object[key].isArray()
               ? object[key]
               : Json::Value{Json::arrayValue};
}

Json::Value tries_json(const call_result& result)
{
    Json::Value out{Json::arrayValue};
    for (const failed_try& each : result.failed) {
        Json::Value row{Json::objectValue};
        row["endpoint"] = to_string(each.where);
        row["message"] = each.message;
        out.append(row);
    }
    return out;
}

void print_tries(std::ostream& out, const call_result& result)
{
    for (const failed_try& each : result.failed) {
        out << "  " << to_string(each.where) << ": " << each.message
            << (each.message.empty() || each.message.back() != '\n' ? "\n" : "");
    }
}

void print_change(std::ostream& out, const Json::Value& change)
{
    out << "  version " << number_at(change, "version") << ", edit " << text_at(change, "edit_id");
    const std::string author = text_at(change, "author");
    out << (author.empty() ? "" : " by " + author) << ":\n";
    for (const Json::Value& row : rows_at(change, "rows")) {
        out << "    " << text_at(row, "change") << " " << text_at(row, "section") << " "
            << text_at(row, "name") << "\n";
        for (const char* side : {"before", "after"}) {
            const std::string value = text_at(row, side);
            out << (value.empty() ? "" : "      " + std::string{side} + " " + value + "\n");
        }
    }
    if (const std::string omitted = number_at(change, "omitted_rows"); omitted != "0") {
        out << "    and " << omitted << " more rows\n";
    }
}

void print_finding(std::ostream& out, const Json::Value& row)
{
    if (row.isString()) {
        out << "  " << row.asString() << "\n";
        return;
    }
    out << "  " << number_at(row, "line") << ":" << number_at(row, "column") << ": "
        << text_at(row, "message");
    const std::string expected = text_at(row, "expected");
    out << (expected.empty() ? "" : "; expected " + expected) << "\n";
}

void print_answer(std::ostream& out, const Json::Value& answer)
{
    out << text_at(answer, "answer") << "\n";
    for (const Json::Value& change : rows_at(answer, "changes")) {
        print_change(out, change);
    }
    for (const Json::Value& row : rows_at(answer, "findings")) {
        print_finding(out, row);
    }
}

exit_code code_of(const std::string& outcome)
{
    if (outcome == "accepted") {
        return exit_code::ok;
    }
    if (outcome == "text_refused") {
        return exit_code::findings;
    }
    if (outcome == "too_old") {
        return exit_code::unknown;
    }
    const bool decided =
        outcome == "version_conflict" || outcome == "malformed" || outcome == "id_reused";
    return decided ? exit_code::not_accepted : exit_code::failed;
}

exit_code report_no_answer(std::ostream& out, const call_result& result, const std::string& edit_id,
                           output_form form)
{
    const std::string answer = result.unknown ? "unknown: resend with the same id"
                                              : "not accepted: no control host could decide";
    if (form == output_form::json) {
        Json::Value body{Json::objectValue};
        body["outcome"] = result.unknown ? "unknown" : "not_accepted";
        body["answer"] = answer;
        body["edit_id"] = edit_id;
        body["tries"] = tries_json(result);
        out << write(body);
    }
    else {
        out << answer << " (edit id " << edit_id << ")\n";
        print_tries(out, result);
    }
    return result.unknown ? exit_code::unknown : exit_code::unavailable;
}

} // namespace

exit_code report_edit(std::ostream& out, const call_result& result, const std::string& edit_id,
                      output_form form)
{
    if (!result.response) {
        return report_no_answer(out, result, edit_id, form);
    }
    findings ignored;
    const auto document = config::json_document::parse("answer", result.response->body(), ignored);
    if (!document || !document->root().isObject()) {
        call_result garbled = result;
        garbled.unknown = true;
        return report_no_answer(out, garbled, edit_id, form);
    }
    if (form == output_form::json) {
        out << result.response->body();
    }
    else {
        print_answer(out, document->root());
    }
    return code_of(text_at(document->root(), "outcome"));
}

exit_code report_unavailable(std::ostream& out, const call_result& result, output_form form)
{
    if (form == output_form::json) {
        Json::Value body{Json::objectValue};
        body["outcome"] = "unavailable";
        body["tries"] = tries_json(result);
        out << write(body);
    }
    else {
        out << "no host gave an answer\n";
        print_tries(out, result);
    }
    return exit_code::unavailable;
}

exit_code report_check(std::ostream& out, const findings& found, output_form form)
{
    const bool wrong = found.has_errors();
    if (form == output_form::json) {
        Json::Value body{Json::objectValue};
        body["outcome"] = wrong ? "findings" : "ok";
        body["findings"] = Json::Value{Json::arrayValue};
        for (const finding& each : found.all()) {
            Json::Value row{Json::objectValue};
            row["severity"] = each.level == severity::error ? "error" : "warning";
            row["file"] = each.place.file;
            row["line"] = each.place.line;
            row["column"] = each.place.column;
            row["message"] = each.message;
            row["expected"] = each.expected;
            body["findings"].append(row);
        }
        out << write(body);
    }
    else {
        out << to_string(found) << (wrong ? "" : "ok\n");
    }
    return wrong ? exit_code::findings : exit_code::ok;
}

} // namespace bth::ctl
