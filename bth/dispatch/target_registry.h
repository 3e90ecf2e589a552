// The targets that are known to this host, and which of them may receive requests.
//
//   target_registry registry{regions};
//   registry.apply(now, changed, removed_ids, false);
//   registry.set_evacuated(now, {"north-2"}, cold_time);
//   for (const auto& target : registry.targets_of_service("orders")) { ... }
#pragma once

#include "bth/dispatch/target.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bth::dispatch {

using target_ptr = std::shared_ptr<target>;

// The region of each failure domain.
using domain_regions = std::map<std::string, std::string, std::less<>>;

class target_registry {
public:
    explicit target_registry(domain_regions regions) : regions{std::move(regions)} {}

    // Applies an update of the platform's target list: adds or updates the `changed` targets and
    // removes those whose ids are in `removed`. If `is_full_list`, targets that are not in
    // `changed` are removed as well.
    void apply(time_point now, const std::vector<target_info>& changed,
               const std::vector<std::string>& removed, bool is_full_list);

    // Replaces the set of evacuated failure domains, whose targets get no requests. The targets of
    // a domain that leaves the set may have become cold: they are treated as cold for `cold_time`.
    void set_evacuated(time_point now, const std::set<std::string>& domains, duration cold_time);

    const std::set<std::string, std::less<>>& evacuated_domains() const { return this->evacuated; }

    // Returns the targets of a service; empty if the service is unknown.
    const std::vector<target_ptr>& targets_of_service(std::string_view service) const;
    // Forgets the failures of all targets; see target::forget_failures().
    void forget_failures();
    // Returns the target with that id, or null.
    target_ptr find(std::string_view id) const;
    // Returns whether new requests may be sent to the target: it is still listed, leaves neither by
    // the list nor by its own word, and its failure domain is not evacuated.
    bool may_serve(const target& candidate) const
    {
        return this->is_listed_in_service(candidate) && !candidate.leaving_since();
    }
    // Returns whether new requests may be sent to the target although it said in an answer that it
    // leaves: that was at most `grace` ago, and the list doesn't say so yet.
    bool may_serve_while_leaving(const target& candidate, time_point now, duration grace) const
    {
        return this->is_listed_in_service(candidate) && candidate.leaving_since() &&
               now - *candidate.leaving_since() <= grace;
    }
    // Returns the region of a failure domain; empty if the domain is unknown.
    std::string_view region_of(std::string_view domain) const;
    std::size_t size() const { return this->by_id.size(); }
    // Returns the ids of all targets.
    std::vector<std::string> ids() const;

private:
    bool is_listed_in_service(const target& candidate) const;
    void remove_target(const std::string& id);

    domain_regions regions;
    std::set<std::string, std::less<>> evacuated;
    std::map<std::string, target_ptr, std::less<>> by_id;
    std::map<std::string, std::vector<target_ptr>, std::less<>> by_service;
};

} // namespace bth::dispatch
