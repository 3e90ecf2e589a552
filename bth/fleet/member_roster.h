// Tells the leader of the control hosts which members of the group were replaced by others, from
// the failure domains that the group has recorded and the members that are connected. A member that
// is gone for good counts towards the majority until it is removed.
//
//   member_roster roster{all_domains};
//   roster.record_contact(now, members, is_connected);
//   if (auto host = roster.find_replaced(now, members)) { remove(*host); }
#pragma once

#include "bth/base/time.h"
#include "bth/consensus/types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace bth::fleet {

// Returns the domains that members state and the group hasn't recorded, by host. `stated` holds the
// domain of each host that was heard.
std::map<std::string, std::string>
unrecorded_domains(const consensus::configuration& members,
                   const std::map<std::string, std::string>& stated);

class member_roster {
public:
    // `all_domains`: the failure domains in which control hosts may be.
    explicit member_roster(std::set<std::string> all_domains) : all_domains{std::move(all_domains)}
    {}

    // Notes which members are connected to the leader now.
    void record_contact(time_point now, const consensus::configuration& members,
                        const std::function<bool(const std::string& host)>& is_connected);
    // Forgets all contacts, on a host that doesn't lead.
    void reset();
    // Counts a member's silence from the next contact on, so that it isn't found again at once.
    void forget(const std::string& host);

    // Returns a member that has been disconnected for so long that another one, a connected voter
    // in its failure domain, replaced it. A member whose domain isn't recorded counts as replaced
    // if every domain that it may be in has such a voter.
    std::optional<std::string> find_replaced(time_point now,
                                             const consensus::configuration& members) const;

private:
    // Returns whether a connected voter has replaced the member in this domain.
    bool is_replaced_in(const std::string& domain, const consensus::member_id& member,
                        duration silence, const consensus::configuration& members) const;

    std::set<std::string> all_domains;
    // When each member was last connected, or first seen.
    std::map<std::string, time_point> last_connected;
    std::set<std::string> connected;
};

} // namespace bth::fleet
