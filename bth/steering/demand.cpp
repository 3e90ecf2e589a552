#include "bth/steering/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bth::steering {

namespace {

// Time constants of the two moving averages. The larger average is reported, so that the rate rises
// with the fast one and decays with the slow one.
constexpr double fast_time_constant_seconds = 0.15;
constexpr double slow_time_constant_seconds = 2.0;
// Factor by which requested capacity exceeds the current need, as headroom for a surge.
constexpr double surge_factor = 1.25;
// Share of the own slots that the callers must need for a grant of at least one slot to be
// requested all the time.
constexpr double standing_grant_share = 0.5;
// Requests per second below which a level counts as idle.
constexpr double min_rate = 0.05;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// Updates an exponential moving average with a sample that covers `elapsed` seconds.
void update_average(double& average, double sample, double elapsed, double time_constant)
{
    average += (sample - average) * (1.0 - std::exp(-elapsed / time_constant));
}

// Returns the slots to request from other domains for the total offered rate; `seconds` is the
// service time.
double excess_slots(request_rate total, double seconds, std::uint32_t slots, request_rate rate)
{
    const double needed = required_slots(total, from_seconds(seconds));
    const double excess_by_slots = needed * surge_factor - slots;
    const double excess_by_rate = (total.value() * surge_factor - rate.value()) * seconds;
    const double standing_grant = needed >= standing_grant_share * slots ? 1.0 : 0.0;
    return std::ceil(std::max({excess_by_slots, excess_by_rate, standing_grant}));
}

} // namespace

void demand_meter::apply(const config::model& model, const model_map* change)
{
    auto previous = std::exchange(this->services, {});
    this->services.resize(model.services.size());
    for (std::size_t index = 0; change != nullptr && index < previous.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->services.at(id->index()) = std::move(previous.at(index));
        }
    }
}

void demand_meter::count(service_id service, priority_level level)
{
    auto& levels = this->services.at(service.index());
    auto found = std::find_if(levels.begin(), levels.end(),
                              [&](const level_averages& each) { return each.level >= level; });
    if (found == levels.end() || found->level != level) {
        found = levels.insert(found, level_averages{level, 0, 0.0, 0.0});
    }
    ++found->arrivals;
}

void demand_meter::tick(time_point now)
{
    const time_point sample_start = this->last_tick.value_or(now);
    const double elapsed = std::chrono::duration<double>(now - sample_start).count();
    if (this->last_tick && elapsed <= 0.0) {
        return;
    }
    this->last_tick = now;
    if (elapsed <= 0.0) {
        return;
    }
    for (auto& levels : this->services) {
        for (level_averages& each : levels) {
            const double sample = each.arrivals / elapsed;
            update_average(each.fast_average, sample, elapsed, fast_time_constant_seconds);
            update_average(each.slow_average, sample, elapsed, slow_time_constant_seconds);
            each.arrivals = 0;
        }
    }
}

std::vector<priority_rate> demand_meter::rates(service_id service) const
{
    std::vector<priority_rate> active;
    for (const level_averages& each : this->services.at(service.index())) {
        const double rate = std::max(each.fast_average, each.slow_average);
        if (rate >= min_rate) {
            active.push_back({each.level, request_rate{rate}});
        }
    }
    return active;
}

request_rate demand_meter::total_rate(service_id service) const
{
    request_rate sum;
    for (const priority_rate& each : this->rates(service)) {
        sum += each.rate;
    }
    return sum;
}

double required_slots(request_rate rate, duration service_time)
{
    const double offered = rate.value() * std::chrono::duration<double>(service_time).count();
    return offered + std::sqrt(offered);
}

std::vector<grant_demand> excess_demand(const std::vector<priority_rate>& offered,
                                        duration service_time, std::uint32_t slots,
                                        request_rate rate)
{
    request_rate total;
    for (const priority_rate& each : offered) {
        total += each.rate;
    }
    const double seconds = std::chrono::duration<double>(service_time).count();
    std::vector<grant_demand> demands;
    if (offered.empty() || seconds <= 0.0) {
        return demands;
    }
    double remaining_slots = excess_slots(total, seconds, slots, rate);
    for (auto each = offered.rbegin(); each != offered.rend() && remaining_slots > 0.0; ++each) {
        const double needed =
            std::ceil(required_slots(each->rate * surge_factor, from_seconds(seconds)));
        const bool is_most_urgent = std::next(each) == offered.rend();
        const double level_slots =
            is_most_urgent ? remaining_slots : std::min(remaining_slots, needed);
        remaining_slots -= level_slots;
        demands.push_back({each->level, request_rate{level_slots / seconds},
                           static_cast<std::uint32_t>(level_slots)});
    }
    std::reverse(demands.begin(), demands.end());
    return demands;
}

} // namespace bth::steering
