#include "bth/shell/simple_http.h"

#include <array>
#include <chrono>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using call_result = tl::expected<bth::shell::http_response, std::string>;

asio::awaitable<void> answer_one(tcp::acceptor& acceptor, std::string answer)
{
    std::array<char, 1024> request{};
    boost::system::error_code ignored;
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await socket.async_read_some(asio::buffer(request),
                                    asio::redirect_error(asio::use_awaitable, ignored));
    co_await asio::async_write(socket, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, ignored));
}

// Calls a server that answers with these bytes and closes the connection.
call_result call(const std::string& answer)
{
    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    call_result result = tl::unexpected{std::string{"no result"}};
    asio::co_spawn(context, answer_one(acceptor, answer), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            bth::shell::http_request request{boost::beast::http::verb::get, "/list", 11};
            result = co_await bth::shell::http_call(
                {{0x7f000001}, acceptor.local_endpoint().port()}, std::move(request), 2s);
        },
        asio::detached);
    context.run();
    return result;
}

} // namespace

// clang-format off
TEST_GROUP(simple_http) {};
// clang-format on

// The list of targets, a control host's answer: bytes whose head is no response's were an answer.
TEST(simple_http, head_that_is_no_response_fails_the_call)
{
    const std::string body = "Content-Length: 2\r\n\r\n{}";
    for (const auto& answer :
         {"HTTP/1.1 000 -\r\n" + body, "HTTP/1.1 099 -\r\n" + body, "HTTP/1.1 600 -\r\n" + body,
          "HTTP/1.1 999 -\r\n" + body, "HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
          "HTTP/1.1 200 OK\r\nX Name: 1\r\n" + body, "HTTP/1.1 200 OK\r\nX-\x01: 1\r\n" + body,
          "HTTP/1.1 200 OK\r\nX-Name : 1\r\n" + body,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + body,
          std::string{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
          std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n{}"}}) {
        CHECK_FALSE_TEXT(call(answer).has_value(), answer.c_str());
    }
}

// A server's 103 failed the reading of the list.
TEST(simple_http, interim_response_is_passed_over)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const auto answer = call(interim + interim + whole);
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(200, answer->result_int());
    STRCMP_EQUAL("{}", answer->body().c_str());
    std::string endless;
    for (int i = 0; i < 100; ++i) {
        endless += interim;
    }
    CHECK_FALSE(call(endless + whole).has_value());
}
