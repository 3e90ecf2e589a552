#include "bth/steering/limits.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace bth::steering {

namespace {

// Keeps sums of parts from passing the cap by rounding.
constexpr double rounding_margin = 1.0 - 1e-9;

struct served_row {
    std::uint32_t slots{};
    double rate{};
};

using served_key = std::pair<domain_id, service_id>;
using served_table = std::map<served_key, served_row>;

// What the warm targets of each domain and service serve.
served_table served(const config::model& in)
{
    served_table all;
    for (const config::target& each : in.targets) {
        const auto time = std::max(in.at(each.service).service_time, std::chrono::microseconds{1});
        const double seconds = std::chrono::duration<double>(time).count();
        served_row& row = all[{each.domain, each.service}];
        row.slots += each.slots;
        row.rate += each.slots / seconds;
    }
    return all;
}

// Splits a whole number by weights: the floor of each part, and what is left one by one to the
// largest remainders.
std::vector<std::uint32_t> split_whole(std::uint32_t whole,
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
    std::uint32_t left = whole;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        const std::uint64_t scaled = std::uint64_t{whole} * weights.at(index);
        parts.at(index) = static_cast<std::uint32_t>(scaled / total);
        left -= parts.at(index);
        remainders.emplace_back(total - scaled % total, index);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::uint32_t step = 0; step < left; ++step) {
        ++parts.at(remainders.at(step).second);
    }
    return parts;
}

// The bytes per second that the domains of one region would serve for another, as weights.
struct region_weight {
    double request_bytes{};
    double answer_bytes{};
};

region_weight weight_of(const config::model& in, const served_row& row, service_id service)
{
    const config::service& about = in.at(service);
    return {row.rate * static_cast<double>(about.request_bytes),
            row.rate * static_cast<double>(about.answer_bytes)};
}

std::vector<region_weight> region_weights(const config::model& in, const served_table& all)
{
    std::vector<region_weight> sums(in.regions.size());
    for (const auto& [key, row] : all) {
        const region_weight one = weight_of(in, row, key.second);
        region_weight& sum = sums.at(in.at(key.first).region.index());
        sum.request_bytes += one.request_bytes;
        sum.answer_bytes += one.answer_bytes;
    }
    return sums;
}

link_rate part_of(const config::model& in, region_id from, region_id to, double weight,
                  double total)
{
    const auto id = config::find_link(in, from, to);
    if (!id || total <= 0.0) {
        return {};
    }
    return in.at(*id).cap * (weight / total * rounding_margin);
}

} // namespace

limits::limits(const config::model& in, domain_id own)
    : region{in.at(own).region}, region_count{in.regions.size()}, parts(in.services.size()),
      links(in.services.size() * in.regions.size())
{
    const served_table all = served(in);
    const auto sums = region_weights(in, all);
    std::vector<std::uint32_t> slots(in.services.size(), 0);
    double rate_total = 0.0;
    for (std::size_t index = 0; index < in.services.size(); ++index) {
        const auto found = all.find({own, service_id::from_index(index)});
        if (found != all.end()) {
            slots.at(index) = found->second.slots;
            rate_total += found->second.rate;
        }
    }
    const config::capacity& cap = in.at(own).cap;
    const auto in_flight = split_whole(cap.in_flight, slots);
    for (std::size_t index = 0; index < in.services.size(); ++index) {
        const service_id service = service_id::from_index(index);
        const auto found = all.find({own, service});
        if (found == all.end()) {
            continue;
        }
        this->parts.at(index) = {cap.rate * (found->second.rate / rate_total * rounding_margin),
                                 in_flight.at(index)};
        const region_weight one = weight_of(in, found->second, service);
        const region_weight& here = sums.at(this->region.index());
        for (std::size_t at = 0; at < this->region_count; ++at) {
            const region_id source = region_id::from_index(at);
            const region_weight& there = sums.at(at);
            link_room& row = this->links.at(index * this->region_count + at);
            row.request_bytes = part_of(in, source, this->region, one.request_bytes,
                                        here.request_bytes + there.answer_bytes);
            row.answer_bytes = part_of(in, this->region, source, one.answer_bytes,
                                       here.answer_bytes + there.request_bytes);
        }
    }
}

room limits::part(service_id service) const
{
    return service.index() < this->parts.size() ? this->parts.at(service.index()) : room{};
}

link_room limits::link(service_id service, region_id source) const
{
    const std::size_t index = service.index() * this->region_count + source.index();
    return index < this->links.size() ? this->links.at(index) : link_room{};
}

} // namespace bth::steering
