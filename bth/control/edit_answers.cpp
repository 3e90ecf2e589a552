#include "bth/control/edit_answers.h"

#include <utility>

#include <json/value.h>
#include <json/writer.h>

namespace bth::control {

namespace {

constexpr std::size_t most_findings = 50;
// Changed rows are listed until their text has this size, in bytes.
constexpr std::size_t most_row_bytes = 8192;
constexpr std::size_t most_changes = 20;

std::string write(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

Json::Value head(edit_outcome outcome, const std::string& edit_id, revision version)
{
    Json::Value out{Json::objectValue};
    out["outcome"] = std::string{to_string(outcome)};
    out["edit_id"] = edit_id;
    out["version"] = Json::UInt64{version.value()};
    return out;
}

edit_answer finish(edit_outcome outcome, revision version, const Json::Value& body)
{
    return {outcome, version, write(body)};
}

Json::Value row_json(const config::row_difference& row)
{
    Json::Value out{Json::objectValue};
    out["change"] = std::string{to_string(row.change)};
    out["section"] = row.section;
    out["name"] = row.name;
    if (!row.before.empty()) {
        out["before"] = row.before;
    }
    if (!row.after.empty()) {
        out["after"] = row.after;
    }
    return out;
}

Json::Value winner_json(const accepted_edit& winner)
{
    Json::Value out{Json::objectValue};
    out["version"] = Json::UInt64{winner.version.value()};
    out["edit_id"] = winner.edit_id;
    out["author"] = winner.author;
    return out;
}

std::size_t size_of(const config::row_difference& row)
{
    return row.section.size() + row.name.size() + row.before.size() + row.after.size();
}

// One accepted edit with its rows, as far as `room` bytes hold them.
Json::Value changes_json(const accepted_edit& accepted, std::size_t& room)
{
    Json::Value out = winner_json(accepted);
    out["rows"] = Json::Value{Json::arrayValue};
    std::uint64_t omitted = accepted.changes.omitted;
    for (const config::row_difference& row : accepted.changes.rows) {
        const std::size_t size = size_of(row);
        if (size > room) {
            ++omitted;
            continue;
        }
        room -= size;
        out["rows"].append(row_json(row));
    }
    out["omitted_rows"] = Json::UInt64{omitted};
    return out;
}

std::string conflict_sentence(const edit& one, revision now, const std::deque<accepted_edit>& since)
{
    const std::string expected = std::to_string(one.expected_version.value());
    const std::string present = std::to_string(now.value());
    if (since.empty()) {
        return "not accepted: version " + expected + " does not exist; the version now is " +
               present;
    }
    const accepted_edit& winner = since.front();
    const std::string by = winner.author.empty() ? "" : " by " + winner.author;
    return "not accepted: edit " + winner.edit_id + by + " changed version " + expected +
           " first; the version now is " + present;
}

} // namespace

edit_answer accepted_answer(const std::string& edit_id, revision version)
{
    Json::Value body = head(edit_outcome::accepted, edit_id, version);
    body["answer"] = "accepted as " + std::to_string(version.value());
    return finish(edit_outcome::accepted, version, body);
}

edit_answer conflict_answer(const edit& one, revision now, const std::deque<accepted_edit>& since)
{
    Json::Value body = head(edit_outcome::version_conflict, one.id, now);
    body["answer"] = conflict_sentence(one, now, since);
    body["expected_version"] = Json::UInt64{one.expected_version.value()};
    body["changes"] = Json::Value{Json::arrayValue};
    if (!since.empty()) {
        body["winner"] = winner_json(since.front());
    }
    std::size_t room = most_row_bytes;
    for (std::size_t index = 0; index < since.size() && index < most_changes; ++index) {
        body["changes"].append(changes_json(since.at(index), room));
    }
    const std::size_t shown = body["changes"].size();
    body["omitted_changes"] = Json::UInt64{since.size() - shown};
    return finish(edit_outcome::version_conflict, now, body);
}

edit_answer refused_answer(const edit& one, revision now, const findings& found)
{
    Json::Value body = head(edit_outcome::text_refused, one.id, now);
    body["answer"] = "not accepted: the text has " + std::to_string(found.size()) + " finding" +
                     (found.size() == 1 ? "" : "s");
    body["findings"] = Json::Value{Json::arrayValue};
    for (const finding& each : found.all()) {
        if (body["findings"].size() == most_findings) {
            break;
        }
        Json::Value row{Json::objectValue};
        row["line"] = each.place.line;
        row["column"] = each.place.column;
        row["message"] = each.message;
        row["expected"] = each.expected;
        body["findings"].append(std::move(row));
    }
    const std::size_t shown = body["findings"].size();
    body["omitted_findings"] = Json::UInt64{found.size() - shown};
    return finish(edit_outcome::text_refused, now, body);
}

edit_answer plain_answer(edit_outcome outcome, const edit& one, revision now,
                         const std::string& why)
{
    const bool unknown = outcome == edit_outcome::too_old;
    Json::Value body = head(outcome, one.id, now);
    body["answer"] = (unknown ? "unknown: " : "not accepted: ") + why;
    return finish(outcome, now, body);
}

} // namespace bth::control
