// What a target says about itself in an answer, beside the answer: that it leaves, and that it
// wants no more requests for a while.
//
//   const auto signals = read_target_signals("1", true, "2.5");
//   if (signals.leaves) { ... }
//   if (signals.rest) { ... }
#pragma once

#include "bth/base/time.h"

#include <optional>
#include <string_view>

namespace bth::gateway {

struct target_signals {
    // The target leaves: it wants no new requests, and ends soon.
    bool leaves{};
    // How long the target wants no more requests of this host, after it turned one away.
    std::optional<duration> rest;
    // Whether the target stated such a time that is no positive number of seconds.
    bool has_unreadable_rest{};
};

// Reads the values of the header fields by which a target says that it leaves, and after which time
// to send again; empty if the answer lacks them. The latter counts only if the target turned the
// request away because it is unavailable (`is_unavailable`).
target_signals read_target_signals(std::string_view leaving, bool is_unavailable,
                                   std::string_view retry_after);

} // namespace bth::gateway
