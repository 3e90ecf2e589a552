// Tracks which services can serve in this host's failure domain, where a service can serve only if
// all services that it depends on can.
//
//   dependencies needs;
//   needs.apply(model, nullptr);
//   needs.set_targets_can_serve(rulebook, false);
//   if (needs.unavailable_dependency(entries)) { refuse(refusal_reason::dependency); }
//
// The owner of a service's targets knows whether they can serve and sends this in its heartbeats.
// The last received state stays valid until another one is received: the failure of an owner is
// handled by the ownership protocol, which lets another host take over.
#pragma once

#include "bth/base/ids.h"
#include "bth/config/model.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"

#include <optional>
#include <vector>

namespace bth::steering {

class dependencies {
public:
    // Takes the dependencies from `model`. The state of a service is kept if `change` maps it to a
    // service of `model`; `change` is nullptr for the first model. New services are
    // taken to have targets that can serve.
    void apply(const config::model& model, const model_map* change);

    // Sets whether the targets of the service can serve, regardless of its dependencies.
    void set_targets_can_serve(service_id service, bool value);
    // Updates the services of another owner in this domain from its heartbeat.
    void apply_heartbeat(const heartbeat& message);

    // Returns a service whose targets can't serve and on which `service` depends, directly or
    // indirectly; nothing if there is none.
    std::optional<service_id> unavailable_dependency(service_id service) const;
    // Returns whether the targets of the service and of all its dependencies can serve.
    bool can_serve(service_id service) const;

private:
    struct service_row {
        bool targets_can_serve{true};
        // All direct and indirect dependencies, in depth-first order of the configuration.
        std::vector<service_id> all_dependencies;
    };

    // Adds all direct and indirect dependencies of `service` to `all_dependencies`.
    static void collect(const config::model& model, service_id service,
                        std::vector<service_id>& all_dependencies);

    std::vector<service_row> rows;
};

} // namespace bth::steering
