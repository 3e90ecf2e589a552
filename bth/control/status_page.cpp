#include "bth/control/status_page.h"

#include <json/value.h>
#include <json/writer.h>

namespace bth::control {

namespace {

Json::Value version_json(revision version)
{
    return Json::UInt64{version.value()};
}

std::string escaped(const std::string& text)
{
    std::string out;
    for (const char each : text) {
        switch (each) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        default:
            out += each;
        }
    }
    return out;
}

std::string row(const std::string& first, const std::string& second, const std::string& third)
{
    return "<tr><td>" + escaped(first) + "</td><td>" + escaped(second) + "</td><td>" +
           escaped(third) + "</td></tr>\n";
}

} // namespace

std::string status_json(const control_status& status)
{
    Json::Value out{Json::objectValue};
    out["host"] = status.host;
    out["role"] = status.role;
    out["leader"] = status.leader;
    out["term"] = Json::UInt64{status.term};
    out["version"] = version_json(status.version);
    out["kept_edit_ids"] = Json::UInt64{status.kept_ids};
    out["caught_up"] = status.caught_up;
    out["members"] = Json::Value{Json::arrayValue};
    for (const member_status& member : status.members) {
        Json::Value entry{Json::objectValue};
        entry["host"] = member.host;
        entry["role"] = member.role;
        entry["version"] = version_json(member.version);
        if (member.behind) {
            entry["behind"] = Json::UInt64{*member.behind};
        }
        out["members"].append(entry);
    }
    out["confirmations"] = Json::Value{};
    if (status.confirmations) {
        out["confirmations"] = Json::Value{Json::objectValue};
        for (const host_confirmation& each : *status.confirmations) {
            out["confirmations"][each.host] = version_json(each.version);
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, out) + "\n";
}

std::string status_html(const control_status& status)
{
    std::string out =
        "<!DOCTYPE html>\n<title>bth-control " + escaped(status.host) + "</title>\n<h1>" +
        escaped(status.host) + "</h1>\n<p>Role " + escaped(status.role) + ", leader " +
        escaped(status.leader.empty() ? "unknown" : status.leader) + ", version " +
        std::to_string(status.version.value()) +
        ".</p>\n<table>\n<tr><th>Control host</th><th>Role</th><th>Version</th></tr>\n";
    for (const member_status& member : status.members) {
        out += row(member.host, member.role, std::to_string(member.version.value()));
    }
    out += "</table>\n";
    if (!status.confirmations) {
        return out;
    }
    out += "<table>\n<tr><th>Entry host</th><th>In force</th><th>Behind</th></tr>\n";
    for (const host_confirmation& each : *status.confirmations) {
        const bool behind = each.version < status.version;
        out += row(each.host, std::to_string(each.version.value()), behind ? "yes" : "no");
    }
    return out + "</table>\n";
}

} // namespace bth::control
