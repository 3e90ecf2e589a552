#include "bth/gateway/caller_response.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace bth::gateway {

namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 9> hop_by_hop_fields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade"};

unsigned status_of(const refusal& outcome)
{
    if (outcome.run == run_state::no) {
        return static_cast<unsigned>(outcome.reason == refusal_reason::allowance
                                         ? http::status::too_many_requests
                                         : http::status::service_unavailable);
    }
    return static_cast<unsigned>(outcome.reason == refusal_reason::deadline
                                     ? http::status::gateway_timeout
                                     : http::status::bad_gateway);
}

std::string format_seconds(duration time)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(time).count();
    const int size = std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string body_of(const refusal& outcome)
{
    return R"({"run":")" + std::string{to_string(outcome.run)} + R"(","reason":")" +
           std::string{to_string(outcome.reason)} + "\"}\n";
}

bool allows_body(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status >= first_final_status && status != no_content && status != not_modified;
}

} // namespace

bool is_connection_field(std::string_view name, std::string_view connection_options)
{
    const auto matches = [name](std::string_view other) {
        return iequals({name.data(), name.size()}, {other.data(), other.size()});
    };
    if (matches("Content-Length") ||
        std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), matches)) {
        return true;
    }
    const http::token_list options{{connection_options.data(), connection_options.size()}};
    return std::any_of(options.begin(), options.end(), [&](const auto& option) {
        return matches({option.data(), option.size()});
    });
}

caller_response make_relayed_response(target_response received, bool is_head)
{
    caller_response out;
    out.status = received.result_int();
    const auto options = received[http::field::connection];
    for (const auto& header : received) {
        const auto field = header.name_string();
        if (is_connection_field({field.data(), field.size()}, {options.data(), options.size()})) {
            continue;
        }
        out.header_lines.append(field.data(), field.size());
        out.header_lines += ": ";
        out.header_lines.append(header.value().data(), header.value().size());
        out.header_lines += "\r\n";
    }
    const auto length = received[http::field::content_length];
    if (is_head) {
        out.head_content_length.assign(length.data(), length.size());
    }
    out.body = std::move(received.body());
    return out;
}

caller_response make_refusal_response(const refusal& outcome)
{
    caller_response out;
    out.status = status_of(outcome);
    out.header_lines = "Content-Type: application/json\r\n";
    if (outcome.run == run_state::no && outcome.retry_after > duration{}) {
        out.header_lines += "Retry-After: " + format_seconds(outcome.retry_after) + "\r\n";
    }
    out.body = body_of(outcome);
    return out;
}

caller_response make_error_response(unsigned status, std::string_view reason,
                                    bool closes_connection)
{
    caller_response out;
    out.status = status;
    out.header_lines = "Content-Type: application/json\r\n";
    out.body = R"({"run":"no","reason":")" + std::string{reason} + "\"}\n";
    out.closes_connection = closes_connection;
    return out;
}

std::string serialize(const caller_response& response, bool close_after, bool is_head)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
    out.append(reason.data(), reason.size());
    out += "\r\n" + response.header_lines;
    if (!response.head_content_length.empty()) {
        out += "Content-Length: " + response.head_content_length + "\r\n";
    }
    else if (allows_body(response.status)) {
        out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    if (close_after) {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return is_head ? out : out + response.body;
}

} // namespace bth::gateway
