// Waits until the hosts have confirmed that an accepted version is in force.
//
//   return wait_for_hosts(std::cout, control, revision{5}, limit, form);
#pragma once

#include "bth/base/ids.h"
#include "bth/ctl/control_client.h"
#include "bth/ctl/exit_code.h"
#include "bth/ctl/report.h"

#include <ostream>
#include <string>
#include <vector>

namespace bth::ctl {

// The version that the answer to an accepted edit names; 0 for any other answer.
revision accepted_version(const call_result& result);

// The hosts of a status (as JSON) that haven't confirmed the version. `known` tells whether the
// status knows of confirmations at all.
struct unconfirmed_hosts {
    bool known{};
    std::vector<std::string> hosts;
};
unconfirmed_hosts unconfirmed(const std::string& status, revision wanted);

// Asks the control hosts for their status until no host is missing or `limit` has passed, and
// prints which hosts are.
exit_code wait_for_hosts(std::ostream& out, const std::vector<endpoint>& control, revision wanted,
                         duration limit, output_form form);

} // namespace bth::ctl
