#include "bth/route/model.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bth::route {

namespace {

// An objective this far above the timeout is a slip of the pen: no answer could come that late.
constexpr duration most_objective_excess = std::chrono::minutes{1};

void check_split(const route& each, const std::set<std::string>& known, const source_place& place,
                 findings& found)
{
    double sum = 0;
    for (const auto& part : each.split) {
        if (!known.contains(part.service)) {
            found.add(place, "route \"" + each.name + "\" names the unknown service \"" +
                                 part.service + "\"");
        }
        if (part.weight < 0) {
            found.add(place, "route \"" + each.name + "\" has a negative weight");
        }
        sum += part.weight;
    }
    if (sum <= 0) {
        found.add(place, "the weights of route \"" + each.name + "\" add up to 0");
    }
}

void check_times(const route& each, const source_place& place, findings& found)
{
    if (each.timeout <= duration{}) {
        found.add(place, "the timeout of route \"" + each.name + "\" is 0");
    }
    if (each.objective >= each.timeout + most_objective_excess) {
        found.add(place, "the latency objective of route \"" + each.name +
                             "\" is a minute or more above its timeout");
    }
}

} // namespace

findings check(const configuration& what, const std::string& source)
{
    findings found;
    const source_place place{source, 0, 0};
    std::set<std::string> known;
    for (const auto& each : what.services) {
        known.insert(each.name);
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& each : what.routes) {
        check_split(each, known, place, found);
        check_times(each, place, found);
        if (!places.emplace(each.host, each.path_prefix).second) {
            found.add(place, "two routes share the host \"" + each.host + "\" and the prefix \"" +
                                 each.path_prefix + "\"");
        }
    }
    return found;
}

route_table::route_table(configuration from) : from{std::move(from)}
{
    for (std::size_t row = 0; row < this->from.routes.size(); ++row) {
        this->by_host[this->from.routes[row].host].push_back(row);
    }
    for (auto& [host, rows] : this->by_host) {
        std::stable_sort(rows.begin(), rows.end(), [this](std::size_t a, std::size_t b) {
            return this->from.routes[a].path_prefix.size() >
                   this->from.routes[b].path_prefix.size();
        });
    }
    for (std::size_t row = 0; row < this->from.services.size(); ++row) {
        this->services[this->from.services[row].name] = row;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto rows = this->by_host.find(host);
    if (rows == this->by_host.end()) {
        return nullptr;
    }
    for (const std::size_t row : rows->second) {
        if (path.starts_with(this->from.routes[row].path_prefix)) {
            return &this->from.routes[row];
        }
    }
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto row = this->services.find(name);
    return row == this->services.end() ? nullptr : &this->from.services[row->second];
}

} // namespace bth::route
