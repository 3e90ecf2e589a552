#include "bth/steering/internal/assignment.h"

#include <algorithm>

namespace bth::steering::internal {

namespace {

// Returns the domain that serves callers of `home` according to the configuration alone: the home,
// or its first fallback domain with targets of the service that have slots. Returns the home if
// there is none.
domain_id assigned_domain(const config::model& model, service_id service, domain_id home)
{
    const auto serves = [&](domain_id domain) {
        return std::any_of(
            model.targets.begin(), model.targets.end(), [&](const config::target& each) {
                return each.service == service && each.domain == domain && each.slots > 0;
            });
    };
    if (serves(home)) {
        return home;
    }
    const auto& fallbacks = model.at(home).fallbacks;
    const auto found = std::find_if(fallbacks.begin(), fallbacks.end(), serves);
    return found == fallbacks.end() ? home : *found;
}

} // namespace

std::vector<domain_id> configured_assignment(const config::model& model)
{
    std::vector<domain_id> assigned;
    assigned.reserve(model.services.size() * model.domains.size());
    for (std::size_t service = 0; service < model.services.size(); ++service) {
        for (std::size_t home = 0; home < model.domains.size(); ++home) {
            assigned.push_back(assigned_domain(model, service_id::from_index(service),
                                               domain_id::from_index(home)));
        }
    }
    return assigned;
}

} // namespace bth::steering::internal
