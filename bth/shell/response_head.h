// Decides which heads are those of a response. Everything that reads a response over HTTP/1.1, or
// gets one from another host that has read it, decides by these functions.
//
// Beast's parser rejects what doesn't match the grammar of RFC 9112: an unknown version, a field
// name with a blank or a control character, a control character in a value, lengths that differ. It
// accepts any three digits as a status, any transfer coding, a length that is a list, and lines
// that continue the one before.
//
//   http::response_parser<http::string_body> parser;
//   auto error = co_await read_response_head(socket, buffer, parser);
//   if (!error && is_interim(parser.get().base())) { ... }
#pragma once

#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace bth::shell {

// The number of interim responses that a reader passes over before it gives up.
inline constexpr int max_interim_responses = 16;

// Returns what is wrong if this isn't the head of a response, or doesn't tell where the response
// ends. Nothing that follows on the connection can be read then.
boost::system::error_code check_response_head(const boost::beast::http::response_header<>& head);

// Returns whether a final response to the same request follows (RFC 9110, 15.2).
bool is_interim(const boost::beast::http::response_header<>& head);

// Returns whether a final response may have this status (RFC 9110, 15).
constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    constexpr unsigned last_status = 599;
    return status >= first_final_status && status <= last_status;
}

// Returns whether the text holds nothing but digits.
bool is_length(std::string_view text);

// Returns whether the name is a token and the value has no control character but tabs (RFC
// 9110, 5.1 and 5.5).
bool is_field(std::string_view name, std::string_view value);

// Returns whether the text consists of whole lines "NAME: VALUE", each a field and ended by CR LF.
bool are_field_lines(std::string_view lines);

// Looks for a line that continues the one before (RFC 9112, 5.2): a field whose name starts with a
// blank would become part of the value before it.
class continuation_scanner {
public:
    // Takes the next bytes of a head.
    void scan(std::string_view bytes);
    bool found() const { return this->is_found; }

private:
    bool at_line_start{};
    bool is_found{};
};

// Reads a head into a parser that was given nothing yet, and leaves what follows in `buffer`.
// Returns an error if it isn't the head of a response.
template <class Stream, class Parser>
boost::asio::awaitable<boost::system::error_code>
read_response_head(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    constexpr std::size_t max_read_bytes = 64UL * 1024;
    continuation_scanner scanner;
    boost::system::error_code error;
    while (!parser.is_header_done()) {
        if (buffer.size() > 0) {
            const auto given = buffer.data();
            const auto used = parser.put(given, error);
            scanner.scan({static_cast<const char*>(given.data()), used});
            buffer.consume(used);
            if (error && error != http::error::need_more) {
                co_return error;
            }
            if (used > 0) {
                continue;
            }
        }
        if (buffer.size() == buffer.max_size()) {
            co_return http::error::buffer_overflow;
        }
        const auto size = co_await stream.async_read_some(
            buffer.prepare(boost::beast::read_size(buffer, max_read_bytes)),
            asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(size);
        if (error == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (error) {
            co_return error;
        }
    }
    if (scanner.found()) {
        co_return http::error::bad_obs_fold;
    }
    co_return check_response_head(parser.get().base());
}

} // namespace bth::shell
