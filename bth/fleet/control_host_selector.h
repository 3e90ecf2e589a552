// The control host to which an entry host is attached.
//
//   control_choice choice{own_domain, regions, seeds, first};
//   attach(choice.serving());
//   choice.hear(now, in_contact, control_hosts_named);   // on each update
//   if (choice.step(now)) { attach(choice.serving()); }
//
// A control host that falls silent, or is out of contact with the others, is left for another one.
// Load pattern: all control hosts are lost at once and come back one by one; the first of them
// knows nobody but itself and may stay apart. So one that is out of contact can add to the known
// control hosts but not strike any, and the seeds stay candidates whoever speaks.//
// Or the control hosts are split, and a change is agreed on by the larger part, which may be the
// one that few know. So control hosts that are out of contact are passed by quickly.
#pragma once

#include "bth/dispatch/board.h"
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

class control_choice {
public:
    // Updates come every 400 ms, so that two are missed.
    static constexpr std::chrono::milliseconds silence_limit{1000};
    // A control host out of contact may be about to regain it: a new leader is known some 300 ms
    // after the loss of the last one shows; with an update interval on top.
    static constexpr std::chrono::milliseconds contact_limit{700};
    // One that has been out of contact ever since it was chosen is left sooner, so that three of
    // them in a row still leave time for a change to be in force after 2.5 s. Not at once, since
    // its first words bring a whole list over a slow link.
    static constexpr std::chrono::milliseconds first_contact_limit{200};

    // `first` spreads hosts that start together over the seeds.
    control_choice(std::string own_domain, dispatch::domain_regions regions,
                   std::vector<std::string> seeds, std::size_t first)
        : own_domain{std::move(own_domain)}, regions{std::move(regions)}, seeds{std::move(seeds)},
          next{first}, next_else{first}
    {
        this->rank({});
    }

    // The control host to report to; empty before the first step.
    const std::string& serving() const { return this->current; }
    time_point heard_at() const { return this->heard; }
    time_point in_contact_at() const { return this->contact; }

    // Takes what the serving control host said.
    void hear(time_point now, bool in_contact, std::vector<control_peer> named)
    {
        this->heard = now;
        if (in_contact) {
            this->contact = now;
            this->lost.reset();
            this->left.clear();
        }
        else {
            this->lost = this->lost.value_or(now);
            named.insert(named.end(), this->named.begin(), this->named.end());
        }
        this->rank(std::move(named));
    }

    // Whether another control host serves from now on.
    bool step(time_point now)
    {
        const bool silent = now - std::max(this->heard, this->chosen) > silence_limit;
        if (this->current.empty() || silent) {
            return this->choose(now);
        }
        if (this->is_astray(now)) {
            return this->choose_anywhere(now);
        }
        const bool nearest_known = !this->candidates.empty() && this->heard > this->chosen &&
                                   this->distance(this->candidates.front()) == 0;
        if (this->near_chosen || !nearest_known) {
            return false;
        }
        // The first choice was any seed; the nearest control host is known by now.
        this->near_chosen = true;
        this->next = 0;
        return this->candidates.front().name != this->current && this->choose(now);
    }

private:
    // Whether the control host has said for too long that it is out of contact.
    bool is_astray(time_point now) const
    {
        const bool was_in_contact = this->contact > this->chosen;
        return this->lost &&
               now - *this->lost > (was_in_contact ? contact_limit : first_contact_limit);
    }

    // Puts the named hosts in order of their distance, with the other seeds behind.
    void rank(std::vector<control_peer> hosts)
    {
        std::sort(hosts.begin(), hosts.end());
        hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
        std::stable_sort(hosts.begin(), hosts.end(), [this](const auto& a, const auto& b) {
            return this->distance(a) < this->distance(b);
        });
        this->named = hosts;
        this->candidates = std::move(hosts);
        for (const auto& seed : this->seeds) {
            const bool is_named =
                std::any_of(this->named.begin(), this->named.end(),
                            [&seed](const auto& each) { return each.name == seed; });
            if (!is_named) {
                this->candidates.push_back({seed, {}});
            }
        }
    }

    // How far away a control host is: 0 in the own failure domain, 1 in the region, 2 elsewhere.
    int distance(const control_peer& host) const
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

    // Moves on to the next candidate; the one that serves isn't its own replacement.
    bool choose(time_point now)
    {
        if (this->candidates.empty()) {
            return false;
        }
        auto found = this->next++ % this->candidates.size();
        if (this->candidates[found].name == this->current) {
            found = this->next++ % this->candidates.size();
        }
        return this->attach(now, found);
    }

    // The same among all, near or far, beginning where few others begin: what cut off the serving
    // one has likely cut off those nearby, and all hosts of a region are looking at once.
    bool choose_anywhere(time_point now)
    {
        this->left.insert(this->current);
        const auto size = this->candidates.size();
        const auto was_left = [this](const auto& each) {
            return this->left.contains(each.name);
        };
        if (std::all_of(this->candidates.begin(), this->candidates.end(), was_left)) {
            this->left = {this->current};
        }
        // The one that serves may be the only candidate.
        auto found = this->next_else++ % size;
        for (std::size_t each = 1; each < size && was_left(this->candidates[found]); ++each) {
            found = this->next_else++ % size;
        }
        return this->attach(now, found);
    }

    bool attach(time_point now, std::size_t found)
    {
        this->chosen = now;
        this->lost.reset();
        const bool changed = this->candidates[found].name != this->current;
        this->current = this->candidates[found].name;
        return changed;
    }

    std::string own_domain;
    dispatch::domain_regions regions;
    std::vector<std::string> seeds;
    // Control hosts that others named, and all that may be chosen, the nearest first.
    std::vector<control_peer> named;
    std::vector<control_peer> candidates;
    std::size_t next{};
    std::size_t next_else{};
    bool near_chosen{};
    std::string current;
    time_point chosen;
    time_point heard;
    time_point contact;
    // Since when the serving one has said that it is out of contact.
    std::optional<time_point> lost;
    // Those that were left for that since the last contact.
    std::set<std::string> left;
};

} // namespace bth::fleet
