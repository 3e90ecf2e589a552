// Tells whether this host has lost its way to all targets, from what its own connections show.
//
//   target_contact contact;
//   contact.record_failure(now, target_id);
//   if (contact.needs_probes(now)) {
//       const auto targets = contact.choose_probes(ids_of_listed_targets);
//       const auto neighbours = contact.choose_neighbours(senders.ready_hosts(), own_domain);
//       ...
//       contact.record_probes(now, target_results, neighbour_results);
//   }
//   if (contact.is_cut_off()) { ... let another host send ... }
//
// A host that is cut off sees the same as one whose targets have all ended, and in both cases
// another host may know better. What must not happen is that a few targets that end together look
// like a cut. So failures of new connections to several targets are a suspicion only, and it is
// tested by connections to the targets that answered last.
//
// Connections that were open before may live on while new ones fail, so that their answers don't
// show that targets can be reached. Where they went silent instead, requests that no target answers
// are a suspicion too.
//
// A full link of this host delays all new connections for longer than they may take. So the same
// test goes to other entry hosts as a control. If these don't answer in time either while answers
// go on arriving over kept connections, the probes say nothing about targets, and another host
// could only be asked over the same link.
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/sender_roster.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::dispatch {

// How the probes of several targets, or of several hosts, ended. What neither answered nor timed
// out failed in another way: it was refused by a target, or reset, or this host could not connect.
struct probe_results {
    std::size_t probed{};
    // Targets that accepted the connection. A host that refuses it has answered as well.
    std::size_t reached{};
    std::size_t timed_out{};
};

class target_contact {
public:
    // The number of targets to which new connections failed, or which owe an answer, that raises a
    // suspicion.
    static constexpr std::size_t targets_to_suspect = 3;
    // How long a failure counts.
    static constexpr std::chrono::seconds failure_memory{3};
    // How long no target has answered when requests at several of them raise a suspicion. Longer
    // than most requests take.
    static constexpr std::chrono::milliseconds silence_limit{1000};
    // The most targets that are probed at a time.
    static constexpr std::size_t max_probes = 4;
    // The most other entry hosts that are probed as a control, and the number that must time out to
    // show that this host's link is full: a single one may stand still or have ended.
    static constexpr std::size_t max_neighbour_probes = 3;
    static constexpr std::size_t neighbours_to_compare = 2;
    // How old the last answer of a target may be that shows that the link still carries traffic.
    // A host with few answers a second may have none between the first failure and its test. The
    // loss of all connections, to targets and hosts, is found so much later; no other host could be
    // asked meanwhile.
    static constexpr std::chrono::milliseconds answer_memory{1000};
    // Smallest time between two tests of a suspicion, and between two looks whether a host that is
    // cut off reaches targets again. The first test after such a look doesn't wait.
    static constexpr std::chrono::milliseconds test_interval{500};
    static constexpr std::chrono::milliseconds return_interval{250};

    // Records that a new connection to the target failed: it wasn't opened, or ended before any
    // answer.
    void record_failure(time_point now, const std::string& target);
    // Records that a new connection to the target was accepted.
    void record_connection() { this->failures.clear(); }
    // Records that a request was written to the target.
    void record_request(time_point now, const std::string& target);
    // Records an answer of the target.
    void record_answer(time_point now, const std::string& target, bool on_new_connection);
    // Records that the host gave up on a request to the target, so that its answer isn't missed.
    void record_withdrawal(const std::string& target) { this->unanswered.erase(target); }

    // Returns whether there is a suspicion that has not been tested.
    bool is_suspected(time_point now) const;
    // Returns whether targets should be probed now: to test a suspicion, or to find out whether
    // targets can be reached again.
    bool needs_probes(time_point now) const;
    // Returns which of the listed targets to probe. To test a suspicion, those that answered last
    // and haven't failed since come first. While this host is cut off, half of the probes go to
    // each other target in turn, since those that it knew may end meanwhile.
    std::vector<std::string> choose_probes(const std::vector<std::string>& listed);
    // Returns which of the ready hosts to probe beside the targets; none while this host is cut
    // off. Those of other failure domains come first, since the loss of a domain may be what made
    // the targets fail, and different ones each time.
    std::vector<std::string> choose_neighbours(const std::vector<roster_host>& ready,
                                               std::string_view own_domain);
    // Returns whether the results of targets allow no conclusion without those of other hosts.
    static bool needs_neighbours(const probe_results& targets)
    {
        return targets.probed > 0 && targets.timed_out == targets.probed;
    }
    // Records the results of probes. Returns whether is_cut_off() changed.
    bool record_probes(time_point now, const probe_results& targets,
                       const probe_results& neighbours);

    bool is_cut_off() const { return this->cut_off; }
    // Returns whether the last probes failed because this host's link is full.
    bool is_link_full() const { return this->link_full; }
    // Returns when is_cut_off() changed last.
    time_point changed_at() const { return this->last_change_at; }

private:
    // Returns whether a target has answered lately.
    bool has_fresh_answer(time_point now) const;

    // The most targets whose last answer is remembered; probes need few.
    static constexpr std::size_t max_remembered_targets = 64;

    // The targets to which new connections failed since one succeeded, with the time of the last
    // failure.
    std::map<std::string, time_point> failures;
    // The targets that have been sent requests since any target answered, with the time of the
    // first.
    std::map<std::string, time_point> unanswered;
    std::map<std::string, time_point> last_answers;
    std::optional<time_point> last_answer_at;
    time_point last_probes_at;
    // Counts the targets that were probed in turn.
    std::size_t turn{};
    // Whether the next probes wait for the last ones.
    bool has_probed{};
    bool cut_off{};
    bool link_full{};
    // Counts the hosts that were probed in turn.
    std::size_t neighbour_turn{};
    time_point last_change_at;
};

} // namespace bth::dispatch
