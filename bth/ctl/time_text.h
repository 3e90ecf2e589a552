// Wall times as operators write them.
//
//   auto from = parse_wall_time("2026-12-04T08:00:00Z");
#pragma once

#include "bth/base/time.h"

#include <optional>
#include <string_view>

namespace bth::ctl {

// Takes "YYYY-MM-DDThh:mm:ssZ" (RFC 3339, UTC only), or a number of milliseconds since 1970-01-01
// UTC; nothing for any other text. There are no relative times: an edit that is sent again must
// say the same.
std::optional<wall_time> parse_wall_time(std::string_view text);

} // namespace bth::ctl
