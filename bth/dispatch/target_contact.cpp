#include "bth/dispatch/target_contact.h"

#include <algorithm>
#include <utility>

namespace bth::dispatch {

void target_contact::record_failure(time_point now, const std::string& target)
{
    std::erase_if(this->failures,
                  [&](const auto& each) { return each.second + failure_memory < now; });
    if (this->failures.size() < max_remembered_targets) {
        this->failures[target] = now;
    }
}

void target_contact::record_request(time_point now, const std::string& target)
{
    if (this->unanswered.size() < max_remembered_targets) {
        this->unanswered.try_emplace(target, now);
    }
}

void target_contact::record_answer(time_point now, const std::string& target,
                                   bool on_new_connection)
{
    this->unanswered.clear();
    if (on_new_connection) {
        this->failures.clear();
    }
    this->last_answers[target] = now;
    this->last_answer_at = now;
    if (this->last_answers.size() > max_remembered_targets) {
        this->last_answers.erase(std::min_element(
            this->last_answers.begin(), this->last_answers.end(),
            [](const auto& one, const auto& other) { return one.second < other.second; }));
    }
}

bool target_contact::is_suspected(time_point now) const
{
    if (this->cut_off) {
        return false;
    }
    const auto failed =
        std::count_if(this->failures.begin(), this->failures.end(),
                      [&](const auto& each) { return each.second + failure_memory >= now; });
    const auto silent =
        std::count_if(this->unanswered.begin(), this->unanswered.end(),
                      [&](const auto& each) { return each.second + silence_limit <= now; });
    return static_cast<std::size_t>(std::max(failed, silent)) >= targets_to_suspect;
}

bool target_contact::needs_probes(time_point now) const
{
    const duration interval = this->cut_off ? return_interval : test_interval;
    return (this->cut_off || this->is_suspected(now)) &&
           (!this->has_probed || now - this->last_probes_at >= interval);
}

std::vector<std::string> target_contact::choose_probes(const std::vector<std::string>& listed)
{
    std::vector<std::pair<time_point, std::string>> well;
    std::vector<std::string> others;
    for (const auto& target : listed) {
        const auto answered = this->last_answers.find(target);
        if (answered != this->last_answers.end() && !this->failures.contains(target)) {
            well.emplace_back(answered->second, target);
        }
        else {
            others.push_back(target);
        }
    }
    std::sort(well.rbegin(), well.rend());
    const auto max_well = this->cut_off ? max_probes / 2 : max_probes;
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(max_well, well.size()); ++i) {
        out.push_back(well[i].second);
    }
    for (std::size_t i = out.size(); i < well.size(); ++i) {
        others.push_back(well[i].second);
    }
    for (std::size_t i = 0; out.size() < max_probes && i < others.size(); ++i) {
        out.push_back(others[this->turn++ % others.size()]);
    }
    return out;
}

std::vector<std::string> target_contact::choose_neighbours(const std::vector<roster_host>& ready,
                                                           std::string_view own_domain)
{
    if (this->cut_off) {
        return {};
    }
    std::vector<const roster_host*> elsewhere;
    std::vector<const roster_host*> in_own_domain;
    for (const auto& each : ready) {
        (each.domain == own_domain ? in_own_domain : elsewhere).push_back(&each);
    }
    std::vector<std::string> out;
    for (const auto& hosts : {elsewhere, in_own_domain}) {
        const auto count = std::min(max_neighbour_probes - out.size(), hosts.size());
        for (std::size_t i = 0; i < count; ++i) {
            out.push_back(hosts[(this->neighbour_turn + i) % hosts.size()]->name);
        }
    }
    this->neighbour_turn += max_neighbour_probes;
    return out;
}

bool target_contact::has_fresh_answer(time_point now) const
{
    return this->last_answer_at && now - *this->last_answer_at <= answer_memory;
}

bool target_contact::record_probes(time_point now, const probe_results& targets,
                                   const probe_results& neighbours)
{
    this->last_probes_at = now;
    this->has_probed = true;
    if (targets.reached > 0) {
        this->failures.clear();
        this->unanswered.clear();
    }
    this->link_full = !this->cut_off && needs_neighbours(targets) && neighbours.reached == 0 &&
                      neighbours.timed_out >= neighbours_to_compare && this->has_fresh_answer(now);
    // Targets that ended during a cut are never reached again, so one that is reached is enough.
    const bool is_cut_off_now =
        targets.reached == 0 && !this->link_full && (targets.probed > 0 || this->cut_off);
    if (std::exchange(this->cut_off, is_cut_off_now) == is_cut_off_now) {
        return false;
    }
    this->last_change_at = now;
    // What found targets again was no test of a suspicion. If the way is lost again, the first test
    // must come at once: as soon as all targets are taken for failed, nothing is sent that could
    // raise the suspicion later.
    this->has_probed = is_cut_off_now;
    return true;
}

} // namespace bth::dispatch
