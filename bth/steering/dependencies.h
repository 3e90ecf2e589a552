// Which services can serve in the own failure domain, given that a service needs all those that it
// depends on.
//
//   dependencies needs;
//   needs.apply(model, nullptr);
//   needs.set_able(rulebook, false);
//   if (auto missing = needs.missing(entries)) { refuse(refusal_reason::dependency); }
//
// The owner of a service's targets knows whether they can serve and says so in its heartbeats. What
// was said last holds until something else is said: a silent owner is a matter of ownership, which
// another host takes over.
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
    // Takes the dependencies of `model`; words stay for services that `change` maps.
    void apply(const config::model& model, const model_map* change);

    // Whether the targets of the service can serve, whatever it depends on.
    void set_able(service_id service, bool able);
    // Takes the words of another owner in this domain.
    void take_heartbeat(const heartbeat& beat);

    // A service that `service` depends on, directly or not, and that can't serve.
    std::optional<service_id> missing(service_id service) const;
    // Whether the service can serve here.
    bool can_serve(service_id service) const;

private:
    struct row {
        bool able{true};
        // All that it depends on, directly or not, in the order of the text.
        std::vector<service_id> needs;
    };

    static void collect(const config::model& model, service_id service,
                        std::vector<service_id>& needs);

    std::vector<row> rows;
};

} // namespace bth::steering
