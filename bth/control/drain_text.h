// Writes announced drains into the operators' text and takes them out again. All of the text
// outside its "drains" array stays as it is, comments included.
//
//   auto drained = with_drain(text, {drain_kind::target, "entries-1", from});
//   auto restored = without_drain(*drained, {drain_kind::target, "entries-1"});
#pragma once

#include "bth/control/edit.h"

#include <string>

#include <tl/expected.hpp>

namespace bth::control {

// The text with the drain announced, or one sentence that says why that can't be written. Whether
// the drained thing exists is left to the check of the text.
tl::expected<std::string, std::string> with_drain(const std::string& text,
                                                  const drain_change& change);

// The text without the drain, or one sentence; a thing that isn't drained is an error.
tl::expected<std::string, std::string> without_drain(const std::string& text,
                                                     const undrain_change& change);

} // namespace bth::control
