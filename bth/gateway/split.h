// Distributes the requests of each route over its services by weight, using smooth weighted round
// robin: any sequence of requests matches the weights closely.
//
//   route_splits splits;
//   splits.set_routes(configuration.routes);
//   const std::string& service = splits.next("route");
#pragma once

#include "bth/route/model.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bth::gateway {

// The distribution for one set of weights. What it owes to a service is in their units, so that
// other weights need another one.
class weighted_split {
public:
    // `parts` must not be empty, and their weights not add up to 0.
    explicit weighted_split(std::vector<route::service_share> parts)
        : shares{std::move(parts)}, credits(this->shares.size(), 0.0)
    {}

    const std::vector<route::service_share>& parts() const { return this->shares; }

    // Chooses the service for the next request.
    const std::string& next()
    {
        double weight_sum = 0;
        std::size_t best = 0;
        for (std::size_t index = 0; index < this->shares.size(); ++index) {
            this->credits[index] += this->shares[index].weight;
            weight_sum += this->shares[index].weight;
            if (this->credits[index] > this->credits[best]) {
                best = index;
            }
        }
        this->credits[best] -= weight_sum;
        return this->shares[best].service;
    }

private:
    std::vector<route::service_share> shares;
    // Accumulated weight of each part, less the weight of the requests that it was given.
    std::vector<double> credits;
};

// The distributions of all routes of the configuration in force.
class route_splits {
public:
    // Replaces the routes. One whose parts didn't change goes on where it was.
    void set_routes(const std::vector<route::route>& routes)
    {
        std::map<std::string, weighted_split> next;
        for (const auto& each : routes) {
            const auto known = this->splits.find(each.name);
            const bool is_same = known != this->splits.end() && known->second.parts() == each.split;
            next.insert_or_assign(each.name,
                                  is_same ? std::move(known->second) : weighted_split{each.split});
        }
        this->splits = std::move(next);
    }

    // Chooses the service for the next request of a route that was set.
    const std::string& next(const std::string& route_name)
    {
        return this->splits.at(route_name).next();
    }

private:
    std::map<std::string, weighted_split> splits;
};

} // namespace bth::gateway
