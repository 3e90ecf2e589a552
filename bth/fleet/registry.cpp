#include "bth/fleet/registry.h"

#include <algorithm>

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

std::vector<endpoint> entry_host_registry::resolve(std::string_view region, time_point now) const
{
    std::vector<endpoint> in_region;
    std::vector<endpoint> all;
    for (const auto& each : this->in_service(now)) {
        if (!each.ready) {
            continue;
        }
        all.push_back(each.caller_endpoint);
        const auto host_region = this->regions.find(each.domain);
        if (host_region != this->regions.end() && host_region->second == region) {
            in_region.push_back(each.caller_endpoint);
        }
    }
    return in_region.empty() ? all : in_region;
}

} // namespace bth::fleet
