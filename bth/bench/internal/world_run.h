// The clock and the dispatch of bth::bench::world.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bth::bench {

template <decider Decider>
world<Decider>::world(const site& given, const run_plan& todo, factory maker)
    : place{given}, model{*given.model}, plan{todo}, make{std::move(maker)}, random{todo.seed},
      links{*given.model}, checks{*given.model}, load(given.model->domains.size(), todo.load)
{
    this->targets.rows.resize(this->model.targets.size());
    this->hosts.resize(this->model.hosts.size());
    this->measured.classes.resize(this->model.classes.size());
    for (std::size_t home = 0; home < this->model.domains.size(); ++home) {
        for (std::size_t service = 0; service < this->model.services.size(); ++service) {
            for (std::size_t level = 0; level < this->model.classes.size(); ++level) {
                const auto domain = domain_id::from_index(home);
                const auto kind = service_id::from_index(service);
                generator row{domain, kind, class_id::from_index(level), 0.0, {}, 0};
                row.full_rate =
                    full_load(this->model, domain, kind).value() * class_parts.at(level);
                this->generators.push_back(row);
            }
        }
    }
}

template <decider Decider>
clock_reading world<Decider>::clocks() const
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
    return {this->now, wall_begin + since};
}

template <decider Decider>
template <class Line>
void world<Decider>::say(Line line)
{
    if (this->watch && this->now >= time_point{this->plan.warm_up}) {
        this->watch(this->now, line());
    }
}

template <decider Decider>
template <class Line>
void world<Decider>::say_of(std::uint32_t request, Line line)
{
    this->say([&] { return "request " + std::to_string(request) + ": " + line(); });
}

template <decider Decider>
std::string world<Decider>::describe(const request_row& row) const
{
    return this->model.at(row.service).name + ", class " + this->model.at(row.caller_class).name +
           ", home " + this->model.at(row.home).name +
           (row.repeatable ? "" : ", may not be repeated");
}

template <decider Decider>
void world<Decider>::begin()
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->hosts[index].model = this->place.model;
        this->start_host(host_id::from_index(index));
    }
    for (std::size_t index = 0; index < this->generators.size(); ++index) {
        this->events.push(this->now, event_kind::caller_next, static_cast<std::uint32_t>(index),
                          begins);
    }
    for (std::size_t index = 0; index < this->plan.changes.size(); ++index) {
        this->events.push(time_point{this->plan.changes[index].at}, event_kind::change,
                          static_cast<std::uint32_t>(index));
    }
}

// Looks at what is sampled rather than told.
template <decider Decider>
void world<Decider>::sample()
{
    this->checks.sample(this->now);
    if (this->now == time_point{this->plan.warm_up}) {
        this->checks.clear_peaks();
    }
    for (fake_target& each : this->targets.rows) {
        each.past.push_back(each.in_flight());
        if (each.past.size() > report_lag) {
            each.past.pop_front();
        }
    }
    if (this->now.time_since_epoch() % platform_interval == duration{}) {
        this->sample_platform();
    }
}

template <decider Decider>
outcome world<Decider>::run()
{
    this->begin();
    const time_point end{this->plan.length + settle_time};
    time_point next_sample{sample_interval};
    while (!this->events.empty()) {
        const event next = this->events.pop();
        for (; next_sample <= next.at; next_sample += sample_interval) {
            this->now = next_sample;
            this->sample();
        }
        if (next.at > end) {
            break;
        }
        this->now = next.at;
        this->handle(next);
    }
    for (std::size_t index = 0; index < rule_count; ++index) {
        this->measured.breaches.at(index) = this->checks.at(static_cast<rule>(index));
    }
    this->measured.peaks = this->checks.peak();
    this->measured.requests = this->requests.size();
    return std::move(this->measured);
}

// The entry host whose process handles the event; nothing for events outside of entry hosts.
template <decider Decider>
std::optional<host_id> world<Decider>::host_of(const event& what) const
{
    switch (what.kind) {
    case event_kind::host_arrival:
    case event_kind::host_cancel:
        return this->visits[what.subject].host;
    case event_kind::host_result:
    case event_kind::attempt_limit:
        return this->visits[this->attempts[what.subject].visit].host;
    case event_kind::host_message:
        return this->messages[what.subject].to;
    case event_kind::host_tick:
    case event_kind::host_reports:
    case event_kind::host_platform:
    case event_kind::peer_lost:
    case event_kind::apply:
        return host_id::from_index(what.subject);
    default:
        return std::nullopt;
    }
}

template <decider Decider>
void world<Decider>::handle(const event& what)
{
    if (const auto host = this->host_of(what)) {
        host_row& row = this->hosts[host->index()];
        if (row.frozen) {
            row.deferred.push_back(what);
            return;
        }
    }
    switch (what.kind) {
    case event_kind::caller_next:
        return this->caller_next(what.subject, what.detail != begins);
    case event_kind::host_arrival:
        return this->host_arrival(what.subject);
    case event_kind::host_message:
        return this->host_message(what.subject);
    case event_kind::host_tick:
        return this->host_tick(host_id::from_index(what.subject));
    case event_kind::host_reports:
        return this->host_reports(host_id::from_index(what.subject));
    case event_kind::host_platform:
        return this->host_platform(host_id::from_index(what.subject));
    case event_kind::host_result:
        return this->host_result(what.subject);
    case event_kind::host_cancel:
        return this->host_cancel(what.subject);
    case event_kind::target_arrival:
        return this->target_arrival(what.subject);
    case event_kind::target_done:
        return this->target_done(what.subject);
    case event_kind::target_cancel:
        return this->target_cancel(what.subject);
    case event_kind::attempt_limit:
        return this->attempt_limit(what.subject);
    case event_kind::caller_limit:
        return this->caller_limit(what.subject);
    case event_kind::caller_final: {
        const visit_row& visit = this->visits[what.subject];
        const bool refused = visit.state == final_state::refused;
        return this->finish_request(visit.request, visit.state, refused ? &visit.refusal : nullptr);
    }
    case event_kind::connect_failed:
        return this->connect_failed(what.subject);
    case event_kind::peer_lost:
        return this->lose_peer(host_id::from_index(what.subject), host_id::from_index(what.detail));
    case event_kind::change:
        return this->make_change(this->plan.changes[what.subject]);
    case event_kind::apply:
        return this->apply_model(host_id::from_index(what.subject));
    }
}

} // namespace bth::bench
