// Spreads the requests of a route over its services by weight, evenly at any moment (smooth
// weighted round robin).
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
    // The service of the next request. `parts` isn't empty.
    const std::string& next(const std::vector<route::service_share>& parts)
    {
        if (this->credit.size() != parts.size()) {
            this->credit.assign(parts.size(), 0.0);
        }
        double sum = 0;
        std::size_t best = 0;
        for (std::size_t part = 0; part < parts.size(); ++part) {
            this->credit[part] += parts[part].weight;
            sum += parts[part].weight;
            if (this->credit[part] > this->credit[best]) {
                best = part;
            }
        }
        this->credit[best] -= sum;
        return parts[best].service;
    }

private:
    std::vector<double> credit;
};

} // namespace bth::gateway
