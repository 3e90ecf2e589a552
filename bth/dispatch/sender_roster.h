// Selects which hosts of a region send to a target that accepts only few requests from all hosts
// together, such as a cold one. Each such target has a few senders, each with a fixed part of what
// the target accepts; the other hosts forward their requests to one of them.
//
//   sender_roster roster{"10.1.0.13", "north-1"};
//   roster.record_hosts(now, hosts_of_the_region);
//   roster.record_contact(now);
//   if (roster.is_sender(now, target, 3)) { ... }
//
// The hosts don't have to agree on which hosts there are at any moment. A control host that lost
// its connections reports only some of them, so every host that was reported lately keeps its place
// among the senders: a shorter report makes no host a sender. A longer one may: a host that has
// just started sends only after all others have heard of it, and a host that hears of no news stops
// before that.
#pragma once

#include "bth/dispatch/target.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bth::dispatch {

struct roster_host {
    std::string name;
    std::string domain;
    // Whether the host takes requests now.
    bool ready{true};
    // Whether it reaches targets.
    bool reaches_targets{true};
};

class sender_roster {
public:
    // How long a host keeps its place after the last report that names it.
    static constexpr std::chrono::seconds retention{20};
    // How long this host may send after the last word of a control host in contact.
    static constexpr std::chrono::seconds contact_validity{2};
    // How long this host must have been in contact before it sends. Within that time less
    // `contact_validity`, a new host is reported to all others: by a relay between control hosts
    // and a report to each entry host, both a second apart.
    static constexpr std::chrono::seconds settling_time{6};

    // This host is always in the roster.
    sender_roster(std::string own_name, std::string own_domain);

    // Records the hosts of the region that a control host reports.
    void record_hosts(time_point now, const std::vector<roster_host>& reported);
    // Records word of a control host that is in contact with the others.
    void record_contact(time_point now);

    // Returns whether a control host in contact with the others has been heard lately.
    bool is_in_contact(time_point now) const
    {
        return this->had_contact && now - this->last_contact_at <= contact_validity;
    }

    // Returns the names of the senders of a target, at most `count`: hosts of the target's failure
    // domain before others (rendezvous hashing, Thaler and Ravishankar 1998).
    std::vector<std::string_view> senders_of(time_point now, const target_info& target,
                                             std::size_t count) const;
    // Returns whether this host is among the senders of a target of its region and may send now.
    bool is_sender(time_point now, const target_info& target, std::size_t count) const;
    // Returns whether a host takes requests and reaches targets, by the latest report that names
    // it.
    bool is_ready(std::string_view host) const;
    // Returns the other hosts that do, with their failure domains.
    std::vector<roster_host> ready_hosts() const;
    // Returns the number of hosts in the roster that take requests.
    std::size_t ready_host_count(time_point now) const;

    const std::string& own_name() const { return this->name; }

private:
    struct row {
        std::string domain;
        bool ready{true};
        bool reaches_targets{true};
        // Whether the latest report names the host; if not, when a report last did.
        bool is_reported{};
        time_point last_reported_at;
    };

    bool is_kept(time_point now, const std::string& host, const row& entry) const;
    bool has_settled(time_point now) const;

    std::string name;
    std::map<std::string, row, std::less<>> hosts;
    bool had_contact{};
    time_point last_contact_at;
    time_point settled_from;
};

} // namespace bth::dispatch
