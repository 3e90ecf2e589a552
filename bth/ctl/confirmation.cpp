#include "bth/ctl/confirmation.h"

#include "bth/config/json_reader.h"
#include "bth/shell/net.h"

#include <thread>

#include <json/value.h>
#include <json/writer.h>

namespace bth::ctl {

namespace {

constexpr std::chrono::milliseconds pause_between_asks{50};

void print_json(std::ostream& out, const unconfirmed_hosts& missing)
{
    Json::Value body{Json::objectValue};
    body["in_force_everywhere"] = missing.known && missing.hosts.empty();
    body["confirmations_known"] = missing.known;
    body["unconfirmed"] = Json::Value{Json::arrayValue};
    for (const std::string& host : missing.hosts) {
        body["unconfirmed"].append(host);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    out << Json::writeString(builder, body) << "\n";
}

void print_text(std::ostream& out, const unconfirmed_hosts& missing)
{
    if (!missing.known) {
        out << "no control host that answered knows what the hosts confirmed\n";
        return;
    }
    if (missing.hosts.empty()) {
        out << "in force on all hosts\n";
        return;
    }
    out << "not confirmed by:\n";
    for (const std::string& host : missing.hosts) {
        out << "  " << host << "\n";
    }
}

} // namespace

revision accepted_version(const call_result& result)
{
    findings ignored;
    const auto document = config::json_document::parse(
        "answer", result.response ? result.response->body() : "", ignored);
    if (!document || !document->root().isObject()) {
        return {};
    }
    const Json::Value& root = document->root();
    return root.get("outcome", "") == "accepted" && root["version"].isUInt64()
               ? revision{root["version"].asUInt64()}
               : revision{};
}

unconfirmed_hosts unconfirmed(const std::string& status, revision wanted)
{
    findings ignored;
    const auto document = config::json_document::parse("status", status, ignored);
    unconfirmed_hosts out;
    if (!document || !document->root().isObject() ||
        !document->root()["confirmations"].isObject()) {
        return out;
    }
    out.known = true;
    const Json::Value& confirmations = document->root()["confirmations"];
    for (const std::string& host : confirmations.getMemberNames()) {
        const Json::Value& version = confirmations[host];
        if (!version.isUInt64() || version.asUInt64() < wanted.value()) {
            out.hosts.push_back(host);
        }
    }
    return out;
}

namespace {

// Only the leader knows what the hosts confirmed: asks each control host until one does.
unconfirmed_hosts ask_all(const std::vector<endpoint>& control, revision wanted, duration limit)
{
    unconfirmed_hosts missing;
    for (const endpoint& where : control) {
        const call_result result = control_client{{where}, limit, 1}.get("/status");
        missing = unconfirmed(result.response ? result.response->body() : "", wanted);
        if (missing.known) {
            break;
        }
    }
    return missing;
}

} // namespace

exit_code wait_for_hosts(std::ostream& out, const std::vector<endpoint>& control, revision wanted,
                         duration limit, output_form form)
{
    const time_point deadline = shell::monotonic_now() + limit;
    unconfirmed_hosts missing;
    while (true) {
        missing = ask_all(control, wanted, limit);
        const bool done = missing.known && missing.hosts.empty();
        if (done || shell::monotonic_now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(pause_between_asks);
    }
    if (form == output_form::json) {
        print_json(out, missing);
    }
    else {
        print_text(out, missing);
    }
    const bool everywhere = missing.known && missing.hosts.empty();
    return everywhere ? exit_code::ok : exit_code::not_everywhere;
}

} // namespace bth::ctl
