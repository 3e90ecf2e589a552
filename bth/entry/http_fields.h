// HTTP message types of the request path, the names of this system's header fields, and the removal
// of the header fields that must not be forwarded.
//
//   strip_request_fields(head);   // now `head` can be sent to a target or another entry host
#pragma once

#include "bth/base/reason.h"
#include "bth/base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bth::entry {

namespace http = boost::beast::http;

using request_head = http::request_header<>;
using response_head = http::response_header<>;
using full_response = http::response<http::string_body>;

// The key that proves the caller's class.
inline constexpr std::string_view class_key_field = "Bth-Key";
// Of a request: how long the caller waits, in milliseconds.
inline constexpr std::string_view timeout_field = "Bth-Timeout-Ms";
inline constexpr std::string_view request_id_field = "Bth-Request-Id";
// Of a target's response: "1" if it did not run the request.
inline constexpr std::string_view not_run_field = "Bth-Not-Run";
// Of a refusal: whether the request was run, and the reason.
inline constexpr std::string_view run_field = "Bth-Run";
inline constexpr std::string_view reason_field = "Bth-Reason";

// Removes the hop-by-hop fields (RFC 9110, 7.6.1), Expect, class_key_field, timeout_field and
// request_id_field.
void strip_request_fields(request_head& head);
// Removes the hop-by-hop fields, not_run_field, run_field and reason_field, so that a target's
// response can't look like a refusal by this system.
void strip_response_fields(response_head& head);

// Returns the head of a response that another entry host read, or nothing if it is none: a host of
// an earlier build reads heads less strictly.
std::optional<response_head>
make_response_head(unsigned status, const std::vector<std::pair<std::string, std::string>>& fields);

// Parses a decimal number without a sign, such as the value of Retry-After. Returns nothing if the
// text has any other character or the number doesn't fit 64 bits.
std::optional<std::uint64_t> parse_whole_number(std::string_view text);

// Returns the HTTP status of a refusal.
http::status status_of(refusal_reason reason);

// Returns the HTTP response for a refusal. `version` is 11 for HTTP/1.1. Retry-After is rounded up
// to seconds, retry_after_ms in the JSON body to milliseconds; a negative `retry_after` counts as
// zero.
full_response make_refusal_response(unsigned version, refusal_reason reason, run_state run,
                                    duration retry_after);

} // namespace bth::entry
