// The entry hosts of a region, as one of them knows them from its control host.
//
//   neighbour_table table;
//   table.record_reported(reported_hosts);
//   if (table.apply_reported(in_contact)) { use(table.hosts()); }
//   table.record_use(now, "10.1.0.7");
//   connect_to(table.hosts_to_connect(now));
//
// A control host without a leader knows only some of the entry hosts, so the hosts that it reports
// are applied only once it is in contact with the other control hosts.
//
// Hosts are connected when they are needed, and for a while after. A region may have a hundred
// entry hosts, of which each forwards requests to few: connections among all of them would cost
// each host more processor time and memory the more hosts there are, most of all when all of them
// start.
#pragma once

#include "bth/fleet/messages.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bth::fleet {

class neighbour_table {
public:
    // Discards the hosts that the previous control host reported, after a change to another one.
    void discard_reported() { this->reported.reset(); }

    // Stores the hosts of an update until apply_reported() applies them.
    void record_reported(std::vector<entry_host> rows) { this->reported = std::move(rows); }

    // Applies the hosts reported last if the control host is in contact or no hosts are known yet.
    // Returns whether the known hosts changed.
    bool apply_reported(bool in_contact)
    {
        const bool may_apply = in_contact || this->current.empty();
        if (!this->reported || !may_apply || *this->reported == this->current) {
            return false;
        }
        this->current = *this->reported;
        return true;
    }

    const std::vector<entry_host>& hosts() const { return this->current; }

    // Records that a connection to a host is needed, or that a message went over it.
    void record_use(time_point now, const std::string& name) { this->last_used_at[name] = now; }

    // Returns the names of the hosts to stay connected to, ordered.
    std::vector<std::string> hosts_to_connect(time_point now)
    {
        // While a forwarded request is in flight, messages go over its connection several times a
        // second. The rest keeps connections for the next burst of requests to cold targets.
        constexpr std::chrono::seconds connection_retention{15};
        std::erase_if(this->last_used_at, [oldest = now - connection_retention](const auto& each) {
            return each.second < oldest;
        });
        std::vector<std::string> out;
        out.reserve(this->last_used_at.size());
        for (const auto& [name, used_at] : this->last_used_at) {
            out.push_back(name);
        }
        return out;
    }

private:
    std::optional<std::vector<entry_host>> reported;
    std::vector<entry_host> current;
    std::map<std::string, time_point> last_used_at;
};

} // namespace bth::fleet
