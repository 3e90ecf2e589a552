// The body of POST /edits.
//
//   {"edit_id": "mend-links-7", "expected_version": 4, "author": "ada", "text": "..."}
//   {"edit_id": "venue-down", "expected_version": 5, "drain": {"region": "shires",
//    "from_unix_ms": 1800000000000}}
//   {"edit_id": "venue-up", "expected_version": 6, "undrain": {"region": "shires"}}
#pragma once

#include "bth/base/finding.h"
#include "bth/control/edit.h"

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace bth::control {

// The edit that the body asks for, or every finding in it. The edit gets `ids_kept`.
tl::expected<edit, findings> read_edit_request(std::string body, std::uint32_t ids_kept);

// The body that read_edit_request() reads as this edit.
std::string write_edit_request(const edit& one);

} // namespace bth::control
