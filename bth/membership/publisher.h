// Control's side of distribution: sends each accepted edit to a relay of every failure domain,
// answers pulls, replaces silent relays, and knows which hosts have confirmed a revision.
//
//   publisher core{{}};
//   core.set_active(now, true);
//   perform(core.publish(now, accepted_table));
//   perform(core.receive(now, from, what));
//   for (const std::string& host : core.unconfirmed(revision{7})) { ... }
//
// Every control host feeds its publisher with the accepted revisions; only the leader's is active.
#pragma once

#include "bth/base/time.h"
#include "bth/config/text_table.h"
#include "bth/membership/agent.h"
#include "bth/membership/history.h"
#include "bth/membership/messages.h"
#include "bth/membership/topology.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bth::membership {

struct publisher_settings {
    duration heartbeat_interval{std::chrono::milliseconds{1000}};
    // A relay that says nothing for this long is replaced.
    duration relay_timeout{std::chrono::milliseconds{2500}};
};

// What is known of one failure domain.
struct domain_status {
    std::string failure_domain;
    std::string relay;
    // The time since one of its relays was heard; nothing if none ever was.
    std::optional<duration> age;
    // The relay's revision.
    revision in_force;
};

class publisher {
public:
    explicit publisher(publisher_settings settings);

    // Only an active publisher sends by itself; both kinds answer pulls.
    void set_active(time_point now, bool active);

    // Takes an accepted revision, which becomes the newest; an older one is ignored.
    actions publish(time_point now, const config::text_table& accepted);
    actions tick(time_point now);
    actions receive(time_point now, const peer& from, const message& what);

    const config::text_table& table() const { return this->newest; }
    // The hosts that have not confirmed this revision or a later one, by name.
    std::vector<std::string> unconfirmed(revision at) const;
    // The highest revision that each host has confirmed; 0 for one that confirmed none.
    const std::map<std::string, revision>& confirmations() const { return this->confirmed; }
    // The relays that heartbeats go to, by failure domain; none while inactive.
    std::vector<std::string> relays() const;
    std::vector<domain_status> domains(time_point now) const;

private:
    // One of the two relays of a failure domain.
    struct relay_slot {
        std::size_t index{};
        time_point last_heard;
    };
    // One row of the table of failure domains.
    struct domain_row {
        std::string name;
        std::vector<std::string> hosts;
        relay_slot first;
        relay_slot second;
        std::optional<time_point> last_heard;
        revision in_force;

        const std::string& host_at(const relay_slot& slot) const
        {
            return this->hosts[slot.index % this->hosts.size()];
        }
    };

    void refresh_hosts(time_point now);
    void replace_silent(time_point now, domain_row& row) const;
    void send_heartbeat(const domain_row& row, const std::string& to, actions& out) const;
    void send_heartbeats(const domain_row& row, actions& out) const;
    void take_summary(time_point now, const peer& from, const domain_summary& said);

    publisher_settings settings;
    bool active{};
    config::text_table newest;
    history edits;
    config::table_digest known_hosts;
    std::vector<domain_row> rows;
    // The highest revision that each host has confirmed.
    std::map<std::string, revision> confirmed;
    time_point next_heartbeat;
};

} // namespace bth::membership
