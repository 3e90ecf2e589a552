// What the deciders' actions do in bth::bench::world, as the shell performs them.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <variant>

namespace bth::bench {

template <decider Decider>
void world<Decider>::perform(host_id host, const steering::actions& actions)
{
    for (const steering::action& each : actions) {
        std::visit([&](const auto& what) { this->act(host, what); }, each);
    }
}

// Whether the decider may still act on a request: it is here and isn't answered yet.
template <decider Decider>
bool world<Decider>::may_act(host_id host, request_id id, std::string_view what)
{
    if (id.index() >= this->visits.size() || this->visits[id.index()].host != host) {
        this->checks.broken(rule::own_answer, this->now, what);
        return false;
    }
    const visit_row& visit = this->visits[id.index()];
    if (visit.over || visit.attempt != no_row) {
        this->checks.broken(rule::one_answer, this->now, what);
        return false;
    }
    return true;
}

template <decider Decider>
std::uint32_t world<Decider>::new_attempt(std::uint32_t visit, time_point deadline)
{
    const auto index = static_cast<std::uint32_t>(this->attempts.size());
    attempt_row row;
    row.visit = visit;
    row.result.id = request_id{visit};
    this->attempts.push_back(row);
    this->visits[visit].attempt = index;
    this->events.push(std::max(deadline, this->now), event_kind::attempt_limit, index);
    return index;
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::send_to_target& what)
{
    if (!this->may_act(host, what.id, "send")) {
        return;
    }
    const auto visit = static_cast<std::uint32_t>(what.id.value());
    const request_row& request = this->requests[this->visits[visit].request];
    const fake_target& target = this->targets.at(what.target);
    if (target.leaving_since && this->now >= *target.leaving_since + std::chrono::seconds{2}) {
        this->checks.broken(rule::leaving, this->now, this->model.at(what.target).name);
    }
    const priority_level level =
        this->model.at(request.service).priority.at(request.caller_class.index());
    this->checks.admitted(host, request.service, level, this->visits[visit].waiting_since,
                          this->now);
    this->say_of(this->visits[visit].request, [&] {
        return this->model.at(host).name + " sends it to " + this->model.at(what.target).name;
    });
    const std::uint32_t index = this->new_attempt(visit, what.deadline);
    this->attempts[index].target = what.target;
    this->attempts[index].target_life = target.life;
    this->events.push(this->now + this->place.delay.within_domain, event_kind::target_arrival,
                      index);
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::forward_to_host& what)
{
    if (!this->may_act(host, what.id, "forward")) {
        return;
    }
    const auto visit = static_cast<std::uint32_t>(what.id.value());
    const std::uint32_t request = this->visits[visit].request;
    this->say_of(request, [&] {
        return this->model.at(host).name + " forwards it to " + this->model.at(what.host).name;
    });
    const bool crosses = this->domain_of(host) != this->domain_of(what.host);
    const std::uint32_t index = this->new_attempt(visit, what.deadline);
    const auto there = static_cast<std::uint32_t>(this->visits.size());
    visit_row row;
    row.request = request;
    row.host = what.host;
    row.parent = index;
    row.hops = what.hops;
    row.retry = what.retry;
    row.foreign = crosses || this->visits[visit].foreign;
    this->visits.push_back(row);
    this->attempts[index].peer_visit = there;
    const byte_count bytes = this->model.at(this->requests[request].service).request_bytes;
    if (const auto at = this->travel(this->domain_of(host), this->domain_of(what.host), bytes)) {
        this->events.push(*at, event_kind::host_arrival, there);
    }
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::refuse& what)
{
    if (!this->may_act(host, what.id, "refuse")) {
        return;
    }
    visit_row& visit = this->visits[what.id.index()];
    const request_row& request = this->requests[visit.request];
    const priority_level level =
        this->model.at(request.service).priority.at(request.caller_class.index());
    this->checks.refused(host, request.service, level, what.reason, this->now);
    visit.refusal = what;
    this->say_of(visit.request, [&] {
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(what.retry_after).count();
        return this->model.at(host).name + " refuses it: " + std::string{to_string(what.reason)} +
               ", run " + std::string{to_string(what.run)} + ", come back in " +
               std::to_string(wait) + " ms";
    });
    this->end_visit(static_cast<std::uint32_t>(what.id.value()), final_state::refused);
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::abort_attempt& what)
{
    visit_row& visit = this->visits.at(what.id.index());
    if (visit.over || visit.host != host) {
        return;
    }
    if (visit.attempt != no_row) {
        this->cancel_attempt(visit.attempt);
        this->attempts[visit.attempt].over = true;
        visit.attempt = no_row;
    }
    visit.over = true;
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::send_message& what)
{
    ++this->measured.messages;
    if (const auto* grant = std::get_if<steering::capacity_grant>(&what.message)) {
        this->checks.grant(host, what.to, *grant, this->now);
    }
    if (const auto* given = std::get_if<steering::handover>(&what.message)) {
        this->checks.handed_over(host, what.to, given->service);
    }
    const auto at = this->travel(this->domain_of(host), this->domain_of(what.to), message_bytes);
    if (at) {
        const auto index = static_cast<std::uint32_t>(this->messages.size());
        this->messages.push_back({host, what.to, what.message});
        this->events.push(*at, event_kind::host_message, index);
    }
}

template <decider Decider>
void world<Decider>::act(host_id host, const steering::count_retry& what)
{
    ++this->measured.retries;
    this->say_of(this->visits[what.id.index()].request, [&] {
        return this->model.at(host).name +
               " tries it again: " + std::string{to_string(what.reason)};
    });
}

} // namespace bth::bench
