#include "bth/steering/limits.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace bth::steering {

namespace {

// Keeps rounding errors from raising the sum of the parts above the cap.
constexpr double rounding_margin = 1.0 - 1e-9;

// The load that the targets of one service in one domain can serve.
struct serving_capacity {
    std::uint32_t slots{};
    // Requests per second.
    double rate{};
};

using serving_key = std::pair<domain_id, service_id>;
using serving_table = std::map<serving_key, serving_capacity>;

// Returns the slots and the request rate of the targets of each domain and service, when warm.
serving_table serving_capacities(const config::model& model)
{
    serving_table capacities;
    for (const config::target& each : model.targets) {
        const auto time =
            std::max(model.at(each.service).service_time, std::chrono::microseconds{1});
        const double seconds = std::chrono::duration<double>(time).count();
        serving_capacity& row = capacities[{each.domain, each.service}];
        row.slots += each.slots;
        row.rate += each.slots / seconds;
    }
    return capacities;
}

// Splits a whole number in proportion to `weights` by the largest remainder method: each part is
// rounded down, and the rest is given out one by one in the order of the largest remainders.
std::vector<std::uint32_t> split_by_weight(std::uint32_t whole,
                                           const std::vector<std::uint32_t>& weights)
{
    std::uint64_t total = 0;
    for (const std::uint32_t weight : weights) {
        total += weight;
    }
    std::vector<std::uint32_t> parts(weights.size(), 0);
    if (total == 0) {
        return parts;
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> remainders;
    std::uint32_t remaining = whole;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        const std::uint64_t scaled = std::uint64_t{whole} * weights.at(index);
        parts.at(index) = static_cast<std::uint32_t>(scaled / total);
        remaining -= parts.at(index);
        remainders.emplace_back(total - scaled % total, index);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::uint32_t step = 0; step < remaining; ++step) {
        ++parts.at(remainders.at(step).second);
    }
    return parts;
}

// The bytes per second that some targets would receive and send if all their requests came from
// another region. Used as weights for splitting the cap of a link.
struct link_weight {
    double request_bytes{};
    double answer_bytes{};
};

link_weight weight_of(const config::model& model, const serving_capacity& row, service_id service)
{
    const config::service& sizes = model.at(service);
    return {row.rate * static_cast<double>(sizes.request_bytes),
            row.rate * static_cast<double>(sizes.answer_bytes)};
}

std::vector<link_weight> weights_by_region(const config::model& model,
                                           const serving_table& capacities)
{
    std::vector<link_weight> region_sums(model.regions.size());
    for (const auto& [key, row] : capacities) {
        const link_weight weight = weight_of(model, row, key.second);
        link_weight& sum = region_sums.at(model.at(key.first).region.index());
        sum.request_bytes += weight.request_bytes;
        sum.answer_bytes += weight.answer_bytes;
    }
    return region_sums;
}

link_rate part_of_link(const config::model& model, region_id from, region_id to, double weight,
                       double total)
{
    const auto id = config::find_link(model, from, to);
    if (!id || total <= 0.0) {
        return {};
    }
    return model.at(*id).cap * (weight / total * rounding_margin);
}

} // namespace

limits::limits(const config::model& model, domain_id domain)
    : region{model.at(domain).region}, region_count{model.regions.size()},
      parts(model.services.size()), links(model.services.size() * model.regions.size())
{
    const serving_table capacities = serving_capacities(model);
    const auto region_sums = weights_by_region(model, capacities);
    std::vector<std::uint32_t> slots(model.services.size(), 0);
    double rate_total = 0.0;
    for (std::size_t index = 0; index < model.services.size(); ++index) {
        const auto found = capacities.find({domain, service_id::from_index(index)});
        if (found != capacities.end()) {
            slots.at(index) = found->second.slots;
            rate_total += found->second.rate;
        }
    }
    const config::capacity& cap = model.at(domain).cap;
    const auto in_flight = split_by_weight(cap.in_flight, slots);
    for (std::size_t index = 0; index < model.services.size(); ++index) {
        const service_id service = service_id::from_index(index);
        const auto found = capacities.find({domain, service});
        if (found == capacities.end()) {
            continue;
        }
        this->parts.at(index) = {cap.rate * (found->second.rate / rate_total * rounding_margin),
                                 in_flight.at(index)};
        const link_weight own_weight = weight_of(model, found->second, service);
        const link_weight& own_region_weight = region_sums.at(this->region.index());
        for (std::size_t source_index = 0; source_index < this->region_count; ++source_index) {
            const region_id source = region_id::from_index(source_index);
            const link_weight& source_region_weight = region_sums.at(source_index);
            link_capacity& row = this->links.at(index * this->region_count + source_index);
            row.request_bytes =
                part_of_link(model, source, this->region, own_weight.request_bytes,
                             own_region_weight.request_bytes + source_region_weight.answer_bytes);
            row.answer_bytes =
                part_of_link(model, this->region, source, own_weight.answer_bytes,
                             own_region_weight.answer_bytes + source_region_weight.request_bytes);
        }
    }
}

request_capacity limits::part(service_id service) const
{
    return service.index() < this->parts.size() ? this->parts.at(service.index())
                                                : request_capacity{};
}

link_capacity limits::link(service_id service, region_id source) const
{
    const std::size_t index = service.index() * this->region_count + source.index();
    return index < this->links.size() ? this->links.at(index) : link_capacity{};
}

} // namespace bth::steering
