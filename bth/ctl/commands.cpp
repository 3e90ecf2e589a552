#include "bth/ctl/commands.h"

#include "bth/config/json_reader.h"
#include "bth/config/text.h"
#include "bth/control/edit.h"
#include "bth/ctl/confirmation.h"
#include "bth/shell/files.h"

#include <iostream>
#include <random>
#include <utility>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <json/value.h>
#include <json/writer.h>

namespace bth::ctl {

namespace {

namespace http = boost::beast::http;

exit_code fail(const std::string& why)
{
    std::cerr << "bthctl: " << why << "\n";
    return exit_code::failed;
}

bool succeeded(const call_result& result)
{
    return result.response && result.response->result() == http::status::ok;
}

// The id that the operator gave, or a random one, which is printed before anything is sent, so
// that the edit can be sent again.
std::string chosen_id(const edit_options& options)
{
    if (!options.edit_id.empty()) {
        return options.edit_id;
    }
    std::random_device seeds;
    boost::uuids::basic_random_generator<std::random_device> make{&seeds};
    std::string id = boost::uuids::to_string(make());
    std::cerr << "edit id " << id << "\n";
    return id;
}

// Sends the edit, reports the answer, and waits for the hosts if asked to.
exit_code send_edit(const common_options& common, const edit_options& options,
                    std::uint64_t expected_version, control::edit_change change)
{
    control::edit one;
    one.id = chosen_id(options);
    one.expected_version = revision{expected_version};
    one.author = options.author;
    one.change = std::move(change);
    if (const auto wrong = control::check_edit(one)) {
        return fail(*wrong);
    }
    const control_client client{common.control, common.limit};
    const call_result result = client.submit(one);
    const exit_code code = report_edit(std::cout, result, one.id, common.form);
    if (code != exit_code::ok || !options.wait) {
        return code;
    }
    return wait_for_hosts(std::cout, common.control, accepted_version(result), common.limit,
                          common.form);
}

// The version now, as the first control host that answers knows it.
std::optional<std::uint64_t> version_now(const common_options& common, call_result& result)
{
    const control_client client{common.control, common.limit};
    result = client.get("/text");
    if (!succeeded(result)) {
        return std::nullopt;
    }
    try {
        return std::stoull(std::string{(*result.response)["Bth-Version"]});
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string percent_encoded(const std::string& text)
{
    constexpr std::string_view plain =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xF;
    std::string out;
    for (const char each : text) {
        if (plain.find(each) != std::string_view::npos) {
            out += each;
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        out += '%';
        out += digits.at(byte >> bits_per_digit);
        out += digits.at(byte & digit_mask);
    }
    return out;
}

// The entry hosts of the accepted text; empty if it can't be had.
std::vector<endpoint> entries_of_text(const common_options& common)
{
    const call_result result = control_client{common.control, common.limit}.get("/text");
    if (!succeeded(result)) {
        return {};
    }
    const auto model = config::read_text("text", result.response->body());
    std::vector<endpoint> out;
    if (model) {
        for (const config::entry_host& host : model->hosts) {
            out.push_back(host.http);
        }
    }
    return out;
}

// One control host's status, or why there is none.
Json::Value status_of(const endpoint& where, const call_result& result)
{
    Json::Value out{Json::objectValue};
    out["endpoint"] = to_string(where);
    findings ignored;
    if (succeeded(result)) {
        const auto document =
            config::json_document::parse("status", result.response->body(), ignored);
        if (document) {
            out["status"] = document->root();
            return out;
        }
    }
    out["error"] = result.failed.empty() ? "not a status" : result.failed.front().message;
    return out;
}

void print_status(std::ostream& out, const Json::Value& entry)
{
    out << entry["endpoint"].asString() << ": ";
    if (!entry.isMember("status") || !entry["status"].isObject()) {
        out << entry["error"].asString() << "\n";
        return;
    }
    const Json::Value& status = entry["status"];
    const std::string leader = status.get("leader", "").asString();
    out << status.get("host", "").asString() << ", " << status.get("role", "").asString()
        << ", version " << status.get("version", 0).asUInt64() << ", leader "
        << (leader.empty() ? "unknown" : leader) << "\n";
    for (const Json::Value& member : status["members"]) {
        out << "  control host " << member.get("host", "").asString() << ": "
            << member.get("role", "").asString() << ", version "
            << member.get("version", 0).asUInt64() << "\n";
    }
    const Json::Value& confirmations = status["confirmations"];
    if (!confirmations.isObject()) {
        return;
    }
    for (const std::string& host : confirmations.getMemberNames()) {
        out << "  entry host " << host << ": version " << confirmations[host].asUInt64() << "\n";
    }
}

} // namespace

exit_code run_check(const common_options& common, const std::string& file)
{
    auto text = shell::read_file(file);
    if (!text) {
        return fail(text.error());
    }
    return report_check(std::cout, config::check_text(file, std::move(*text)).found, common.form);
}

exit_code run_submit(const common_options& common, const edit_options& options,
                     const std::string& file)
{
    auto text = shell::read_file(file);
    if (!text) {
        return fail(text.error());
    }
    return send_edit(common, options, options.expected_version.value_or(0),
                     control::text_change{std::move(*text)});
}

exit_code run_drain_edit(const common_options& common, const edit_options& options,
                         control::edit_change change)
{
    std::optional<std::uint64_t> expected = options.expected_version;
    if (!expected) {
        call_result result;
        expected = version_now(common, result);
        if (!expected) {
            return report_unavailable(std::cout, result, common.form);
        }
    }
    return send_edit(common, options, *expected, std::move(change));
}

exit_code run_show(const common_options& common)
{
    const call_result result = control_client{common.control, common.limit}.get("/text");
    if (!succeeded(result)) {
        return report_unavailable(std::cout, result, common.form);
    }
    if (common.form == output_form::text) {
        std::cerr << "version " << (*result.response)["Bth-Version"] << "\n";
        std::cout << result.response->body();
        return exit_code::ok;
    }
    Json::Value out{Json::objectValue};
    out["version"] = std::string{(*result.response)["Bth-Version"]};
    out["text"] = result.response->body();
    std::cout << out << "\n";
    return exit_code::ok;
}

exit_code run_status(const common_options& common)
{
    Json::Value all{Json::arrayValue};
    bool answered = false;
    for (const endpoint& where : common.control) {
        const call_result result = control_client{{where}, common.limit, 1}.get("/status");
        all.append(status_of(where, result));
        answered = answered || succeeded(result);
    }
    if (common.form == output_form::json) {
        std::cout << all << "\n";
    }
    else {
        for (const Json::Value& entry : all) {
            print_status(std::cout, entry);
        }
    }
    return answered ? exit_code::ok : exit_code::unavailable;
}

exit_code run_lookup(const common_options& common, std::vector<endpoint> entries,
                     const std::string& service)
{
    if (entries.empty()) {
        entries = entries_of_text(common);
    }
    const call_result result = control_client{std::move(entries), common.limit, 1}.get(
        "/lookup?service=" + percent_encoded(service));
    if (!result.response) {
        return report_unavailable(std::cout, result, common.form);
    }
    std::cout << result.response->body();
    if (result.response->body().empty() || result.response->body().back() != '\n') {
        std::cout << "\n";
    }
    return succeeded(result) ? exit_code::ok : exit_code::failed;
}

} // namespace bth::ctl
