// Checks of the meaning of an operators' text, behind the reader in bth/config/text.cpp. Each
// finding names the place in the text and what would be right.
//
//   check_values(read, document, found);
//   check_relations(read, document, found);
#pragma once

#include "bth/base/finding.h"
#include "bth/config/json_reader.h"
#include "bth/config/model.h"

namespace bth::config {

// What can be told row by row, also of a text with wrong references: endpoints and client blocks
// that stand twice, caps of zero, classes without a priority, the class of callers who prove
// nothing.
void check_values(const model& read, const json_document& document, findings& found);

// What needs every reference to hold: caps of regions against those of their failure domains,
// cycles of dependencies, services without targets, failure domains without hosts, fallbacks
// without links, and what the announced drains take away.
void check_relations(const model& read, const json_document& document, findings& found);

} // namespace bth::config
