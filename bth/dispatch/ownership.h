// Selects which host of a region sends to a target. Each target has one owner, so that its slots,
// its queue and its failures are known in one place, and few connections lead to it.
//
//   owner_selector selector{"10.1.0.13", "north-1"};
//   selector.set_hosts(hosts_of_the_region);
//   const std::string& owner = selector.owner_of(target, is_usable);
//
// This serves a fleet of many hosts that each handle a small part of a target's requests. Without
// an owner, each host would assume that slots are free which other hosts have filled, and would
// have to see failures of its own before it avoids a broken target.
#pragma once

#include "bth/dispatch/target.h"

#include <functional>
#include <string>
#include <vector>

namespace bth::dispatch {

struct owner_candidate {
    std::string name;
    std::string domain;
};

class owner_selector {
public:
    owner_selector(std::string own_name, std::string own_domain);

    // Replaces the hosts of the region that may own targets. This host is always one of them and is
    // added if `hosts` doesn't contain it.
    void set_hosts(std::vector<owner_candidate> hosts);
    std::size_t host_count() const { return this->hosts.size(); }

    // Returns the name of a target's owner: a host of the target's failure domain if one is usable,
    // else any usable host of the region (rendezvous hashing, Thaler and Ravishankar 1998).
    // `usable` returns whether another host, given by its name, can be reached.
    const std::string& owner_of(const target_info& target,
                                const std::function<bool(const std::string&)>& usable) const;

    const std::string& own_name() const { return this->this_host.name; }

private:
    owner_candidate this_host;
    std::vector<owner_candidate> hosts;
};

} // namespace bth::dispatch
