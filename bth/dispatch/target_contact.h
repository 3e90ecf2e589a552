// Tells whether this host has lost its way to all targets, from what its own connections show.
//
//   target_contact contact;
//   contact.record_failure(now, target_id);
//   if (contact.needs_probes(now)) {
//       const auto probed = contact.choose_probes(ids_of_listed_targets);
//       ...
//       contact.record_probes(now, probed.size(), reached);
//   }
//   if (contact.is_cut_off()) { ... let another host send ... }
//
// A host that is cut off sees the same as one whose targets have all ended, and in both cases
// another host may know better. What must not happen is that a few targets that end together look
// like a cut. So failures of new connections to several targets are a suspicion only, and it is
// tested by connections to the targets that answered last.
//
// Connections that were open before may live on while new ones fail, so that their answers prove
// nothing. Where they went silent instead, requests that no target answers are a suspicion too.
#pragma once

#include "bth/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bth::dispatch {

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
    // Records the result of probes: how many targets were probed and reached. Returns whether
    // is_cut_off() changed.
    bool record_probes(time_point now, std::size_t probed, std::size_t reached);

    bool is_cut_off() const { return this->cut_off; }
    // Returns when is_cut_off() changed last.
    time_point changed_at() const { return this->last_change_at; }

private:
    // The most targets whose last answer is remembered; probes need few.
    static constexpr std::size_t max_remembered_targets = 64;

    // The targets to which new connections failed since one succeeded, with the time of the last
    // failure.
    std::map<std::string, time_point> failures;
    // The targets that have been sent requests since any target answered, with the time of the
    // first.
    std::map<std::string, time_point> unanswered;
    std::map<std::string, time_point> last_answers;
    time_point last_probes_at;
    // Counts the targets that were probed in turn.
    std::size_t turn{};
    // Whether the next probes wait for the last ones.
    bool has_probed{};
    bool cut_off{};
    time_point last_change_at;
};

} // namespace bth::dispatch
