// The changes that a plan makes to bth::bench::world.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bth::bench {

template <decider Decider>
template <class Each>
void world<Decider>::for_hosts_of(domain_id domain, Each each)
{
    for (std::size_t index = 0; index < this->model.hosts.size(); ++index) {
        if (this->model.hosts[index].domain == domain) {
            each(host_id::from_index(index));
        }
    }
}

template <decider Decider>
template <class Each>
void world<Decider>::for_targets_of(domain_id domain, Each each)
{
    for (std::size_t index = 0; index < this->model.targets.size(); ++index) {
        if (this->model.targets[index].domain == domain) {
            each(target_id::from_index(index));
        }
    }
}

template <decider Decider>
void world<Decider>::make_change(const change& what)
{
    const auto domain = domain_id::from_index(what.subject);
    const auto host = host_id::from_index(what.subject);
    const auto target = target_id::from_index(what.subject);
    const auto region = region_id::from_index(what.subject);
    const auto other = region_id::from_index(static_cast<std::size_t>(std::max(what.value, 0.0)));
    this->say([&] {
        return "change: " + std::string{to_string(what.kind)} + " " + std::to_string(what.subject);
    });
    switch (what.kind) {
    case change_kind::domain_load:
        this->load.at(what.subject) = what.value;
        return;
    case change_kind::domain_down:
        this->for_hosts_of(domain, [&](host_id each) { this->kill_host(each); });
        this->for_targets_of(domain, [&](target_id each) { this->kill_target(each); });
        return;
    case change_kind::domain_up:
        this->for_targets_of(domain, [&](target_id each) { this->start_target(each); });
        this->for_hosts_of(domain, [&](host_id each) { this->start_host(each); });
        return;
    case change_kind::host_kill:
        return this->kill_host(host);
    case change_kind::host_start:
        return this->start_host(host);
    case change_kind::host_freeze:
        this->hosts[what.subject].frozen = true;
        this->hosts[what.subject].last_disturbed = this->now;
        return;
    case change_kind::host_thaw:
        return this->thaw_host(host);
    case change_kind::regions_cut:
        return this->cut(region, other, true);
    case change_kind::regions_heal:
        return this->cut(region, other, false);
    case change_kind::target_kill:
        return this->kill_target(target);
    case change_kind::target_start:
        return this->start_target(target);
    case change_kind::target_cold:
        this->targets.at(target).cold_answers = answers_until_warm;
        return;
    case change_kind::target_reports:
        this->targets.at(target).reports = static_cast<report_mode>(static_cast<int>(what.value));
        return;
    case change_kind::target_slowdown:
        this->targets.at(target).slowdown = what.value;
        return;
    case change_kind::target_breaks:
        this->targets.at(target).broken_part = what.value;
        return;
    case change_kind::target_leaves:
        this->targets.at(target).leaving = true;
        return;
    case change_kind::drain_domain:
        return this->drain_domain(domain, static_cast<int>(what.value));
    case change_kind::platform_silence:
        this->platform_silent = what.value > 0;
        return;
    }
}

// Keeps the platform's lists of the last seconds, of which hosts hear the oldest.
template <decider Decider>
void world<Decider>::sample_platform()
{
    steering::platform_list list;
    for (std::size_t index = 0; index < this->targets.rows.size(); ++index) {
        const fake_target& row = this->targets.rows[index];
        if (row.alive) {
            (row.leaving ? list.leaving_targets : list.live_targets)
                .push_back(target_id::from_index(index));
        }
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].alive) {
            list.live_hosts.push_back(host_id::from_index(index));
        }
    }
    this->lists.push_back(std::move(list));
    if (this->lists.size() > platform_lag) {
        this->lists.pop_front();
    }
}

