#include "bth/route/model.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bth::route {

namespace {

// An objective this far above the timeout is a typing error: no answer can arrive that late.
constexpr duration max_objective_excess = std::chrono::minutes{1};

void check_split(const route& checked, const std::set<std::string>& service_names,
                 const source_place& place, findings& found)
{
    double sum = 0;
    for (const auto& part : checked.split) {
        if (!service_names.contains(part.service)) {
            found.add(place, "route \"" + checked.name + "\" names the unknown service \"" +
                                 part.service + "\"");
        }
        if (part.weight < 0) {
            found.add(place, "route \"" + checked.name + "\" has a negative weight");
        }
        sum += part.weight;
    }
    if (sum <= 0) {
        found.add(place, "the weights of route \"" + checked.name + "\" add up to 0");
    }
}

void check_times(const route& checked, const source_place& place, findings& found)
{
    if (checked.timeout <= duration{}) {
        found.add(place, "the timeout of route \"" + checked.name + "\" is 0");
    }
    if (checked.objective >= checked.timeout + max_objective_excess) {
        found.add(place, "the latency objective of route \"" + checked.name +
                             "\" is a minute or more above its timeout");
    }
}

} // namespace

findings check(const configuration& checked, const std::string& source_name)
{
    findings found;
    const source_place place{source_name, 0, 0};
    std::set<std::string> service_names;
    for (const auto& each : checked.services) {
        service_names.insert(each.name);
    }
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (const auto& each : checked.routes) {
        check_split(each, service_names, place, found);
        check_times(each, place, found);
        if (!hosts_and_prefixes.emplace(each.host, each.path_prefix).second) {
            found.add(place, "two routes share the host \"" + each.host + "\" and the prefix \"" +
                                 each.path_prefix + "\"");
        }
    }
    return found;
}

route_table::route_table(configuration config) : config{std::move(config)}
{
    for (std::size_t index = 0; index < this->config.routes.size(); ++index) {
        this->routes_by_host[this->config.routes[index].host].push_back(index);
    }
    for (auto& [host, indexes] : this->routes_by_host) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return this->config.routes[a].path_prefix.size() >
                   this->config.routes[b].path_prefix.size();
        });
    }
    for (std::size_t index = 0; index < this->config.services.size(); ++index) {
        this->services_by_name[this->config.services[index].name] = index;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = this->routes_by_host.find(host);
    if (found == this->routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(this->config.routes[index].path_prefix)) {
            return &this->config.routes[index];
        }
    }
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto found = this->services_by_name.find(name);
    return found == this->services_by_name.end() ? nullptr : &this->config.services[found->second];
}

} // namespace bth::route
