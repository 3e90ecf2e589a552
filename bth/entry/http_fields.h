// HTTP header types of the request path, and which header fields pass from one side to the other.
//
//   strip_request_fields(head);   // now `head` may go to a target or another entry host
#pragma once

#include "bth/base/reason.h"
#include "bth/base/time.h"

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bth::entry {

namespace http = boost::beast::http;

using request_head = http::request_header<>;
using answer_head = http::response_header<>;
using whole_answer = http::response<http::string_body>;

inline constexpr std::string_view key_field = "Bth-Key";
inline constexpr std::string_view timeout_field = "Bth-Timeout-Ms";
inline constexpr std::string_view request_id_field = "Bth-Request-Id";
inline constexpr std::string_view not_run_field = "Bth-Not-Run";
inline constexpr std::string_view run_field = "Bth-Run";
inline constexpr std::string_view reason_field = "Bth-Reason";

// Removes the fields that concern one connection only (RFC 9110, 7.6.1) and those of the system.
void strip_request_fields(request_head& head);
// The same for an answer: no target can pass its own words off as a refusal of the system.
void strip_answer_fields(answer_head& head);

// The value of a non-negative whole number field such as Retry-After, or nothing.
std::optional<std::uint64_t> whole_number(std::string_view text);

// The status of a refusal.
http::status status_of(refusal_reason reason);

// A refusal as an HTTP answer, with its body.
whole_answer make_refusal(unsigned version, refusal_reason reason, run_state run,
                          duration retry_after);

} // namespace bth::entry
