// Which targets, hosts, failure domains and regions get no new work, because they are leaving or
// have fallen silent.
//
// The earliest leave announcement counts, whichever its source: an operators' drain, the platform's
// list, a target's own report, or a notice of another host of the domain. Only its source withdraws
// an announcement: a drain by a configuration without it, a report by a later report, the platform
// by lists that show the subject alive for a while. A notice expires only after the subject or the
// platform states that the subject stays. First-hand announcements are relayed to the hosts of the
// own domain repeatedly, so that no single lost message or broken link hides one.
//
//   availability known;
//   known.configure(model, own_domain, nullptr);
//   known.apply_report(report, now);
//   if (known.leaving(target)) { ... }
//   if (auto notice = known.due_notice(now)) { send(*notice); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"

#include <memory>
#include <optional>
#include <vector>

namespace bth::steering {

// The state of another entry host, as far as this host knows.
enum class host_condition : std::uint8_t {
    usable,     // Sent a message within heartbeat_timeout, and isn't leaving.
    never_seen, // Hasn't sent a message yet; the platform may still list it.
    silent,     // Hasn't sent a message within heartbeat_timeout, but did before.
    leaving,    // Has announced to leave, or is drained.
};

class availability {
public:
    // A host whose last message is older is silent.
    static constexpr duration heartbeat_timeout = std::chrono::seconds{3};
    // An older platform list is out of date.
    static constexpr duration platform_list_max_age = std::chrono::seconds{10};
    // How long lists must show a subject alive before they withdraw the platform's announcement.
    static constexpr duration alive_confirmation_time = std::chrono::seconds{5};
    // An older report of a target is out of date.
    static constexpr duration report_max_age = std::chrono::seconds{3};

    // Applies a configuration. `change` maps the ids of the previous one, and is nullptr for the
    // first one.
    void configure(std::shared_ptr<const config::model> next, domain_id own,
                   const model_map* change);

    // Starts the drains whose start time has come, and expires notices. To be called every tick.
    void advance(clock_reading now);
    // Update the leave announcements from a platform list, a target's report, or another host's
    // notice.
    void apply_platform_list(const platform_list& list, time_point now);
    void apply_report(const load_report& report, time_point now);
    void apply_notice(const leaving_notice& notice, time_point now);
    // Records that a message of any kind came from a host, which shows that it is alive.
    void record_liveness(host_id from, time_point now);
    // Records a heartbeat, and whether it announces that its sender leaves. Ignores heartbeats of
    // an earlier incarnation.
    void apply_heartbeat(host_id from, const heartbeat& beat, time_point now);

    // Records that this host itself leaves; its notices announce it from now on.
    void announce_own_leaving(host_id self, time_point now);

    // Returns whether an announcement or a drain that has started applies.
    bool leaving(target_id target) const;
    bool leaving(host_id host) const;
    // Returns whether the domain or its region is drained.
    bool drained(domain_id domain) const;
    // Returns whether a drain of the host, its domain or its region has started or starts within
    // `ahead`.
    bool drain_starts_within(host_id host, duration ahead) const;
    host_condition condition(host_id host, time_point now) const;
    // Returns when the first message of a host's current incarnation came; nothing if none has
    // come.
    std::optional<time_point> incarnation_first_seen(host_id host) const;
    // Returns whether a target has reported within report_max_age.
    bool has_recent_report(target_id target, time_point now) const;

    // Returns the announcements to relay to the hosts of the own domain; nothing if none is due.
    std::optional<leaving_notice> due_notice(time_point now);

private:
    // The leave announcements about one target or host, by source.
    struct leave_state {
        bool by_platform{};
        bool by_report{};
        bool by_notice{};
        time_point first_announced_at;
        time_point last_notice_at;
        // Since when every platform list has shown it alive, and none as leaving.
        std::optional<time_point> listed_alive_since;

        bool is_leaving() const { return this->by_platform || this->by_report || this->by_notice; }
        bool has_first_hand_source() const { return this->by_platform || this->by_report; }
    };
    struct target_row {
        leave_state leave;
        std::optional<time_point> reported_at;
    };
    struct host_row {
        leave_state leave;
        std::optional<time_point> last_seen;
        std::optional<time_point> last_listed;
        time_point incarnation_first_seen;
        incarnation incarnation_number;
    };
    struct drain_row {
        config::drain drain;
        bool started{};
        // When this host first saw that the drain had started.
        std::optional<time_point> seen_started_at;
    };
    // Whether to relay an announcement; recent ones are relayed more often.
    struct relay_decision {
        bool relay{};
        bool is_recent{};
    };

    static void mark_leaving(leave_state& leave, bool leave_state::*source, time_point now);
    static void apply_listing(leave_state& leave, bool alive, bool listed_leaving, time_point now);
    static void withdraw_announcement(leave_state& leave, time_point now);
    static void expire_notice(leave_state& leave, time_point now);
    template <class Id>
    relay_decision decide_relay(const leave_state& leave, Id subject, time_point now) const;
    bool drain_covers(const config::drain_subject& subject, target_id target) const;
    bool drain_covers(const config::drain_subject& subject, host_id host) const;
    bool drain_covers(const config::drain_subject& subject, domain_id domain) const;
    bool is_same_drain(const config::drain& before, const config::drain& after,
                       const model_map& change) const;

    std::shared_ptr<const config::model> model;
    domain_id own;
    wall_time last_wall_time;
    std::vector<target_row> targets;
    std::vector<host_row> hosts;
    std::vector<drain_row> drains;
    time_point last_notice_sent;
};

} // namespace bth::steering
