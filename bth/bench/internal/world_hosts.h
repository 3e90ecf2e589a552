// The entry hosts of bth::bench::world: they call their decider as the shell does.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace bth::bench {

template <decider Decider>
region_id world<Decider>::region_of(domain_id domain) const
{
    return this->model.at(domain).region;
}

template <decider Decider>
domain_id world<Decider>::domain_of(host_id host) const
{
    return this->model.at(host).domain;
}

// When bytes sent now arrive; nothing if they are lost.
template <decider Decider>
std::optional<time_point> world<Decider>::travel(domain_id from, domain_id to, byte_count bytes)
{
    const region_id first = this->region_of(from);
    const region_id second = this->region_of(to);
    if (first != second) {
        const auto at = this->links.send(first, second, bytes, this->now);
        if (at) {
            this->checks.link_bytes(first, second, bytes);
        }
        return at;
    }
    return this->now +
           (from == to ? this->place.delay.within_domain : this->place.delay.between_domains);
}

template <decider Decider>
void world<Decider>::host_arrival(std::uint32_t index)
{
    visit_row& visit = this->visits[index];
    host_row& host = this->hosts[visit.host.index()];
    const request_row& request = this->requests[visit.request];
    if (!host.alive) {
        visit.over = true;
        if (visit.parent != no_row) {
            this->give_result(visit.parent, steering::attempt_outcome::connect_failed, this->now);
        }
        else {
            this->events.push(this->now + this->place.delay.to_callers, event_kind::connect_failed,
                              index);
        }
        return;
    }
    visit.waiting_since = this->now;
    visit.arrived_yet = true;
    std::optional<host_id> forwarded_by;
    if (visit.parent != no_row) {
        forwarded_by = this->visits[this->attempts[visit.parent].visit].host;
    }
    steering::arrival arrival;
    arrival.id = request_id{index};
    arrival.service = request.service;
    arrival.caller_class = request.caller_class;
    arrival.home = request.home;
    arrival.forwarded_by = forwarded_by;
    arrival.hops = visit.hops;
    arrival.retry = visit.retry;
    arrival.repeatable = request.repeatable;
    arrival.deadline = request.deadline;
    const host_id at = visit.host;
    this->perform(at, host.core->arrive(arrival, this->now));
}

template <decider Decider>
void world<Decider>::host_result(std::uint32_t index)
{
    attempt_row& attempt = this->attempts[index];
    visit_row& visit = this->visits[attempt.visit];
    host_row& host = this->hosts[visit.host.index()];
    if (attempt.over || visit.over || !host.alive) {
        return;
    }
    attempt.over = true;
    visit.attempt = no_row;
    visit.waiting_since = this->now;
    this->say_of(visit.request, [&] {
        return this->model.at(visit.host).name + " sees the try " +
               std::string{outcome_name(attempt.result.outcome)};
    });
    if (attempt.result.outcome == steering::attempt_outcome::answered) {
        const std::uint32_t row = attempt.visit;
        this->end_visit(row, attempt.result.shed ? final_state::lost : final_state::served);
    }
    const host_id at = visit.host;
    this->perform(at, host.core->finished(attempt.result, this->now));
}

template <decider Decider>
void world<Decider>::attempt_limit(std::uint32_t index)
{
    attempt_row& attempt = this->attempts[index];
    if (attempt.over || this->visits[attempt.visit].over) {
        return;
    }
    this->cancel_attempt(index);
    attempt.result.outcome = steering::attempt_outcome::timed_out;
    this->host_result(index);
}

// The result of an attempt, on its way to the host that made it.
template <decider Decider>
void world<Decider>::give_result(std::uint32_t index, steering::attempt_outcome outcome,
                                 time_point at)
{
    attempt_row& attempt = this->attempts[index];
    attempt.result.id = request_id{attempt.visit};
    attempt.result.outcome = outcome;
    this->events.push(at, event_kind::host_result, index);
}

// Ends a visit and sends its answer or refusal to whom it came from.
template <decider Decider>
void world<Decider>::end_visit(std::uint32_t index, final_state state)
{
    visit_row& visit = this->visits[index];
    visit.over = true;
    visit.state = state;
    const request_row& request = this->requests[visit.request];
    const bool served = state == final_state::served;
    const byte_count bytes = served ? this->model.at(request.service).answer_bytes : message_bytes;
    const domain_id own = this->domain_of(visit.host);
    if (visit.parent == no_row) {
        const duration last_mile = request.external ? this->place.delay.to_callers : duration{};
        if (const auto at = this->travel(own, request.home, bytes)) {
            this->events.push(*at + last_mile, event_kind::caller_final, index);
        }
        return;
    }
    attempt_row& parent = this->attempts[visit.parent];
    const auto at = this->travel(own, this->domain_of(this->visits[parent.visit].host), bytes);
    if (!at || parent.over) {
        return;
    }
    using steering::attempt_outcome;
    if (served) {
        this->give_result(visit.parent, attempt_outcome::answered, *at);
        return;
    }
    parent.result.peer_reason = visit.refusal.reason;
    parent.result.retry_after = visit.refusal.retry_after;
    const bool not_run = state == final_state::refused && visit.refusal.run == run_state::no;
    this->give_result(visit.parent, not_run ? attempt_outcome::not_run : attempt_outcome::broken,
                      *at);
}

