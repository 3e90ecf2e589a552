// The membership and distribution core of one entry host: which hosts of its failure domain are
// alive, and how the accepted configuration reaches it, goes on from it, and is confirmed.
//
// Control sends each edit to a relay of the failure domain; from there it goes down a tree over the
// hosts that are alive. What gets lost on the way is noticed by the revision in every probe, and
// pulled from whoever has it. The revision in force only rises.
//
//   agent core{{.self = {"entry-a", life}, .failure_domain = "east-1", .seed = 7}, stored};
//   perform(core.tick(now));
//   perform(core.receive(now, from, what));
//   perform(core.persisted(now, upto));
#pragma once

#include "bth/base/time.h"
#include "bth/config/text_table.h"
#include "bth/membership/failure_detector.h"
#include "bth/membership/messages.h"
#include "bth/membership/replica.h"
#include "bth/membership/topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace bth::membership {

struct agent_settings {
    peer self;
    std::string failure_domain;
    // Hosts to ask before any configuration is known.
    std::vector<std::string> seeds;
    // Whether revisions are stored before they are in force.
    bool durable{};
    std::uint64_t seed{};
    // The number of hosts that one host passes an edit on to.
    std::size_t fan_out{4};
    // How long a missing edit may be on its way before it is pulled.
    duration pull_grace{std::chrono::milliseconds{200}};
    // How long an answer to a pull or a confirmation is waited for.
    duration answer_timeout{std::chrono::milliseconds{1000}};
    // How long a host that has just started asks around before it uses what it has.
    duration learn_limit{std::chrono::milliseconds{2000}};
    // Control counts as heard if someone heard it within this time.
    duration control_timeout{std::chrono::milliseconds{5000}};
};

struct send_message {
    std::string to;
    message what;
};

// The shell is to use this revision, whose table is agent::table(), and to answer with
// agent::in_use() once it does.
struct take_into_force {
    config_mark mark;
};

using action = std::variant<send_message, persist_order, take_into_force>;
using actions = std::vector<action>;

// What the status page and the metrics show.
struct agent_status {
    config_mark in_force;
    revision newest;
    // The time since control was heard, directly or through others; nothing if it never was.
    std::optional<duration> control_age;
    std::string relay;
    // Whether control has not been heard for so long that newer revisions may exist.
    bool cut_off{};
    // Whether the start is over, so that the configuration may be used.
    bool ready{};
};

// The time from a failed save to the next try, long enough that a disk that stays full isn't kept
// busy with tables it can't take.
inline constexpr duration persist_retry_interval = std::chrono::milliseconds{1000};

class agent {
public:
    // `stored` is the table that the disk held, if there is a disk and it held one.
    agent(agent_settings settings, std::optional<config::text_table> stored);

    // Called every tick_interval.
    actions tick(time_point now);
    actions receive(time_point now, const peer& from, const message& what);
    // The result of a persist_order. After a failed one the next, for the whole table, is given
    // persist_retry_interval later.
    actions persisted(time_point now, revision upto);
    void persist_failed(time_point now);
    // The shell uses the revision that take_into_force named. Only then is it stated and confirmed.
    actions in_use(time_point now);
    // Hosts that the platform's list says are gone.
    void hint_gone(const std::vector<std::string>& hosts) { this->detector.hint_gone(hosts); }

    const config::text_table& table() const { return this->copy.table(); }
    const std::vector<member>& members() const { return this->detector.members(); }
    agent_status status(time_point now) const;
    const replica_counters& counters() const { return this->copy.counters(); }
    std::size_t memory_bytes() const { return this->copy.memory_bytes(); }

private:
    // Who has a revision that is missing here, and since when it is known to be missing.
    struct missing_revision {
        std::string holder;
        revision at;
        time_point since;
    };
    struct pull_under_way {
        std::string from;
        time_point sent;
    };
    // What this host does as a relay, as long as control calls it one.
    struct relay_role {
        std::string control;
        time_point last_heartbeat;
        std::optional<time_point> last_summary;
        domain_summary last_sent;
        std::map<std::string, revision> confirmed;
    };

    void on(time_point now, const peer& from, const probe_message& what, actions& out);
    void on(time_point now, const peer& from, const delta_push& what, actions& out);
    void on(time_point now, const peer& from, const pull& what, actions& out);
    void on(time_point now, const peer& from, const pull_answer& what, actions& out);
    void on(time_point now, const peer& from, const confirm& what, actions& out);
    void on(time_point now, const peer& from, const confirm_answer& what, actions& out);
    void on(time_point now, const peer& from, const control_heartbeat& what, actions& out);
    void on(time_point now, const peer& from, const domain_summary& what, actions& out);

    host_stamp stamp(time_point now) const;
    void take_stamp(time_point now, const peer& from, const host_stamp& said);
    void note_confirmed(const std::string& host, revision in_force);
    void set_relay(const std::string& name);
    bool is_relay(time_point now) const;
    bool is_member(const std::string& host) const;
    bool control_heard_lately(time_point now) const;
    void note_missing(time_point now, const std::string& holder, revision at);
    bool behind() const;
    void send(actions& out, const std::string& to, message what) const;
    void forward(const std::string& root, const shared_bytes& delta, actions& out) const;
    void refresh_topology();
    void settle(time_point now, actions& out);
    void start_pull(time_point now, actions& out);
    void send_confirmation(time_point now, actions& out);
    domain_summary summary() const;
    void send_summary(time_point now, bool even_if_unchanged, actions& out);
    void ask_around(time_point now, actions& out);
    void probe_far_host(time_point now, actions& out);
    void update_ready(time_point now);

    agent_settings settings;
    std::mt19937_64 random;
    failure_detector detector;
    replica copy;
    // After a failed save: when to try the next.
    time_point persist_due;
    std::vector<host_place> hosts;
    config::table_digest known_hosts;
    // The revision that known_hosts was computed for.
    revision hosts_revision;
    // What the shell uses.
    config_mark used;
    time_point used_since;
    std::optional<time_point> started;
    bool ready{};
    std::optional<time_point> control_heard;
    std::string relay;
    std::optional<relay_role> role;
    std::optional<missing_revision> missing;
    std::optional<pull_under_way> pulling;
    std::uint32_t fruitless_pulls{};
    // The last answer brought something, so that the next pull need not wait.
    bool pull_on{};
    revision confirmed_upto;
    std::optional<time_point> last_confirm;
    revision last_confirmed;
    time_point next_far_probe;
};

} // namespace bth::membership
