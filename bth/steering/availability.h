// Who may get new work: every word that a target, host, failure domain or region is leaving, and
// the silence of those who should be heard.
//
// The earliest word counts, from wherever it comes: an operators' drain, the platform's list, a
// target's own report, or a notice of another host of the domain. A word is taken back only by
// whoever gave it: a drain by a configuration without it, a report by a later report, the platform
// by lists that show the subject alive for a while. A notice fades only once the subject or the
// platform says otherwise. First-hand words are passed on to the hosts of the own domain again and
// again, so that no single lost message or link hides one.
//
//   availability known;
//   known.configure(model, own_domain, nullptr);
//   known.take_report(report, now);
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

// What is known of another entry host.
enum class host_condition : std::uint8_t {
    usable,  // Heard lately, and not leaving.
    unheard, // Never heard yet; the platform may still list it.
    silent,  // Heard once, but not lately.
    leaving, // Announced to leave, or drained.
};

class availability {
public:
    // A host whose last heartbeat is older is silent.
    static constexpr duration heartbeat_limit = std::chrono::seconds{3};
    // A platform list that is older tells nothing.
    static constexpr duration platform_limit = std::chrono::seconds{10};
    // How long lists must show a subject alive before they take a word back.
    static constexpr duration revive_after = std::chrono::seconds{5};
    // A report that is older tells nothing of the target.
    static constexpr duration report_limit = std::chrono::seconds{3};

    // Takes a configuration into force; `change` maps the ids of the one before, and is nullptr for
    // the first.
    void configure(std::shared_ptr<const config::model> next, domain_id own,
                   const model_map* change);

    // Starts the drains whose time has come. Called every tick.
    void advance(clock_reading now);
    void take_platform(const platform_list& list, time_point now);
    void take_report(const load_report& report, time_point now);
    void take_notice(const leaving_notice& notice, time_point now);
    // Any message of a host shows that it lives.
    void take_sign_of_life(host_id from, time_point now);
    void take_heartbeat(host_id from, const heartbeat& beat, time_point now);

    // This host itself leaves; its notices say so from now on.
    void announce_own_leaving(host_id self, time_point now);

    bool leaving(target_id target) const;
    bool leaving(host_id host) const;
    // Whether the domain or its region is drained.
    bool drained(domain_id domain) const;
    // Whether a drain of the host, its domain or its region begins within `ahead`, or has begun.
    bool leaves_within(host_id host, duration ahead) const;
    host_condition condition(host_id host, time_point now) const;
    // When the present life of a host was first heard of.
    std::optional<time_point> life_began(host_id host) const;
    // Whether a target has reported within report_limit.
    bool reported(target_id target, time_point now) const;

    // The words to pass on to the hosts of the own domain, if it is time to.
    std::optional<leaving_notice> due_notice(time_point now);

private:
    // The words about one target or host.
    struct word_row {
        bool by_platform{};
        bool by_report{};
        bool by_notice{};
        time_point first_word;
        time_point last_notice;
        // Since when every list has shown it alive.
        std::optional<time_point> alive_since;

        bool stands() const { return this->by_platform || this->by_report || this->by_notice; }
        bool first_hand() const { return this->by_platform || this->by_report; }
    };
    struct target_row {
        word_row word;
        std::optional<time_point> reported_at;
    };
    struct host_row {
        word_row word;
        std::optional<time_point> heard_at;
        std::optional<time_point> listed_at;
        time_point life_began;
        incarnation life;
    };
    struct drain_row {
        config::drain drain;
        bool begun{};
        // When this host first saw that it had begun.
        std::optional<time_point> begun_at;
    };
    // A word to pass on; `is_new` while it is to be repeated often.
    struct passed_word {
        bool passes{};
        bool is_new{};
    };

    static void give(word_row& word, bool word_row::*source, time_point now);
    static void see_listed(word_row& word, bool alive, bool says_leaving, time_point now);
    static void take_back(word_row& word, time_point now);
    static void fade_notice(word_row& word, time_point now);
    template <class Id>
    passed_word passed(const word_row& word, Id subject, time_point now) const;
    bool drain_covers(const config::drain_subject& subject, target_id target) const;
    bool drain_covers(const config::drain_subject& subject, host_id host) const;
    bool drain_covers(const config::drain_subject& subject, domain_id domain) const;
    bool same_drain(const config::drain& before, const config::drain& after,
                    const model_map& change) const;

    std::shared_ptr<const config::model> model;
    domain_id own;
    wall_time wall;
    std::vector<target_row> targets;
    std::vector<host_row> hosts;
    std::vector<drain_row> drains;
    time_point notice_sent;
};

} // namespace bth::steering
