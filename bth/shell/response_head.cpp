#include "bth/shell/response_head.h"

#include "bth/shell/transfer_codings.h"

#include <algorithm>

namespace bth::shell {

namespace {

namespace http = boost::beast::http;

bool is_digit(char each)
{
    return each >= '0' && each <= '9';
}

bool is_control(char each)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(each);
    return byte < first_printable || byte == del;
}

bool is_token_character(char each)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return is_digit(each) || (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
           others.find(each) != std::string_view::npos;
}

bool is_field_name(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

bool is_field_value(std::string_view value)
{
    return std::all_of(value.begin(), value.end(),
                       [](char each) { return each == '\t' || !is_control(each); });
}

// A list of equal lengths may be rejected (RFC 9110, 8.6), and must not be passed on as it is.
bool has_single_lengths(const http::fields& head)
{
    const auto [first, last] = head.equal_range(http::field::content_length);
    return std::all_of(first, last, [](const auto& each) {
        return is_length({each.value().data(), each.value().size()});
    });
}

// HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
bool has_readable_codings(const http::response_header<>& head)
{
    constexpr unsigned http_1_1 = 11;
    const bool has_coding = head.find(http::field::transfer_encoding) != head.end();
    return !has_coding ||
           (head.version() >= http_1_1 && transfer_codings_of(head) == transfer_codings::readable);
}

} // namespace

boost::system::error_code check_response_head(const http::response_header<>& head)
{
    // What follows 101 isn't HTTP, and no request asks for that.
    const bool is_readable_status =
        is_final_status(head.result_int()) ||
        (is_interim(head) && head.result() != http::status::switching_protocols);
    if (!is_readable_status) {
        return http::error::bad_status;
    }
    if (!has_readable_codings(head)) {
        return http::error::bad_transfer_encoding;
    }
    if (!has_single_lengths(head)) {
        return http::error::bad_content_length;
    }
    return {};
}

bool is_interim(const http::response_header<>& head)
{
    // Not by to_status_class(), which doesn't know codes without a name, such as 103.
    constexpr unsigned statuses_per_class = 100;
    return head.result_int() / statuses_per_class == 1;
}

bool is_length(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_digit);
}

bool is_field(std::string_view name, std::string_view value)
{
    return is_field_name(name) && is_field_value(value);
}

bool are_field_lines(std::string_view lines)
{
    constexpr std::string_view line_end = "\r\n";
    while (!lines.empty()) {
        const auto end = lines.find(line_end);
        const auto line = lines.substr(0, end);
        const auto colon = line.find(':');
        if (end == std::string_view::npos || colon == std::string_view::npos ||
            !is_field(line.substr(0, colon), line.substr(colon + 1))) {
            return false;
        }
        lines.remove_prefix(end + line_end.size());
    }
    return true;
}

void continuation_scanner::scan(std::string_view bytes)
{
    for (const char each : bytes) {
        this->is_found = this->is_found || (this->at_line_start && (each == ' ' || each == '\t'));
        this->at_line_start = each == '\n';
    }
}

} // namespace bth::shell
