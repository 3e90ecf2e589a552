#include "bth/gateway/answer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace bth::gateway {

namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 9> connection_fields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade"};

unsigned status_of(const refusal& why)
{
    if (why.run == run_state::no) {
        return static_cast<unsigned>(http::status::service_unavailable);
    }
    return static_cast<unsigned>(why.reason == refusal_reason::deadline
                                     ? http::status::gateway_timeout
                                     : http::status::bad_gateway);
}

std::string seconds_text(duration time)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(time).count();
    const int size = std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string body_of(const refusal& why)
{
    return R"({"run":")" + std::string{to_string(why.run)} + R"(","reason":")" +
           std::string{to_string(why.reason)} + "\"}\n";
}

bool may_have_body(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status >= first_final_status && status != no_content && status != not_modified;
}

} // namespace

bool is_connection_field(std::string_view name, std::string_view connection_options)
{
    const auto same = [name](std::string_view other) {
        return iequals({name.data(), name.size()}, {other.data(), other.size()});
    };
    if (same("Content-Length") ||
        std::any_of(connection_fields.begin(), connection_fields.end(), same)) {
        return true;
    }
    const http::token_list options{{connection_options.data(), connection_options.size()}};
    return std::any_of(options.begin(), options.end(), [&](const auto& option) {
        return same({option.data(), option.size()});
    });
}

answer pass_on(target_answer from, bool to_head)
{
    answer out;
    out.status = from.result_int();
    const auto options = from[http::field::connection];
    for (const auto& each : from) {
        const auto field = each.name_string();
        if (is_connection_field({field.data(), field.size()}, {options.data(), options.size()})) {
            continue;
        }
        out.fields.append(field.data(), field.size());
        out.fields += ": ";
        out.fields.append(each.value().data(), each.value().size());
        out.fields += "\r\n";
    }
    const auto length = from[http::field::content_length];
    if (to_head) {
        out.bodyless_length.assign(length.data(), length.size());
    }
    out.body = std::move(from.body());
    return out;
}

answer make_refusal(const refusal& why)
{
    answer out;
    out.status = status_of(why);
    out.fields = "Content-Type: application/json\r\n";
    if (why.run == run_state::no && why.retry_after > duration{}) {
        out.fields += "Retry-After: " + seconds_text(why.retry_after) + "\r\n";
    }
    out.body = body_of(why);
    return out;
}

answer make_plain(unsigned status, std::string_view reason, bool closes)
{
    answer out;
    out.status = status;
    out.fields = "Content-Type: application/json\r\n";
    out.body = R"({"run":"no","reason":")" + std::string{reason} + "\"}\n";
    out.closes = closes;
    return out;
}

std::string serialize(const answer& from, bool close_after)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(from.status));
    std::string out = "HTTP/1.1 " + std::to_string(from.status) + " ";
    out.append(reason.data(), reason.size());
    out += "\r\n" + from.fields;
    if (!from.bodyless_length.empty()) {
        out += "Content-Length: " + from.bodyless_length + "\r\n";
    }
    else if (may_have_body(from.status)) {
        out += "Content-Length: " + std::to_string(from.body.size()) + "\r\n";
    }
    if (close_after) {
        out += "Connection: close\r\n";
    }
    return out + "\r\n" + from.body;
}

} // namespace bth::gateway
