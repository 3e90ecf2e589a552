// Reads the operators' text into a checked model.
//
//   auto read = read_text("site.json", text);
//   if (!read) { std::cerr << to_string(read.error()); }
#pragma once

#include "bth/base/finding.h"
#include "bth/config/model.h"

#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace bth::config {

// A read text: the model, unless there are errors, and all findings, warnings included.
struct text_report {
    std::optional<model> read;
    findings found;
};

// Reads and checks a text. `file` only names the text in findings.
text_report check_text(std::string file, std::string text);

// The model that `text` describes, or every finding in it. Nothing of a text with an error is used;
// warnings alone don't count.
tl::expected<model, findings> read_text(std::string file, std::string text);

} // namespace bth::config
