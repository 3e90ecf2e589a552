// Selects the control host to which an entry host is attached.
//
//   control_host_selector selector{own_domain, regions, seeds, first_seed};
//   selector.record_update(now, in_contact, reported_control_hosts);   // on each update
//   if (selector.reselect(now)) { attach_to(selector.current()); }     // periodically
//
// Another control host is selected if the current one sends no more updates, or has been isolated
// for too long: its updates say that it is not in contact with the other control hosts
// (update::in_contact).
//
// The rules cover two failures:
//
// - All control hosts fail together and restart one by one. The first to restart knows no other
//   control host and may stay isolated. Therefore the control hosts that an isolated one reports
//   are added to the candidates and replace none of them, and the seeds always stay candidates.
// - The control hosts are partitioned, and the majority commits a change. Few entry hosts may know
//   the control hosts of the majority. Therefore isolated control hosts are abandoned quickly.
#pragma once

#include "bth/dispatch/target_registry.h"
#include "bth/fleet/messages.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bth::fleet {

class control_host_selector {
public:
    // Updates arrive every 400 ms, so two in a row are missing.
    static constexpr std::chrono::milliseconds silence_timeout{1000};
    // An isolated control host may be about to regain contact: a new leader is known about 300 ms
    // after the loss of the previous one is detected, plus one update interval.
    static constexpr std::chrono::milliseconds isolation_timeout{700};
    // A control host that has been isolated since it was selected is abandoned sooner: after three
    // of them in a row, a change can still be in force within 2.5 s. It is not abandoned
    // immediately, since its first update may carry a full target list over a slow link.
    static constexpr std::chrono::milliseconds initial_isolation_timeout{200};

    // `first_seed` is the index, modulo the number of seeds, of the first candidate. Different
    // values spread entry hosts that start together over the seeds.
    control_host_selector(std::string own_domain, dispatch::domain_regions regions,
                          std::vector<std::string> seeds, std::size_t first_seed)
        : own_domain{std::move(own_domain)}, regions{std::move(regions)}, seeds{std::move(seeds)},
          next_nearest_index{first_seed}, next_any_index{first_seed}
    {
        this->set_candidates({});
    }

    // The control host to report to; empty before the first call of reselect().
    const std::string& current() const { return this->selected; }
    // Whether the current control host is kept even if a nearer one is reported.
    bool stays() const { return this->has_selected_nearest; }
    // When the last update arrived, and the last one from a control host in contact.
    time_point last_update_at() const { return this->last_update; }
    time_point last_contact_at() const { return this->last_contact; }

    // Records an update from the current control host, with the control hosts that it reports.
    void record_update(time_point now, bool in_contact, std::vector<control_host_info> reported)
    {
        this->last_update = now;
        if (in_contact) {
            this->last_contact = now;
            this->isolated_since.reset();
            this->abandoned.clear();
        }
        else {
            this->isolated_since = this->isolated_since.value_or(now);
            reported.insert(reported.end(), this->reported.begin(), this->reported.end());
        }
        this->set_candidates(std::move(reported));
    }

    // Selects another control host if the current one has to be replaced. Returns whether it did.
    bool reselect(time_point now)
    {
        const bool silent = now - std::max(this->last_update, this->selected_at) > silence_timeout;
        if (this->selected.empty() || silent) {
            return this->select_next(now);
        }
        if (this->is_isolated_too_long(now)) {
            return this->select_next_anywhere(now);
        }
        const bool is_nearest_known = !this->candidates.empty() &&
                                      this->last_update > this->selected_at &&
                                      this->distance(this->candidates.front()) == 0;
        if (this->has_selected_nearest || !is_nearest_known) {
            return false;
        }
        // The first control host was an arbitrary seed; by now the nearest one is known.
        this->has_selected_nearest = true;
        this->next_nearest_index = 0;
        return this->candidates.front().name != this->selected && this->select_next(now);
    }

private:
    // Whether the current control host has reported for too long that it is isolated.
    bool is_isolated_too_long(time_point now) const
    {
        const bool was_in_contact = this->last_contact > this->selected_at;
        return this->isolated_since &&
               now - *this->isolated_since >
                   (was_in_contact ? isolation_timeout : initial_isolation_timeout);
    }

