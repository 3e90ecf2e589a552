// Edits as bytes, for the agreed log (FlatBuffers, bth/control/edits.fbs). Equal edits give equal
// bytes.
//
//   std::vector<std::uint8_t> bytes = encode_edit(one);
//   auto read = decode_edit(bytes);
#pragma once

#include "bth/control/edit.h"

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::control {

std::vector<std::uint8_t> encode_edit(const edit& one);

// The edit, or one sentence that says what is wrong with the bytes.
tl::expected<edit, std::string> decode_edit(const std::vector<std::uint8_t>& bytes);

} // namespace bth::control
