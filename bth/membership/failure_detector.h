// Tells which hosts of a failure domain are alive, at a cost that doesn't depend on their number:
// each host probes a random other one a few times a second, and what it knows of the others rides
// along. The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002): a probe without an answer
// is tried through other hosts; then the host is suspect for some time in which it can refute.
//
//   failure_detector detector{{.self = {"entry-a", incarnation{1}}}};
//   detector.set_members({"entry-a", "entry-b"}, now);
//   send_all(detector.tick(now, stamp, random));
//   send_all(detector.receive(now, from, probe, stamp));
#pragma once

#include "bth/base/time.h"
#include "bth/membership/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bth::membership {

struct detector_settings {
    peer self;
    duration probe_interval{std::chrono::milliseconds{500}};
    // After this time without an answer other hosts are asked to probe too.
    duration direct_timeout{std::chrono::milliseconds{300}};
    // After this time without any answer the host is suspect.
    duration probe_timeout{std::chrono::milliseconds{1000}};
    // The time in which a suspect can refute.
    duration suspicion{std::chrono::milliseconds{3000}};
    std::size_t indirect_probes{2};
    // The most news items in one message.
    std::size_t news_limit{6};
};

struct outgoing_probe {
    std::string to;
    probe_message what;
};

// One row of the table of hosts; the host itself has a row too.
struct member {
    std::string host;
    incarnation life;
    std::uint32_t refutation{};
    liveness state{};
    // When it became suspect.
    time_point suspect_since;
    // When something was last heard from it directly; nothing yet if heard is false.
    time_point last_heard;
    bool heard{};
    // How often the row still rides along.
    std::uint32_t news_left{};
};

class failure_detector {
public:
    explicit failure_detector(detector_settings settings);

    // The hosts to watch, in any order. Rows of hosts that are no longer named go; new ones count
    // as alive until they don't answer.
    void set_members(std::vector<std::string> names);

    // Takes the platform's list as a hint: the named hosts are probed next. It never makes a host
    // dead by itself, since it lags.
    void hint_gone(const std::vector<std::string>& names);

    std::vector<outgoing_probe> tick(time_point now, const host_stamp& stamp,
                                     std::mt19937_64& random);
    std::vector<outgoing_probe> receive(time_point now, const peer& from, const probe_message& what,
                                        const host_stamp& stamp);
    // Something other than a probe came from the host.
    void heard_from(time_point now, const peer& from);

    // Sorted by name.
    const std::vector<member>& members() const { return this->rows; }
    // The names of hosts that are alive, itself included, sorted.
    std::vector<std::string> alive() const;

private:
    // A probe that waits for its answer.
    struct waiting_probe {
        std::string subject;
        time_point sent;
        bool asked_others{};
        // Set if the probe was sent for another host.
        std::string origin;
        std::uint32_t origin_sequence{};
    };

    member* find(std::string_view host);
    probe_message make(probe_kind kind, std::uint32_t sequence, std::string_view receiver,
                       const host_stamp& stamp);
    void add_news(probe_message& to, std::string_view receiver);
    void refute(member& self, const news_item& item);
    void learn(time_point now, const news_item& item);
    void changed(member& row);
    std::string next_subject(std::mt19937_64& random);
    std::vector<std::string> helpers(const std::string& subject, std::mt19937_64& random) const;
    void expire(time_point now, const host_stamp& stamp, std::mt19937_64& random,
                std::vector<outgoing_probe>& out);

    detector_settings settings;
    std::vector<member> rows;
    std::vector<std::string> hinted;
    std::map<std::uint32_t, waiting_probe> waiting;
    std::uint32_t last_sequence{};
    std::uint32_t probes_sent{};
    time_point next_probe;
};

} // namespace bth::membership