    // Sets the candidates: the given hosts by increasing distance, then the other seeds.
    void set_candidates(std::vector<control_host_info> hosts)
    {
        std::sort(hosts.begin(), hosts.end());
        hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
        std::stable_sort(hosts.begin(), hosts.end(), [this](const auto& a, const auto& b) {
            return this->distance(a) < this->distance(b);
        });
        this->reported = hosts;
        this->candidates = std::move(hosts);
        for (const auto& seed : this->seeds) {
            const bool is_reported =
                std::any_of(this->reported.begin(), this->reported.end(),
                            [&seed](const auto& each) { return each.name == seed; });
            if (!is_reported) {
                this->candidates.push_back({seed, {}});
            }
        }
    }

    // Returns 0 for a control host in the own failure domain, 1 in the own region, 2 elsewhere.
    int distance(const control_host_info& host) const
    {
        if (host.domain == this->own_domain) {
            return 0;
        }
        const auto own = this->regions.find(this->own_domain);
        const auto other = this->regions.find(host.domain);
        const bool same_region = own != this->regions.end() && other != this->regions.end() &&
                                 own->second == other->second;
        return same_region ? 1 : 2;
    }

    // Selects the next candidate by distance, skipping the current control host.
    bool select_next(time_point now)
    {
        if (this->candidates.empty()) {
            return false;
        }
        auto index = this->next_nearest_index++ % this->candidates.size();
        if (this->candidates[index].name == this->selected) {
            index = this->next_nearest_index++ % this->candidates.size();
        }
        return this->select(now, index);
    }

    // Selects the next candidate that wasn't abandoned, regardless of distance, from a start index
    // that few other hosts use. A fault that isolated the current control host probably isolated
    // those nearby, and all entry hosts of a region search at the same time.
    bool select_next_anywhere(time_point now)
    {
        this->abandoned.insert(this->selected);
        const auto size = this->candidates.size();
        const auto was_abandoned = [this](const auto& each) {
            return this->abandoned.contains(each.name);
        };
        if (std::all_of(this->candidates.begin(), this->candidates.end(), was_abandoned)) {
            this->abandoned = {this->selected};
        }
        // The current control host may be the only candidate.
        auto index = this->next_any_index++ % size;
        for (std::size_t each = 1; each < size && was_abandoned(this->candidates[index]); ++each) {
            index = this->next_any_index++ % size;
        }
        return this->select(now, index);
    }

    // Returns whether the candidate differs from the current control host.
    bool select(time_point now, std::size_t index)
    {
        this->selected_at = now;
        this->isolated_since.reset();
        const bool changed = this->candidates[index].name != this->selected;
        this->selected = this->candidates[index].name;
        return changed;
    }

    std::string own_domain;
    dispatch::domain_regions regions;
    std::vector<std::string> seeds;
    // The control hosts reported by updates, the nearest first, and all candidates: these and then
    // the other seeds.
    std::vector<control_host_info> reported;
    std::vector<control_host_info> candidates;
    // The indexes, modulo the number of candidates, of the candidates that the next calls of
    // select_next() and select_next_anywhere() try first.
    std::size_t next_nearest_index{};
    std::size_t next_any_index{};
    // Whether the arbitrary first selection has been replaced by the nearest control host.
    bool has_selected_nearest{};
    std::string selected;
    time_point selected_at;
    time_point last_update;
    time_point last_contact;
    // Since when the current control host has reported that it is isolated.
    std::optional<time_point> isolated_since;
    // The control hosts abandoned because of isolation since the last contact.
    std::set<std::string> abandoned;
};

} // namespace bth::fleet
