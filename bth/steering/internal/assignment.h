// Which failure domain serves whose callers by the text alone, before any shift.
//
//   const std::vector<domain_id> assigned = assignment_of(model);
//   assigned.at(assignment_index(model, service, home));
#pragma once

#include "bth/base/ids.h"
#include "bth/config/model.h"

#include <cstddef>
#include <vector>

namespace bth::steering::internal {

// The row of the assignment for callers of `home`.
inline std::size_t assignment_index(const config::model& model, service_id service, domain_id home)
{
    return service.index() * model.domains.size() + home.index();
}

// For each service and home: the home, or its first fallback that has targets of the service.
std::vector<domain_id> assignment_of(const config::model& model);

} // namespace bth::steering::internal
