#include "bth/fleet/relay_hosts.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string_view>
#include <tuple>

#include <xxhash.h>

namespace bth::fleet {

std::vector<relay_host> select_relay_hosts(const entry_host& recipient,
                                           const std::vector<entry_host>& in_service,
                                           const dispatch::domain_regions& regions)
{
    const auto region_of = [&](const std::string& domain) {
        const auto found = regions.find(domain);
        return found == regions.end() ? std::string_view{} : std::string_view{found->second};
    };
    const auto seed = XXH64(recipient.name.data(), recipient.name.size(), 0);
    using ranked_host = std::tuple<bool, std::uint64_t, const entry_host*>;
    std::vector<ranked_host> ranked;
    for (const auto& each : in_service) {
        if (each.ready && each.reaches_targets && each.name != recipient.name) {
            ranked.emplace_back(region_of(each.domain) == region_of(recipient.domain),
                                XXH64(each.name.data(), each.name.size(), seed), &each);
        }
    }
    const auto count = std::min(max_relay_hosts, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>{});
    std::vector<relay_host> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto* selected = std::get<const entry_host*>(ranked[i]);
        out.push_back({selected->name, selected->domain});
    }
    return out;
}

} // namespace bth::fleet
