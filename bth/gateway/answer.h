// Whole answers on their way to a caller, and the header fields that pass between the two sides.
//
//   answer made = make_refusal({refusal_reason::queue_full, run_state::no, wait});
//   std::string bytes = serialize(made, close_after);
#pragma once

#include "bth/base/reason.h"
#include "bth/base/time.h"

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bth::gateway {

namespace http = boost::beast::http;

using target_answer = http::response<http::string_body>;
using caller_request = http::request<http::string_body>;

struct answer {
    unsigned status{};
    // Complete header lines, without those that concern one connection or the length.
    std::string fields;
    std::string body;
    // The length to state where no body is sent, as in the answer to HEAD.
    std::string bodyless_length;
    // Nothing can be read from the caller after this answer.
    bool closes{};
};

// What becomes of a request that no target answered.
struct refusal {
    refusal_reason reason{};
    run_state run{run_state::no};
    // When to come back; zero: no time is stated.
    duration retry_after{};
};

// The answer of a target, passed on as it is. `to_head` if the request was HEAD.
answer pass_on(target_answer from, bool to_head);

// 503 with a time to come back where the request has not run; 502 or 504 where it may have.
answer make_refusal(const refusal& why);

// An answer of this host with no body of a target.
answer make_plain(unsigned status, std::string_view reason, bool closes);

std::string serialize(const answer& from, bool close_after);

// Whether a field concerns one connection only (RFC 9110, 7.6.1), or is set anew for each.
bool is_connection_field(std::string_view name, std::string_view connection_options);

} // namespace bth::gateway
