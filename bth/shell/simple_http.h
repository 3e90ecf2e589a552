// HTTP for small whole messages: the administration pages of a program, look-ups, and calls to
// another program. The request path itself streams and doesn't use this.
//
//   auto server = std::make_shared<http_server>(executor, std::move(acceptor), handler);
//   server->start();
//   auto answer = co_await http_call(where, request, std::chrono::seconds{2});
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"
#include "bth/shell/receive_budget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <tl/expected.hpp>

namespace bth::shell {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

// Answers one whole request. It may wait.
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

// A response with a body of the given media type, such as "application/json".
http_response make_response(const http_request& request, boost::beast::http::status status,
                            const std::string& media_type, std::string body);

// What a server or a call takes of one message.
constexpr std::size_t default_max_body_bytes = 64UL * 1024 * 1024;
// For pages whose requests have no body.
constexpr std::size_t no_body_bytes = 16UL * 1024;

// Accepts connections and passes whole requests to the handler. Requests that are malformed, too
// large or too slow close their connection, and only that one.
class http_server : public std::enable_shared_from_this<http_server> {
public:
    // `max_body_bytes` bounds the body of a request, and that of all requests that are being read
    // at a time, beside small ones.
    http_server(boost::asio::ip::tcp::acceptor acceptor, http_handler handler,
                std::size_t max_body_bytes = default_max_body_bytes);
    ~http_server();

    void start();
    // Accepts nothing more, closes idle connections, and closes each busy one once its answer is
    // written.
    void stop();

private:
    class session;

    boost::asio::awaitable<void> accept_all();

    boost::asio::ip::tcp::acceptor acceptor;
    http_handler handler;
    std::size_t max_body_bytes;
    // Shared with the sessions, which may outlive the server.
    std::shared_ptr<receive_budget> request_memory;
    std::vector<std::weak_ptr<session>> sessions;
};

// Why a call got no answer.
struct http_call_failure {
    // Whether any byte of the request may have reached the other side.
    bool sent{};
    // One sentence that names the step and the system's error.
    std::string message;
};

// Sends one request on a connection of its own and returns the whole answer. `limit` bounds the
// whole call, and `max_body_bytes` the answer: a longer one fails the call.
boost::asio::awaitable<tl::expected<http_response, http_call_failure>>
http_try(endpoint where, http_request request, duration limit,
         std::size_t max_body_bytes = default_max_body_bytes);

// The same, with only the sentence of a failure.
boost::asio::awaitable<tl::expected<http_response, std::string>>
http_call(endpoint where, http_request request, duration limit,
          std::size_t max_body_bytes = default_max_body_bytes);

} // namespace bth::shell
