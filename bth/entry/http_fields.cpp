#include "bth/entry/http_fields.h"

#include "bth/shell/response_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace bth::entry {

namespace {

constexpr std::array hop_by_hop_fields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::upgrade,
    http::field::transfer_encoding,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
};

// The fields that the Connection field lists are hop-by-hop fields too.
void strip_hop_by_hop_fields(http::fields& fields)
{
    std::vector<std::string> named;
    for (const auto& token : http::token_list{fields[http::field::connection]}) {
        named.emplace_back(token);
    }
    for (const std::string& each : named) {
        fields.erase(each);
    }
    for (const http::field each : hop_by_hop_fields) {
        fields.erase(each);
    }
}

} // namespace

void strip_request_fields(request_head& head)
{
    strip_hop_by_hop_fields(head);
    head.erase(http::field::expect);
    head.erase(class_key_field);
    head.erase(timeout_field);
    head.erase(request_id_field);
}

void strip_response_fields(response_head& head)
{
    strip_hop_by_hop_fields(head);
    head.erase(not_run_field);
    head.erase(run_field);
    head.erase(reason_field);
}

std::optional<response_head>
make_response_head(unsigned status, const std::vector<std::pair<std::string, std::string>>& fields)
{
    response_head head;
    if (!shell::is_final_status(status)) {
        return std::nullopt;
    }
    head.result(status);
    for (const auto& [name, value] : fields) {
        if (!shell::is_field(name, value)) {
            return std::nullopt;
        }
        head.insert(name, value);
    }
    if (shell::check_response_head(head)) {
        return std::nullopt;
    }
    return head;
}

std::optional<std::uint64_t> parse_whole_number(std::string_view text)
{
    std::uint64_t value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

http::status status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::bad_request:
        return http::status::bad_request;
    case refusal_reason::unknown_service:
        return http::status::not_found;
    case refusal_reason::request_too_large:
        return http::status::payload_too_large;
    case refusal_reason::shift_cap:
    case refusal_reason::priority:
        return http::status::too_many_requests;
    case refusal_reason::deadline:
        return http::status::gateway_timeout;
    case refusal_reason::target_failed:
    case refusal_reason::peer_failed:
        return http::status::bad_gateway;
    case refusal_reason::already_run:
        return http::status::conflict;
    default:
        return http::status::service_unavailable;
    }
}

full_response make_refusal_response(unsigned version, refusal_reason reason, run_state run,
                                    duration retry_after)
{
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(std::max(duration{}, retry_after));
    full_response response{status_of(reason), version};
    response.set(http::field::content_type, "application/json");
    response.set(http::field::retry_after,
                 std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
    response.set(run_field, to_string(run));
    response.set(reason_field, to_string(reason));
    response.body() = R"({"run":")" + std::string{to_string(run)} + R"(","reason":")" +
                      std::string{to_string(reason)} + R"(","retry_after_ms":)" +
                      std::to_string(wait.count()) + "}\n";
    return response;
}

} // namespace bth::entry
