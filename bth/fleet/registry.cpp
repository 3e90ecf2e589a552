#include "bth/fleet/registry.h"

#include <algorithm>

namespace bth::fleet {

namespace {

// Control hosts relay once a second: three lost relays in a row are no chance.
constexpr std::chrono::milliseconds forgotten_after{3000};

} // namespace

void host_registry::take(const std::string& source, const std::vector<entry_host>& rows,
                         time_point now)
{
    auto& known = this->sources[source];
    known.clear();
    for (const auto& each : rows) {
        known.push_back({each, now - each.age});
    }
}

std::vector<entry_host> host_registry::in_service(time_point now) const
{
    std::map<std::string, const heard_host*> newest;
    for (const auto& [source, rows] : this->sources) {
        for (const auto& each : rows) {
            if (each.heard + forgotten_after < now) {
                continue;
            }
            auto& best = newest[each.host.name];
            if (best == nullptr || each.heard > best->heard) {
                best = &each;
            }
        }
    }
    std::vector<entry_host> out;
    out.reserve(newest.size());
    for (const auto& [name, each] : newest) {
        out.push_back(each->host);
        out.back().age = now - each->heard;
    }
    return out;
}

std::vector<endpoint> host_registry::resolve(std::string_view region, time_point now) const
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (const auto& each : this->in_service(now)) {
        if (!each.ready) {
            continue;
        }
        all.push_back(each.where);
        const auto home = this->regions.find(each.domain);
        if (home != this->regions.end() && home->second == region) {
            near.push_back(each.where);
        }
    }
    return near.empty() ? all : near;
}

} // namespace bth::fleet
