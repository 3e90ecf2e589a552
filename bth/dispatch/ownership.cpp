#include "bth/dispatch/ownership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

owner_selector::owner_selector(std::string own_name, std::string own_domain)
    : this_host{std::move(own_name), std::move(own_domain)}, hosts{this->this_host}
{}

void owner_selector::set_hosts(std::vector<owner_candidate> new_hosts)
{
    this->hosts = std::move(new_hosts);
    const bool contains_this_host =
        std::any_of(this->hosts.begin(), this->hosts.end(),
                    [this](const auto& host) { return host.name == this->this_host.name; });
    if (!contains_this_host) {
        this->hosts.push_back(this->this_host);
    }
}

const std::string&
owner_selector::owner_of(const target_info& target,
                         const std::function<bool(const std::string&)>& usable) const
{
    const auto seed = XXH64(target.id.data(), target.id.size(), 0);
    const owner_candidate* best = &this->this_host;
    std::tuple<bool, std::uint64_t> best_rank{false, 0};
    for (const auto& host : this->hosts) {
        if (host.name != this->this_host.name && !usable(host.name)) {
            continue;
        }
        const std::tuple<bool, std::uint64_t> rank{host.domain == target.domain,
                                                   XXH64(host.name.data(), host.name.size(), seed)};
        if (rank > best_rank) {
            best_rank = rank;
            best = &host;
        }
    }
    return best->name;
}

} // namespace bth::dispatch