// Tells the target or peer that nobody waits any more.
template <decider Decider>
void world<Decider>::cancel_attempt(std::uint32_t index)
{
    const attempt_row& attempt = this->attempts[index];
    const domain_id own = this->domain_of(this->visits[attempt.visit].host);
    if (attempt.target) {
        this->events.push(this->now + this->place.delay.within_domain, event_kind::target_cancel,
                          index);
        return;
    }
    const visit_row& there = this->visits[attempt.peer_visit];
    if (const auto at = this->travel(own, this->domain_of(there.host), message_bytes)) {
        this->events.push(*at, event_kind::host_cancel, attempt.peer_visit);
    }
}

// The caller or peer that sent the request has gone.
template <decider Decider>
void world<Decider>::host_cancel(std::uint32_t index)
{
    visit_row& visit = this->visits[index];
    host_row& host = this->hosts[visit.host.index()];
    if (visit.over || !visit.arrived_yet || !host.alive) {
        return;
    }
    if (visit.attempt != no_row) {
        this->cancel_attempt(visit.attempt);
        this->attempts[visit.attempt].over = true;
        visit.attempt = no_row;
    }
    visit.over = true;
    steering::attempt_result result;
    result.id = request_id{index};
    result.outcome = steering::attempt_outcome::cancelled;
    const host_id at = visit.host;
    this->perform(at, host.core->finished(result, this->now));
}

template <decider Decider>
void world<Decider>::host_message(std::uint32_t index)
{
    const message_row row = this->messages[index];
    host_row& host = this->hosts[row.to.index()];
    if (host.alive) {
        this->perform(row.to, host.core->receive(row.from, row.message, this->now));
    }
}

template <decider Decider>
void world<Decider>::host_tick(host_id id)
{
    host_row& host = this->hosts[id.index()];
    if (host.alive) {
        this->perform(id, host.core->tick(this->clocks()));
    }
    this->events.push(this->now + steering::tick_interval, event_kind::host_tick, id.value());
}

template <decider Decider>
void world<Decider>::host_reports(host_id id)
{
    host_row& host = this->hosts[id.index()];
    this->for_targets_of(this->domain_of(id), [&](target_id target) {
        const auto told = report_of(this->targets.at(target), target, this->model.at(target));
        if (!host.alive || !told) {
            return;
        }
        if (told->leaving) {
            this->word_of_leaving(target);
        }
        this->perform(id, host.core->report(*told, this->now));
    });
    this->events.push(this->now + report_interval, event_kind::host_reports, id.value());
}

template <decider Decider>
void world<Decider>::host_platform(host_id id)
{
    host_row& host = this->hosts[id.index()];
    if (host.alive && !this->platform_silent && !this->lists.empty()) {
        const steering::platform_list& list = this->lists.front();
        for (const target_id each : list.leaving_targets) {
            if (this->model.at(each).domain == this->domain_of(id)) {
                this->word_of_leaving(each);
            }
        }
        this->perform(id, host.core->platform(list, this->now));
    }
    this->events.push(this->now + platform_interval, event_kind::host_platform, id.value());
}

// The connection to a peer broke: attempts through it break, and the core drops what came from it.
template <decider Decider>
void world<Decider>::lose_peer(host_id id, host_id peer)
{
    host_row& host = this->hosts[id.index()];
    if (!host.alive) {
        return;
    }
    std::vector<std::uint32_t> from_peer;
    for (std::uint32_t index = 0; index < this->visits.size(); ++index) {
        const visit_row& visit = this->visits[index];
        if (visit.over || visit.host != id) {
            continue;
        }
        if (visit.attempt != no_row && this->attempts[visit.attempt].peer_visit != no_row &&
            this->visits[this->attempts[visit.attempt].peer_visit].host == peer) {
            this->give_result(visit.attempt, steering::attempt_outcome::broken, this->now);
        }
        if (visit.arrived_yet && visit.parent != no_row &&
            this->visits[this->attempts[visit.parent].visit].host == peer) {
            from_peer.push_back(index);
        }
    }
    this->perform(id, host.core->peer_lost(peer, this->now));
    for (const std::uint32_t index : from_peer) {
        this->host_cancel(index);
    }
}

template <decider Decider>
void world<Decider>::apply_model(host_id id)
{
    host_row& host = this->hosts[id.index()];
    host.model = this->drained_model;
    host.number = revision{1 + host.model->drains.size()};
    this->say([&] { return this->model.at(id).name + " takes the operators' new text"; });
    for (const config::drain& each : host.model->drains) {
        const auto* domain = std::get_if<domain_id>(&each.subject);
        if (domain != nullptr && *domain == this->domain_of(id)) {
            this->for_targets_of(*domain, [&](target_id target) { this->word_of_leaving(target); });
        }
    }
    if (host.alive) {
        this->perform(id, host.core->apply(host.model, host.number, this->clocks()));
    }
}

} // namespace bth::bench
