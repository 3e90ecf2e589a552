// Checks how a message is framed where the parser of Beast doesn't: it takes a request whose last
// transfer coding isn't "chunked" for one without a body, so that its body would be read as the
// next request.
//
//   if (transfer_codings_of(message) != transfer_codings::readable) { refuse(); }
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace bth::shell {

enum class transfer_codings : std::uint8_t {
    // None, or "chunked" alone.
    readable,
    // The last one isn't "chunked", so that the length of a request can't be told (RFC 9112, 6.3).
    no_length,
    // Others stand before "chunked" (RFC 9112, 6.1).
    unknown,
};

// Returns what all Transfer-Encoding fields of a message together say.
inline transfer_codings transfer_codings_of(const boost::beast::http::fields& message)
{
    namespace http = boost::beast::http;
    std::string all;
    std::size_t fields = 0;
    const auto [first, last] = message.equal_range(http::field::transfer_encoding);
    for (auto each = first; each != last; ++each) {
        all += all.empty() ? "" : ",";
        all.append(each->value().data(), each->value().size());
        ++fields;
    }
    if (fields == 0) {
        return transfer_codings::readable;
    }
    std::size_t codings = 0;
    bool is_chunked = false;
    for (const auto& each : http::token_list{all}) {
        ++codings;
        is_chunked = boost::beast::iequals(each, "chunked");
    }
    if (!is_chunked) {
        return transfer_codings::no_length;
    }
    return codings == 1 ? transfer_codings::readable : transfer_codings::unknown;
}

} // namespace bth::shell
