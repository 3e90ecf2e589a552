// Recognizes a request that comes again, at any host: by what its callers repeat, not by the id or
// the time budget of a single attempt.
//
//   auto known = fingerprint_of({credentials, "GET", "shop.example", "/a?b=c", "7", body});
//
// The address from which a request comes is no part of it: a caller may have several, one after the
// other or at the same time.
#pragma once

#include "bth/base/strong_id.h"

#include <cstdint>
#include <string_view>

namespace bth::dispatch {

using request_fingerprint = strong_id<struct request_fingerprint_tag, std::uint64_t>;

// What stays the same when a caller repeats a request.
struct request_identity {
    // What the request says of its caller; empty if it says nothing.
    std::string_view credentials;
    std::string_view method;
    std::string_view host;
    // The path and the query.
    std::string_view path_and_query;
    // The object that the request concerns; empty if it names none.
    std::string_view object;
    // The whole body.
    std::string_view body;
};

// Returns a hash that is the same on all hosts and in all builds; 0 is never returned.
request_fingerprint fingerprint_of(const request_identity& identity);

} // namespace bth::dispatch
