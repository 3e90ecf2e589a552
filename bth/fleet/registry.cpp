#include "bth/fleet/registry.h"

#include <algorithm>
#include <set>

namespace bth::fleet {

namespace {

// Control hosts send relays once a second. Three in a row are too many to be delayed or
// lost by chance.
constexpr std::chrono::milliseconds silence_timeout{3000};

} // namespace

void entry_host_registry::record_hosts(const std::string& source,
                                       const std::vector<entry_host>& rows, time_point now)
{
    auto& hosts = this->hosts_by_source[source];
    hosts.clear();
    for (const auto& each : rows) {
        hosts.push_back({each, now - each.age});
    }
}

std::vector<entry_host> entry_host_registry::in_service(time_point now) const
{
    std::map<std::string, const seen_host*> newest;
    for (const auto& [source, rows] : this->hosts_by_source) {
        for (const auto& each : rows) {
            if (each.last_seen + silence_timeout < now) {
                continue;
            }
            auto& latest = newest[each.host.name];
            if (latest == nullptr || each.last_seen > latest->last_seen) {
                latest = &each;
            }
        }
    }
    std::vector<entry_host> out;
    out.reserve(newest.size());
    for (const auto& [name, each] : newest) {
        out.push_back(each->host);
        out.back().age = now - each->last_seen;
    }
    return out;
}

std::vector<endpoint> entry_host_registry::resolve(std::string_view region, time_point now,
                                                   std::size_t limit, std::size_t turn) const
{
    std::vector<endpoint> in_region;
    std::vector<endpoint> cut_off;
    std::vector<endpoint> elsewhere;
    for (const auto& each : this->in_service(now)) {
        if (each.ready) {
            const auto host_region = this->regions.find(each.domain);
            const bool is_local =
                host_region != this->regions.end() && host_region->second == region;
            auto& local = each.reaches_targets ? in_region : cut_off;
            (is_local ? local : elsewhere).push_back(each.caller_endpoint);
        }
    }
    // Hosts that are cut off still serve, through others. If most are, the rest of the region
    // couldn't take all callers.
    if (cut_off.size() > in_region.size()) {
        in_region.insert(in_region.end(), cut_off.begin(), cut_off.end());
    }
    const auto part = (in_region.size() + elsewhere.size()) / this->region_count();
    const auto first = [turn](const std::vector<endpoint>& hosts, std::size_t count,
                              std::vector<endpoint>& out) {
        for (std::size_t i = 0; i < std::min(count, hosts.size()); ++i) {
            out.push_back(hosts[(turn + i) % hosts.size()]);
        }
    };
    std::vector<endpoint> out;
    first(in_region, limit, out);
    if (in_region.empty()) {
        first(elsewhere, limit, out);
    }
    else if (in_region.size() * 2 < part) {
        first(elsewhere, std::min(part, limit) - std::min(in_region.size(), limit), out);
    }
    return out;
}

std::size_t entry_host_registry::region_count() const
{
    std::set<std::string_view> names;
    for (const auto& [domain, region] : this->regions) {
        names.insert(region);
    }
    return std::max<std::size_t>(names.size(), 1);
}

} // namespace bth::fleet
