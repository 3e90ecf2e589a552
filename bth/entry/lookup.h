// Look-ups: which entry hosts a caller should use for a service.
//
//   GET /lookup?service=NAME
//   -> 200, Cache-Control: private, max-age=5,
//      {"hosts":["127.1.0.1:8080"],"domain":"one","revision":3,"idempotency_prefix":"bth:..."}
#pragma once

#include "bth/entry/driver.h"
#include "bth/entry/http_fields.h"
#include "bth/entry/site.h"

#include <string_view>

namespace bth::entry {

// The answer to a look-up of a caller at `from`. `path` is the request's target, `key` proves the
// caller's class and may be empty. `key_prefix` starts the caller's next idempotency key, and is
// its alone.
whole_answer answer_lookup(steering_driver& driver, const site_index& site, ipv4_address from,
                           std::string_view path, std::string_view key,
                           std::string_view key_prefix);

} // namespace bth::entry
