// Which host of a region sends to a target: one owner for each, so that its slots, its queue and
// its failures are known at one place, and few connections lead to it.
//
//   target_owners owners{"10.1.0.13", "north-1"};
//   owners.set_hosts(hosts_of_the_region);
//   const std::string& owner = owners.owner_of(target);
//
// The load pattern this answers: many hosts that each see a small part of a target's requests. Each
// alone would find its slots free that the others have filled, and would have to fail by itself
// before it avoids a broken target.
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

class target_owners {
public:
    target_owners(std::string own_name, std::string own_domain);

    // The hosts of the region that may own targets; this host is one of them whether named or not.
    void set_hosts(std::vector<owner_candidate> hosts);
    std::size_t host_count() const { return this->hosts.size(); }

    // The owner of a target: a host of the target's failure domain if one is usable, else any of
    // the region (rendezvous hashing, Thaler and Ravishankar 1998). `usable` tells whether another
    // host can be reached.
    const std::string& owner_of(const target_facts& target,
                                const std::function<bool(const std::string&)>& usable) const;

    const std::string& own_name() const { return this->own.name; }

private:
    owner_candidate own;
    std::vector<owner_candidate> hosts;
};

} // namespace bth::dispatch
