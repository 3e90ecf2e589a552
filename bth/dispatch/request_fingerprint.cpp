#include "bth/dispatch/request_fingerprint.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace bth::dispatch {

request_fingerprint fingerprint_of(const request_identity& identity)
{
    std::uint64_t hash = 0;
    // Each part is hashed with the hash of those before it as the seed, so that bytes that move
    // from one part to the next make another fingerprint.
    for (const auto part : std::array{identity.credentials, identity.method, identity.host,
                                      identity.path_and_query, identity.object, identity.body}) {
        hash = XXH64(part.data(), part.size(), hash);
    }
    return request_fingerprint{std::max<std::uint64_t>(hash, 1)};
}

} // namespace bth::dispatch
