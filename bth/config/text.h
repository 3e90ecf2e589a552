// Reads the operators' text into a checked model.
//
//   auto read = read_text("site.json", text);
//   if (!read) { std::cerr << to_string(read.error()); }
#pragma once

#include "bth/base/finding.h"
#include "bth/config/model.h"

#include <string>

#include <tl/expected.hpp>

namespace bth::config {

// The model that `text` describes, or every finding in it. `file` only names the text in findings.
// Nothing of a text with a finding is used.
tl::expected<model, findings> read_text(std::string file, std::string text);

} // namespace bth::config
