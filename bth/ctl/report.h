// What bthctl prints: answers of control hosts and findings, for people or as JSON.
//
//   exit_code code = report_edit(std::cout, result, id, output_form::text);
#pragma once

#include "bth/base/finding.h"
#include "bth/ctl/control_client.h"
#include "bth/ctl/exit_code.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace bth::ctl {

enum class output_form : std::uint8_t { text, json };

// Prints what became of an edit. JSON is the control host's answer word for word, or an object of
// the same form where no host answered.
exit_code report_edit(std::ostream& out, const call_result& result, const std::string& edit_id,
                      output_form form);

// Prints why a call got no answer.
exit_code report_unavailable(std::ostream& out, const call_result& result, output_form form);

// Prints the findings of a check.
exit_code report_check(std::ostream& out, const findings& found, output_form form);

} // namespace bth::ctl
