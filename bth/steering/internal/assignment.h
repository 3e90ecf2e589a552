// The configured assignment: which failure domain serves the callers of each home domain according
// to the configuration alone, before traffic is shifted at run time.
//
//   const std::vector<domain_id> assigned = configured_assignment(model);
//   assigned.at(assignment_index(model, service, home));
#pragma once

#include "bth/base/ids.h"
#include "bth/config/model.h"

#include <cstddef>
#include <vector>

namespace bth::steering::internal {

// Returns the position in the assignment for callers of `home` that use `service`.
inline std::size_t assignment_index(const config::model& model, service_id service, domain_id home)
{
    return service.index() * model.domains.size() + home.index();
}

// Returns for each service and home domain: the home, or its first fallback domain with targets of
// the service that have slots. The home also if no fallback domain has any. Indexed by
// assignment_index.
std::vector<domain_id> configured_assignment(const config::model& model);

} // namespace bth::steering::internal
