#include "bth/dispatch/ownership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

target_owners::target_owners(std::string own_name, std::string own_domain)
    : own{std::move(own_name), std::move(own_domain)}, hosts{this->own}
{}

void target_owners::set_hosts(std::vector<owner_candidate> next)
{
    this->hosts = std::move(next);
    const bool named =
        std::any_of(this->hosts.begin(), this->hosts.end(),
                    [this](const auto& each) { return each.name == this->own.name; });
    if (!named) {
        this->hosts.push_back(this->own);
    }
}

const std::string&
target_owners::owner_of(const target_facts& target,
                        const std::function<bool(const std::string&)>& usable) const
{
    const auto seed = XXH64(target.id.data(), target.id.size(), 0);
    const owner_candidate* best = &this->own;
    std::tuple<bool, std::uint64_t> best_rank{false, 0};
    for (const auto& each : this->hosts) {
        if (each.name != this->own.name && !usable(each.name)) {
            continue;
        }
        const std::tuple<bool, std::uint64_t> rank{each.domain == target.domain,
                                                   XXH64(each.name.data(), each.name.size(), seed)};
        if (rank > best_rank) {
            best_rank = rank;
            best = &each;
        }
    }
    return best->name;
}

} // namespace bth::dispatch
