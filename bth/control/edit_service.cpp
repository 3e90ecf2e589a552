#include "bth/control/edit_service.h"

#include "bth/config/json_reader.h"

#include <chrono>

#include <json/value.h>
#include <json/writer.h>

namespace bth::control {

namespace {

using boost::beast::http::field;
using boost::beast::http::status;

constexpr const char* json_type = "application/json";
constexpr const char* retry_after_s = "1";

std::string write(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

status status_of(edit_outcome outcome)
{
    switch (outcome) {
    case edit_outcome::accepted:
        return status::ok;
    case edit_outcome::text_refused:
        return status::unprocessable_entity;
    case edit_outcome::malformed:
        return status::bad_request;
    case edit_outcome::version_conflict:
    case edit_outcome::id_reused:
    case edit_outcome::too_old:
        return status::conflict;
    }
    return status::internal_server_error;
}

} // namespace

shell::http_response answer_response(const shell::http_request& request, const edit_answer& answer)
{
    return shell::make_response(request, status_of(answer.outcome), json_type, answer.body);
}

shell::http_response failure_response(const shell::http_request& request,
                                      const std::string& edit_id, const proposal_failure& failure)
{
    const bool unknown = failure.accepted == run_state::unknown;
    Json::Value body{Json::objectValue};
    body["outcome"] = unknown ? "unknown" : "not_accepted";
    body["edit_id"] = edit_id;
    body["reason"] = std::string{to_string(failure.reason)};
    body["message"] = failure.message;
    body["answer"] =
        unknown ? "unknown: resend with the same id" : "not accepted: " + failure.message;
    auto response = shell::make_response(
        request, unknown ? status::gateway_timeout : status::service_unavailable, json_type,
        write(body));
    response.set(field::retry_after, retry_after_s);
    return response;
}

shell::http_response bad_edit_response(const shell::http_request& request, const findings& found)
{
    Json::Value body{Json::objectValue};
    body["outcome"] = std::string{to_string(edit_outcome::malformed)};
    body["answer"] = "not accepted: the request is no edit";
    body["findings"] = Json::Value{Json::arrayValue};
    for (const finding& each : found.all()) {
        body["findings"].append(to_string(each));
    }
    return shell::make_response(request, status::bad_request, json_type, write(body));
}

shell::http_response text_response(const shell::http_request& request, const accepted_text& text)
{
    auto response =
        shell::make_response(request, status::ok, "text/plain; charset=utf-8", text.text);
    response.set("Bth-Version", std::to_string(text.version.value()));
    return response;
}

shell::http_response unknown_path_response(const shell::http_request& request)
{
    return shell::make_response(request, status::not_found, "text/plain",
                                "one of: POST /edits, GET /text, GET /status, GET /metrics, "
                                "GET /\n");
}

std::string path_of(const shell::http_request& request)
{
    const std::string target{request.target()};
    return target.substr(0, target.find('?'));
}

boost::asio::awaitable<tl::expected<shell::http_response, std::string>>
forward_request(shell::http_request request, endpoint leader)
{
    constexpr std::chrono::seconds limit{6};
    request.set(forwarded_header, "1");
    request.set(field::host, to_string(leader));
    const auto version = request.version();
    auto answer = co_await shell::http_call(leader, std::move(request), limit);
    if (answer) {
        answer->version(version);
    }
    co_return answer;
}

std::optional<member_change> read_member_change(const std::string& body)
{
    findings found;
    const auto document = config::json_document::parse("request", body, found);
    if (!document) {
        return std::nullopt;
    }
    config::json_object root{document->root(), *document, found};
    const auto action = root.required_string("action").value_or("");
    member_change change{root.required_string("host").value_or(""), action == "add"};
    root.finish();
    const bool known = change.add || action == "remove";
    return found.empty() && known ? std::optional{std::move(change)} : std::nullopt;
}

} // namespace bth::control
