// What a target says about itself in an answer, beside the answer: that it leaves, that it wants no
// more requests for a while, and how many it accepts.
//
//   const auto signals = read_target_signals({.leaving = "1", .retry_after = "2.5"}, true);
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
    // How many requests per second the target accepts from all hosts together.
    std::optional<double> limit;
    // Whether the target stated a limit that is no number, or a negative or infinite one.
    bool has_unreadable_limit{};
    // Whether the target ran the request and named no limit: an earlier one no longer holds.
    bool has_no_limit{};
};

// The values of the header fields in which a target speaks of itself; empty if the answer lacks
// them.
struct target_signal_fields {
    std::string_view leaving{};
    std::string_view retry_after{};
    std::string_view limit{};
};

// Reads what a target says about itself. The time after which to send again counts only if the
// target turned the request away because it is unavailable (`is_unavailable`). `has_no_limit` is
// left to the caller, who knows whether the request ran.
target_signals read_target_signals(const target_signal_fields& fields, bool is_unavailable);

} // namespace bth::gateway
