// Distributes the requests of a route over its services by weight, using smooth weighted round
// robin: any sequence of requests matches the weights closely.
//
//   weighted_split split;
//   const std::string& service = split.next(route.split);
#pragma once

#include "bth/route/model.h"

#include <algorithm>
#include <string>
#include <vector>

namespace bth::gateway {

class weighted_split {
public:
    // Chooses the service for the next request by weight. `parts` must not be empty.
    const std::string& next(const std::vector<route::service_share>& parts)
    {
        if (this->credits.size() != parts.size()) {
            this->credits.assign(parts.size(), 0.0);
        }
        double weight_sum = 0;
        std::size_t best = 0;
        for (std::size_t index = 0; index < parts.size(); ++index) {
            this->credits[index] += parts[index].weight;
            weight_sum += parts[index].weight;
            if (this->credits[index] > this->credits[best]) {
                best = index;
            }
        }
        this->credits[best] -= weight_sum;
        return parts[best].service;
    }

private:
    // Accumulated weight of each part, less the weight of the requests that it was given.
    std::vector<double> credits;
};

} // namespace bth::gateway
