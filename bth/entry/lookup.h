// Handles look-ups, which tell a caller which entry hosts to use for a service.
//
//   GET /lookup?service=NAME
//   -> 200, Cache-Control: private, max-age=5,
//      {"hosts":["127.1.0.1:8080"],"domain":"one","revision":3,"idempotency_prefix":"bth:..."}
#pragma once

#include "bth/entry/configuration_index.h"
#include "bth/entry/driver.h"
#include "bth/entry/http_fields.h"

#include <string_view>

namespace bth::entry {

// Returns the response to a look-up. `from` is the caller's address, `path` the target of the HTTP
// request, and `key` the key that proves the caller's class; it may be empty. `key_prefix` is what
// the caller's idempotency keys must start with; no other look-up response may have the same.
// Returns a refusal if the service is unknown or no entry host can serve it.
full_response handle_lookup(steering_driver& driver, const configuration_index& configuration,
                            ipv4_address from, std::string_view path, std::string_view key,
                            std::string_view key_prefix);

} // namespace bth::entry
