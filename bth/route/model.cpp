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

// Names the customers, and never a key.
void check_customers(const std::vector<customer>& customers, const source_place& place,
                     findings& found)
{
    std::map<std::string_view, std::string_view> customers_by_key;
    for (const auto& each : customers) {
        for (const auto& key : each.access_keys) {
            const auto [other, is_new] = customers_by_key.emplace(key, each.name);
            if (!is_new && other->second != each.name) {
                found.add(place, "the customers \"" + std::string{other->second} + "\" and \"" +
                                     each.name + "\" share a key");
            }
            if (key.empty()) {
                found.add(place, "customer \"" + each.name + "\" has an empty key");
            }
        }
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
    if (checked.customers) {
        check_customers(*checked.customers, place, found);
    }
    return found;
}

route_table::route_table(configuration config) : config{std::move(config)}
{
    for (std::size_t index = 0; index < this->config.routes.size(); ++index) {
        this->routes_by_host[this->config.routes[index].host].push_back(index);
        this->levels = std::max(this->levels, this->config.routes[index].priority + 1);
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
