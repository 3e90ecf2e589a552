// The status of a control host as JSON, for programs, and as a page, for people.
//
//   std::string json = status_json(status);
//   std::string page = status_html(status);
#pragma once

#include "bth/control/proposer.h"

#include <string>

namespace bth::control {

std::string status_json(const control_status& status);
std::string status_html(const control_status& status);

} // namespace bth::control
