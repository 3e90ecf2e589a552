// Complete HTTP responses to callers: relayed from a target, or made by this host.
//
//   caller_response response =
//       make_refusal_response({refusal_reason::queue_full, run_state::no, retry_after});
//   std::string bytes = serialize(response, close_after);
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

using target_response = http::response<http::string_body>;
using caller_request = http::request<http::string_body>;

struct caller_response {
    unsigned status{};
    // Header lines "NAME: VALUE\r\n" without hop-by-hop fields and Content-Length.
    std::string header_lines;
    std::string body;
    // Content-Length of a response to HEAD, which has no body; empty for other responses.
    std::string head_content_length;
    // The connection has to be closed after this response: no further request can be read from it.
    bool closes_connection{};
};

// The outcome of a request that no target answered.
struct refusal {
    refusal_reason reason{};
    run_state run{run_state::no};
    // The time after which the caller should retry; 0: none is stated.
    duration retry_after{};
};

// Returns the response of a target without its hop-by-hop fields. `is_head`: the request was HEAD.
caller_response make_relayed_response(target_response received, bool is_head);

// Returns the response to a refused request: 503 (429 if the customer's allowance is used up), with
// Retry-After if a time is given, if the request has not run; 504 (deadline) or 502 (any other
// reason) if it may have run.
caller_response make_refusal_response(const refusal& outcome);

// Returns a response of this host to a request that was not run. Its JSON body states `reason`.
caller_response make_error_response(unsigned status, std::string_view reason,
                                    bool closes_connection);

// Returns the response as HTTP/1.1 bytes, without its body if the request was HEAD. `close_after`
// adds "Connection: close".
std::string serialize(const caller_response& response, bool close_after, bool is_head = false);

// Returns whether a header field must not be forwarded: hop-by-hop fields (RFC 9110, 7.6.1), the
// fields that the Connection field (`connection_options`) names, and Content-Length, which is
// generated for each message.
bool is_connection_field(std::string_view name, std::string_view connection_options);

} // namespace bth::gateway
