// The targets that this host knows, and which of them may get work.
//
//   target_board board{"north", domains};
//   board.apply(now, changed_rows, removed_ids);
//   board.set_evacuated(now, {"north-2"}, cold_time);
//   for (const auto& row : board.of_service("orders")) { ... }
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

class target_board {
public:
    explicit target_board(domain_regions regions) : regions{std::move(regions)} {}

    // Takes rows of a list. With `whole`, targets that it doesn't name are gone.
    void apply(time_point now, const std::vector<target_facts>& changed,
               const std::vector<std::string>& removed, bool whole);

    // Sets the failure domains whose targets get nothing. Targets of a domain that is taken back
    // may have become cold: they are treated so for `cold_time`.
    void set_evacuated(time_point now, const std::set<std::string>& domains, duration cold_time);

    const std::set<std::string, std::less<>>& evacuated_domains() const { return this->evacuated; }

    const std::vector<target_ptr>& of_service(std::string_view service) const;
    // The target with that id, or null.
    target_ptr find(std::string_view id) const;
    // Whether new work may go to the target at all.
    bool may_serve(const target& row) const;
    // The region of a failure domain; empty if it is unknown.
    std::string_view region_of(std::string_view domain) const;
    std::size_t size() const { return this->by_id.size(); }

private:
    void drop(const std::string& id);

    domain_regions regions;
    std::set<std::string, std::less<>> evacuated;
    std::map<std::string, target_ptr, std::less<>> by_id;
    std::map<std::string, std::vector<target_ptr>, std::less<>> by_service;
};

} // namespace bth::dispatch
