// Measures the request rate that callers offer to each service at each priority level. The rates
// rise within one or two ticks and decay slowly, so that a pause isn't mistaken for the end of a
// surge.
//
//   demand_meter offered;
//   offered.apply(model, nullptr);
//   offered.count(service, level);
//   offered.tick(now);
//   for (const priority_rate& each : offered.rates(service)) { use(each); }
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

struct priority_rate {
    priority_level level;
    request_rate rate;
};

class demand_meter {
public:
    // Switches to the services of `model`. Services that `change` maps keep their rates; all others
    // start at zero.
    void apply(const config::model& model, const model_map* change);
    // Counts the arrival of a request, whether it is served later or refused.
    void count(service_id service, priority_level level);
    // Ends the current sample, which began at the previous call, and updates the averages with it.
    void tick(time_point now);

    // Returns the rate of each level that isn't idle, most urgent level first.
    std::vector<priority_rate> rates(service_id service) const;
    request_rate total_rate(service_id service) const;

private:
    // Exponential moving averages of the arrivals of one level, in requests per second.
    struct level_averages {
        priority_level level;
        // Arrivals in the current sample.
        std::uint32_t arrivals{};
        double fast_average{};
        double slow_average{};
    };

    // By service; ordered by level, most urgent first.
    std::vector<std::vector<level_averages>> services;
    std::optional<time_point> last_tick;
};

// Returns the number of slots that a service needs so that few requests queue: the offered load
// (`rate` times `service_time`) plus its square root, the square-root staffing rule of Halfin and
// Whitt (1981).
double required_slots(request_rate rate, duration service_time);

// Returns the demand that an owner requests from other domains: the part of `offered` that exceeds
// the domain's own `slots` and `rate`, including headroom for a surge. Requests at least one slot
// once the offered load needs half of `slots`. Takes the excess from the least urgent levels first;
// the result is ordered most urgent level first. Empty without offered load or service time.
std::vector<grant_demand> excess_demand(const std::vector<priority_rate>& offered,
                                        duration service_time, std::uint32_t slots,
                                        request_rate rate);

} // namespace bth::steering
