// How much callers ask of each service at each priority: rates that rise within a tick or two and
// fall slowly, so that a pause isn't taken for the end of a surge.
//
//   demand_meter offered;
//   offered.apply(model, nullptr);
//   offered.count(service, level);
//   offered.tick(now);
//   for (const level_rate& each : offered.rates(service)) { use(each); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"
#include "bth/config/model.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bth::steering {

struct level_rate {
    priority_level level;
    request_rate rate;
};

class demand_meter {
public:
    // Takes the services of `model`; rates stay for services that `change` maps.
    void apply(const config::model& model, const model_map* change);
    // A request arrived, whatever becomes of it.
    void count(service_id service, priority_level level);
    // Closes the present sample.
    void tick(time_point now);

    // Most urgent level first; only levels with a rate above zero.
    std::vector<level_rate> rates(service_id service) const;
    request_rate total(service_id service) const;

private:
    struct row {
        priority_level level;
        std::uint32_t arrived{};
        double fast{};
        double slow{};
    };

    std::vector<std::vector<row>> services;
    std::optional<time_point> last;
};

// The slots that a service needs so that few requests wait: offered load plus its square root
// (the square-root staffing rule after Halfin and Whitt 1981). `rate` is what is offered.
double slots_needed(request_rate rate, duration service_time);

// What an owner asks of other domains: what its callers need beyond `slots` and `rate` of its own,
// with room for a surge, and a standing slot once half of its own room is needed. The least urgent
// levels are those that go elsewhere.
std::vector<grant_demand> excess_demand(const std::vector<level_rate>& offered,
                                        duration service_time, std::uint32_t slots,
                                        request_rate rate);

} // namespace bth::steering
