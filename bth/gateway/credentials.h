// The key with which a caller proves for which customer it sends.
#pragma once

#include "bth/gateway/caller_response.h"

#include <optional>
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace bth::gateway {

// Returns the key in the Authorization field, which is `scheme`, blanks and the key (RFC 9110,
// 11.6.2). Returns nothing if there is no such field, if it has another scheme or no key, or if
// there are several, of which a target might take another one.
inline std::optional<std::string_view> read_key(const caller_request& request,
                                                std::string_view scheme)
{
    const auto fields = request.equal_range(http::field::authorization);
    if (fields.first == fields.second || std::next(fields.first) != fields.second) {
        return std::nullopt;
    }
    constexpr std::string_view blanks{" \t"};
    std::string_view value{fields.first->value().data(), fields.first->value().size()};
    const auto scheme_end = value.find_first_of(blanks);
    if (scheme_end == std::string_view::npos ||
        !boost::beast::iequals({value.data(), scheme_end}, {scheme.data(), scheme.size()})) {
        return std::nullopt;
    }
    const auto key_start = value.find_first_not_of(blanks, scheme_end);
    if (key_start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto key = value.substr(key_start, value.find_last_not_of(blanks) + 1 - key_start);
    // A key has no blanks inside.
    return key.find_first_of(blanks) == std::string_view::npos ? std::optional{key} : std::nullopt;
}

} // namespace bth::gateway
