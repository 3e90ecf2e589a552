#include "bth/shell/response_head.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::shell;
namespace asio = boost::asio;

enum class head_kind : std::uint8_t { final, interim, invalid };

// Serves the bytes in pieces of `step`.
struct byte_stream {
    template <class Token>
    auto async_read_some(asio::mutable_buffer to, Token&& token)
    {
        return asio::async_initiate<Token, void(boost::system::error_code, std::size_t)>(
            [this, to](auto handler) {
                const auto size = std::min({this->step, to.size(), this->rest.size()});
                std::copy_n(this->rest.begin(), size, static_cast<char*>(to.data()));
                this->rest.remove_prefix(size);
                boost::system::error_code error;
                if (size == 0) {
                    error = asio::error::eof;
                }
                asio::post(*this->context, [handler = std::move(handler), error, size]() mutable {
                    std::move(handler)(error, size);
                });
            },
            token);
    }

    asio::io_context* context;
    std::string_view rest;
    std::size_t step{};
};

head_kind read_head(const std::string& bytes, std::size_t step)
{
    asio::io_context context;
    byte_stream stream{&context, bytes, step};
    boost::beast::flat_buffer buffer;
    boost::beast::http::response_parser<boost::beast::http::empty_body> parser;
    boost::system::error_code error;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            error = co_await read_response_head(stream, buffer, parser);
        },
        asio::detached);
    context.run();
    if (error) {
        return head_kind::invalid;
    }
    return is_interim(parser.get().base()) ? head_kind::interim : head_kind::final;
}

void check_kind(head_kind expected, const std::string& bytes)
{
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        CHECK_TRUE_TEXT(read_head(bytes, step) == expected, bytes.c_str());
    }
}

std::string with_line(const std::string& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// clang-format off
TEST_GROUP(response_head) {};
// clang-format on

// A target's status 000 was passed on to callers, who can't read it.
TEST(response_head, status_outside_of_100_to_599_is_invalid)
{
    for (int status = 0; status < 1000; ++status) {
        const auto digits = std::to_string(1000 + status).substr(1);
        const bool is_known = status >= 100 && status <= 599 && status != 101;
        const auto valid_kind = status < 200 ? head_kind::interim : head_kind::final;
        check_kind(is_known ? valid_kind : head_kind::invalid,
                   "HTTP/1.1 " + digits + " -\r\nContent-Length: 0\r\n\r\n");
    }
}

TEST(response_head, line_that_is_no_status_line_is_invalid)
{
    for (const char* line :
         {"HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK",
          "HTTP/1.1 200", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
          "http/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK",
          "GET / HTTP/1.1", "error"}) {
        check_kind(head_kind::invalid, std::string{line} + "\r\nContent-Length: 0\r\n\r\n");
    }
    check_kind(head_kind::final, "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n");
    check_kind(head_kind::final, "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n");
}

// Other systems passed such a line on, or read a body that wasn't the target's.
TEST(response_head, field_name_with_a_blank_or_a_control_byte_is_invalid)
{
    for (int byte = 0; byte < 256; ++byte) {
        const std::string each(1, static_cast<char>(byte));
        const bool is_blank_or_control = byte <= 0x20 || byte == 0x7f;
        for (const auto& name : {each + "X-Name", "X-" + each + "Name", "X-Name" + each}) {
            const auto kind = read_head(with_line(name + ": 1"), 1);
            CHECK_TRUE_TEXT(!is_blank_or_control || kind == head_kind::invalid, name.c_str());
            CHECK_TRUE(are_field_lines(name + ": 1\r\n") == (kind == head_kind::final));
        }
    }
    check_kind(head_kind::invalid, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n");
    check_kind(head_kind::invalid, with_line("X-Name"));
    check_kind(head_kind::invalid, with_line(": 1"));
}

// Such a line became a part of the value before it, with the length of the body.
TEST(response_head, line_that_continues_the_one_before_is_invalid)
{
    check_kind(head_kind::invalid, "HTTP/1.1 200 OK\r\nX-Name: 1\r\n Content-Length: 0\r\n\r\n");
    check_kind(head_kind::invalid, with_line("X-Name: 1\r\n\t2"));
    check_kind(head_kind::invalid, with_line("X-Name:\r\n 2"));
    check_kind(head_kind::invalid, "HTTP/1.1 200 OK\r\n X-Name: 1\r\n\r\n");
    // A body may start with a blank.
    check_kind(head_kind::final, with_line("X-Name: 1") + " body");
    check_kind(head_kind::final, "HTTP/1.1 200 OK\r\n\r\n body");
}

TEST(response_head, field_value_with_a_control_byte_is_invalid)
{
    for (int byte = 0; byte < 256; ++byte) {
        const auto value = "a" + std::string(1, static_cast<char>(byte)) + "b";
        const bool is_valid = byte == '\t' || (byte >= 0x20 && byte != 0x7f);
        check_kind(is_valid ? head_kind::final : head_kind::invalid, with_line("X-Name: " + value));
        CHECK_TRUE(are_field_lines("X-Name: " + value + "\r\n") == is_valid);
    }
}

// The body of such a response isn't what its bytes seem to be.
TEST(response_head, coding_that_cant_be_read_is_invalid)
{
    const std::string start = "HTTP/1.1 404 Not Found\r\n";
    for (const char* coding :
         {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked"}) {
        check_kind(head_kind::invalid, start + "Transfer-Encoding: " + coding + "\r\n\r\n");
    }
    check_kind(head_kind::invalid,
               start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n");
    check_kind(head_kind::invalid, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    check_kind(head_kind::final, start + "Transfer-Encoding: chunked\r\n\r\n");
}

TEST(response_head, length_that_is_no_single_number_is_invalid)
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: ";
    for (const char* length :
         {"", "+2", "-2", "0x2", "2 2", "2, 2", "2, 3", "2,", "99999999999999999999",
          "2\r\nContent-Length: 3", "2\r\nTransfer-Encoding: chunked"}) {
        check_kind(head_kind::invalid, start + length + "\r\n\r\n");
    }
    check_kind(head_kind::final, start + "2\r\n\r\n");
}

TEST(response_head, lines_are_whole)
{
    CHECK_TRUE(are_field_lines(""));
    CHECK_TRUE(are_field_lines("A: 1\r\nB:\r\n"));
    for (const char* lines : {"A: 1", "A: 1\r\n\r\n", "A: 1\nB: 2\r\n", "A\r\n", " A: 1\r\n"}) {
        CHECK_FALSE(are_field_lines(lines));
    }
}
