#include "bth/steering/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bth::steering {

namespace {

// Time constants of the two averages. The greater average counts.
constexpr double fast_seconds = 0.15;
constexpr double slow_seconds = 2.0;
// How much more than the present need an owner asks for.
constexpr double surge_factor = 1.25;
// The share of its own slots from which on an owner keeps a standing grant.
constexpr double standing_share = 0.5;
// A rate below this is none.
constexpr double least_rate = 0.05;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void follow(double& average, double sample, double elapsed, double seconds)
{
    average += (sample - average) * (1.0 - std::exp(-elapsed / seconds));
}

double excess_slots(request_rate total, double seconds, std::uint32_t slots, request_rate rate)
{
    const double needed = slots_needed(total, from_seconds(seconds));
    const double beyond_slots = needed * surge_factor - slots;
    const double beyond_rate = (total.value() * surge_factor - rate.value()) * seconds;
    const double standing = needed >= standing_share * slots ? 1.0 : 0.0;
    return std::ceil(std::max({beyond_slots, beyond_rate, standing}));
}

} // namespace

void demand_meter::apply(const config::model& model, const model_map* change)
{
    auto before = std::exchange(this->services, {});
    this->services.resize(model.services.size());
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->services.at(id->index()) = std::move(before.at(index));
        }
    }
}

void demand_meter::count(service_id service, priority_level level)
{
    auto& rows = this->services.at(service.index());
    auto at = std::find_if(rows.begin(), rows.end(),
                           [&](const row& each) { return each.level >= level; });
    if (at == rows.end() || at->level != level) {
        at = rows.insert(at, row{level, 0, 0.0, 0.0});
    }
    ++at->arrived;
}

void demand_meter::tick(time_point now)
{
    const time_point before = this->last.value_or(now);
    const double elapsed = std::chrono::duration<double>(now - before).count();
    if (this->last && elapsed <= 0.0) {
        return;
    }
    this->last = now;
    if (elapsed <= 0.0) {
        return;
    }
    for (auto& rows : this->services) {
        for (row& each : rows) {
            const double sample = each.arrived / elapsed;
            follow(each.fast, sample, elapsed, fast_seconds);
            follow(each.slow, sample, elapsed, slow_seconds);
            each.arrived = 0;
        }
    }
}

std::vector<level_rate> demand_meter::rates(service_id service) const
{
    std::vector<level_rate> all;
    for (const row& each : this->services.at(service.index())) {
        const double rate = std::max(each.fast, each.slow);
        if (rate >= least_rate) {
            all.push_back({each.level, request_rate{rate}});
        }
    }
    return all;
}

request_rate demand_meter::total(service_id service) const
{
    request_rate sum;
    for (const level_rate& each : this->rates(service)) {
        sum += each.rate;
    }
    return sum;
}

double slots_needed(request_rate rate, duration service_time)
{
    const double offered = rate.value() * std::chrono::duration<double>(service_time).count();
    return offered + std::sqrt(offered);
}

std::vector<grant_demand> excess_demand(const std::vector<level_rate>& offered,
                                        duration service_time, std::uint32_t slots,
                                        request_rate rate)
{
    request_rate total;
    for (const level_rate& each : offered) {
        total += each.rate;
    }
    const double seconds = std::chrono::duration<double>(service_time).count();
    std::vector<grant_demand> out;
    if (offered.empty() || seconds <= 0.0) {
        return out;
    }
    double left = excess_slots(total, seconds, slots, rate);
    for (auto each = offered.rbegin(); each != offered.rend() && left > 0.0; ++each) {
        const double needed =
            std::ceil(slots_needed(each->rate * surge_factor, from_seconds(seconds)));
        const bool last = std::next(each) == offered.rend();
        const double part = last ? left : std::min(left, needed);
        left -= part;
        out.push_back(
            {each->level, request_rate{part / seconds}, static_cast<std::uint32_t>(part)});
    }
    std::reverse(out.begin(), out.end());
    return out;
}

} // namespace bth::steering
