#include "bth/bench/best_assignment.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <set>
#include <utility>

namespace bth::bench {

namespace {

using matrix = std::vector<std::vector<double>>;

constexpr double negligible = 1e-9;

// The state of a plan at one instant, as far as the bound looks at it.
struct fluid_state {
    std::vector<double> load;
    std::vector<bool> down;
    std::vector<bool> drained;
    std::vector<bool> target_down;
    std::vector<double> slowdown;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
};

void apply_change(fluid_state& state, const change& what)
{
    const auto other = static_cast<std::uint32_t>(std::max(what.value, 0.0));
    switch (what.kind) {
    case change_kind::domain_load:
        state.load[what.subject] = what.value;
        return;
    case change_kind::domain_down:
        state.down[what.subject] = true;
        return;
    case change_kind::domain_up:
        state.down[what.subject] = false;
        return;
    case change_kind::drain_domain:
        state.drained[what.subject] = true;
        return;
    case change_kind::target_kill:
        state.target_down[what.subject] = true;
        return;
    case change_kind::target_start:
        state.target_down[what.subject] = false;
        return;
    case change_kind::target_slowdown:
        state.slowdown[what.subject] = what.value;
        return;
    case change_kind::regions_cut:
        state.cuts.insert(std::minmax(what.subject, other));
        return;
    case change_kind::regions_heal:
        state.cuts.erase(std::minmax(what.subject, other));
        return;
    default:
        return;
    }
}

fluid_state state_at(const config::model& model, const run_plan& plan, duration at)
{
    const std::size_t domains = model.domains.size();
    const std::size_t targets = model.targets.size();
    fluid_state state{std::vector<double>(domains, plan.load),
                      std::vector<bool>(domains),
                      std::vector<bool>(domains),
                      std::vector<bool>(targets),
                      std::vector<double>(targets, 1.0),
                      {}};
    std::vector<change> changes = plan.changes;
    std::stable_sort(changes.begin(), changes.end(),
                     [](const change& a, const change& b) { return a.at < b.at; });
    for (const change& each : changes) {
        if (each.at <= at) {
            apply_change(state, each);
        }
    }
    return state;
}

// A slot is used again when its host has heard of the answer and the next request has arrived.
double capacity_at(const site& place, const fluid_state& state, std::size_t domain,
                   service_id service)
{
    const config::model& model = *place.model;
    if (state.down[domain] || state.drained[domain]) {
        return 0;
    }
    constexpr double microseconds_per_second = 1e6;
    const auto time = static_cast<double>(model.at(service).service_time.count());
    const double between =
        std::chrono::duration<double, std::micro>(2 * place.delay.within_domain).count();
    double sum = 0;
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        const config::target& row = model.targets[index];
        if (row.service == service && row.domain.index() == domain && !state.target_down[index]) {
            sum += row.slots * microseconds_per_second / (time * state.slowdown[index] + between);
        }
    }
    return sum;
}

// Augments along shortest paths until there is none (Edmonds and Karp).
double maximum_flow(matrix room, std::size_t from, std::size_t to)
{
    double total = 0;
    for (;;) {
        std::vector<std::optional<std::size_t>> before(room.size());
        std::queue<std::size_t> open;
        open.push(from);
        before[from] = from;
        while (!open.empty() && !before[to]) {
            const std::size_t at = open.front();
            open.pop();
            for (std::size_t next = 0; next < room.size(); ++next) {
                if (!before[next] && room[at][next] > negligible) {
                    before[next] = at;
                    open.push(next);
                }
            }
        }
        if (!before[to]) {
            return total;
        }
        double least = room[*before[to]][to];
        for (std::size_t at = to; at != from; at = *before[at]) {
            least = std::min(least, room[*before[at]][at]);
        }
        for (std::size_t at = to; at != from; at = *before[at]) {
            room[*before[at]][at] -= least;
            room[at][*before[at]] += least;
        }
        total += least;
    }
}

bool may_serve(const config::model& model, const fluid_state& state, std::size_t home,
               domain_id other)
{
    const std::uint32_t first = model.domains[home].region.value();
    const std::uint32_t second = model.at(other).region.value();
    return !state.cuts.contains(std::minmax(first, second));
}

// What the fallbacks can take over of what is left at home.
double movable(const config::model& model, const fluid_state& state,
               const std::vector<double>& left, const std::vector<double>& spare)
{
    const std::size_t domains = left.size();
    const std::size_t source = 2 * domains;
    const std::size_t sink = source + 1;
    matrix room(sink + 1, std::vector<double>(sink + 1));
    for (std::size_t home = 0; home < domains; ++home) {
        room[source][home] = left[home];
        room[domains + home][sink] = spare[home];
        for (const domain_id other : model.domains[home].fallbacks) {
            if (may_serve(model, state, home, other)) {
                room[home][domains + other.index()] = left[home];
            }
        }
    }
    return maximum_flow(std::move(room), source, sink);
}

struct served_sum {
    double offered{};
    double served{};
};

// Solves one service; `calls` are its dependants' calls by domain, which come first.
served_sum solve(const site& place, const fluid_state& state, service_id service,
                 const std::vector<double>& calls, double windows, std::vector<double>& load_at)
{
    const config::model& model = *place.model;
    const std::size_t domains = model.domains.size();
    std::vector<double> left(domains);
    std::vector<double> spare(domains);
    served_sum sum;
    double traffic = 0;
    for (std::size_t home = 0; home < domains; ++home) {
        const auto id = domain_id::from_index(home);
        const double offered = full_load(model, id, service).value() * state.load[home];
        const double free = std::max(0.0, capacity_at(place, state, home, service) - calls[home]);
        const double stays = std::min(offered, free);
        sum.offered += offered;
        sum.served += stays;
        traffic += offered + calls[home];
        left[home] = offered - stays;
        spare[home] = free - stays;
        load_at[home] = stays;
    }
    const double cap = model.at(service).shift.part.value() * traffic * windows;
    sum.served += std::min(cap, movable(model, state, left, spare));
    return sum;
}

// Dependants before what they depend on.
std::vector<service_id> dependants_first(const config::model& model)
{
    std::vector<service_id> order;
    std::vector<service_id> rest;
    for (std::size_t index = 0; index < model.services.size(); ++index) {
        const bool dependant = !model.services[index].depends_on.empty();
        (dependant ? order : rest).push_back(service_id::from_index(index));
    }
    order.insert(order.end(), rest.begin(), rest.end());
    return order;
}

served_sum solve_second(const site& place, const fluid_state& state, double windows)
{
    const config::model& model = *place.model;
    const std::size_t domains = model.domains.size();
    matrix calls(model.services.size(), std::vector<double>(domains));
    served_sum total;
    for (const service_id service : dependants_first(model)) {
        std::vector<double> load_at(domains);
        const served_sum part =
            solve(place, state, service, calls[service.index()], windows, load_at);
        total.offered += part.offered;
        total.served += part.served;
        for (const config::dependency& each : model.at(service).depends_on) {
            for (std::size_t home = 0; home < domains; ++home) {
                calls[each.service.index()][home] += load_at[home] * each.fan_out;
            }
        }
    }
    return total;
}

} // namespace

double best_served_part(const site& place, const run_plan& plan)
{
    const config::model& model = *place.model;
    duration first_change = plan.length;
    for (const change& each : plan.changes) {
        first_change = std::min(first_change, each.at);
    }
    served_sum total;
    for (duration at = plan.warm_up; at < plan.length; at += std::chrono::seconds{1}) {
        const double since =
            std::max(0.0, std::chrono::duration<double>(at - first_change).count());
        const double windows =
            1.0 + std::floor(since / std::chrono::duration<double>(bench_shift_window).count());
        const served_sum second = solve_second(place, state_at(model, plan, at), windows);
        total.offered += second.offered;
        total.served += second.served;
    }
    return total.offered == 0 ? 1.0 : total.served / total.offered;
}

} // namespace bth::bench
