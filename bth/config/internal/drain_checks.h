// What the announced drains of a text take away.
//
//   check_drains(read, document, found);
#pragma once

#include "bth/base/finding.h"
#include "bth/config/json_reader.h"
#include "bth/config/model.h"

namespace bth::config {

// Reports a thing that is drained twice, and warns where all drains together leave a service
// without targets, move more of a service than its shift cap, or leave less room in the fallbacks
// than the drained failure domain may carry. When the drains start doesn't count.
void check_drains(const model& read, const json_document& document, findings& found);

} // namespace bth::config