template <decider Decider>
void world<Decider>::kill_host(host_id id)
{
    host_row& host = this->hosts[id.index()];
    if (!host.alive || !host.core) {
        return;
    }
    host.alive = false;
    host.frozen = false;
    host.deferred.clear();
    host.last_disturbed = this->now;
    host.core.reset();
    for (std::uint32_t index = 0; index < this->visits.size(); ++index) {
        visit_row& visit = this->visits[index];
        if (visit.over || visit.host != id || !visit.arrived_yet) {
            continue;
        }
        if (visit.attempt != no_row && this->attempts[visit.attempt].target) {
            this->cancel_attempt(visit.attempt);
        }
        this->end_visit(index, final_state::lost);
    }
    for (std::size_t peer = 0; peer < this->hosts.size(); ++peer) {
        if (this->hosts[peer].alive) {
            this->events.push(this->now + this->place.delay.between_domains, event_kind::peer_lost,
                              static_cast<std::uint32_t>(peer), id.value());
        }
    }
}

template <decider Decider>
void world<Decider>::start_host(host_id id)
{
    host_row& host = this->hosts[id.index()];
    if (host.core) {
        return;
    }
    host.alive = true;
    host.life = incarnation{host.life.value() + 1};
    host.last_disturbed = this->now;
    const std::uint64_t seed = this->plan.seed * 1000 + id.value() + host.life.value() * 100;
    const host_setup setup{this->model.at(id).name, id, host.life, seed};
    host.core.emplace(this->make(setup, this->targets));
    this->perform(id, host.core->apply(host.model, host.number, this->clocks()));
    if (host.life == incarnation{1}) {
        const duration phase = std::chrono::milliseconds{5} * (id.value() % 10);
        this->events.push(this->now + phase, event_kind::host_tick, id.value());
        this->events.push(this->now + phase, event_kind::host_reports, id.value());
        this->events.push(this->now + phase, event_kind::host_platform, id.value());
    }
}

// What waited arrives all at once, before anything newer.
template <decider Decider>
void world<Decider>::thaw_host(host_id id)
{
    host_row& host = this->hosts[id.index()];
    if (!host.frozen) {
        return;
    }
    host.frozen = false;
    host.last_disturbed = this->now;
    for (const event& each : std::exchange(host.deferred, {})) {
        this->events.push(this->now, each.kind, each.subject, each.detail);
    }
}

template <decider Decider>
void world<Decider>::kill_target(target_id id)
{
    fake_target& target = this->targets.at(id);
    if (!target.alive) {
        return;
    }
    target.alive = false;
    ++target.life;
    std::vector<std::uint32_t> lost{target.running};
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.running.clear();
    target.waiting.clear();
    for (const std::uint32_t index : lost) {
        this->attempts[index].at_target = false;
        this->count_in_flight(index, -1);
        this->give_result(index, steering::attempt_outcome::broken,
                          this->now + this->place.delay.within_domain);
    }
}

template <decider Decider>
void world<Decider>::start_target(target_id id)
{
    fake_target& target = this->targets.at(id);
    if (target.alive) {
        return;
    }
    target.alive = true;
    target.cold_answers = answers_until_warm;
}

template <decider Decider>
void world<Decider>::cut(region_id a, region_id b, bool is_cut)
{
    if (a == b || this->links.is_cut(a, b) == is_cut) {
        return;
    }
    this->links.cut(a, b, is_cut);
    this->active_cuts += is_cut ? 1 : -1;
    this->last_cut = this->now;
    for (std::uint32_t first = 0; is_cut && first < this->hosts.size(); ++first) {
        for (std::uint32_t second = 0; second < this->hosts.size(); ++second) {
            const region_id from = this->region_of(this->model.hosts[first].domain);
            const region_id to = this->region_of(this->model.hosts[second].domain);
            if ((from == a && to == b) || (from == b && to == a)) {
                this->events.push(this->now + cut_noticed_after, event_kind::peer_lost, first,
                                  second);
            }
        }
    }
}

template <decider Decider>
void world<Decider>::drain_domain(domain_id domain, int late_host)
{
    // A later drain leaves the earlier ones in the text.
    auto next =
        std::make_shared<config::model>(this->drained_model ? *this->drained_model : this->model);
    next->drains.push_back({domain, this->clocks().wall});
    this->drained_model = next;
    for (std::uint32_t index = 0; index < this->hosts.size(); ++index) {
        const bool late = static_cast<int>(index) == late_host;
        this->events.push(this->now + (late ? late_edit_delay : edit_delay), event_kind::apply,
                          index);
    }
}

} // namespace bth::bench
