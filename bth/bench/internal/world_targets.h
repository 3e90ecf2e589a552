// The targets of bth::bench::world.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>

namespace bth::bench {

template <decider Decider>
void world<Decider>::count_in_flight(std::uint32_t index, int change)
{
    const attempt_row& attempt = this->attempts[index];
    const domain_id domain = this->model.at(*attempt.target).domain;
    this->checks.in_flight(domain, change, !this->visits[attempt.visit].foreign, this->now);
}

template <decider Decider>
void world<Decider>::target_arrival(std::uint32_t index)
{
    attempt_row& attempt = this->attempts[index];
    const target_id id = *attempt.target;
    fake_target& target = this->targets.at(id);
    const time_point back = this->now + this->place.delay.within_domain;
    if (!target.alive) {
        if (!attempt.over) {
            this->give_result(index, steering::attempt_outcome::connect_failed, back);
        }
        return;
    }
    if (attempt.over) {
        return;
    }
    if (target.in_flight() >= this->model.at(id).slots) {
        this->checks.broken(rule::slots, this->now, this->model.at(id).name);
    }
    if (target.waiting.size() >= target_queue_limit) {
        attempt.result.shed = true;
        this->give_result(index, steering::attempt_outcome::not_run, back);
        return;
    }
    attempt.at_target = true;
    this->count_in_flight(index, 1);
    if (target.running.size() < this->model.at(id).slots) {
        this->start(id, index);
    }
    else {
        target.waiting.push_back(index);
    }
}

template <decider Decider>
void world<Decider>::start(target_id id, std::uint32_t index)
{
    fake_target& target = this->targets.at(id);
    target.running.push_back(index);
    request_row& request = this->requests[this->visits[this->attempts[index].visit].request];
    const domain_id domain = this->model.at(id).domain;
    this->checks.started(domain, request.service, request.home);
    ++this->measured.runs;
    this->say_of(this->visits[this->attempts[index].visit].request,
                 [&] { return this->model.at(id).name + " begins to run it"; });
    ++request.runs;
    if (!request.repeatable && request.runs > 1) {
        this->checks.broken(rule::one_run, this->now, this->model.at(id).name);
    }
    if (request.said_not_run) {
        this->checks.broken(rule::truthful, this->now, this->model.at(id).name);
    }
    boost::random::exponential_distribution<double> spread{1.0};
    const double factor = std::min(spread(this->random), longest_service) * target.time_factor();
    const std::chrono::duration<double, std::micro> time{
        static_cast<double>(this->model.at(request.service).service_time.count()) * factor};
    this->events.push(this->now + std::chrono::duration_cast<duration>(time),
                      event_kind::target_done, index);
    const request_row parent = request;
    this->call_dependencies(id, parent);
}

// A target calls what its service depends on when it starts; its own answer doesn't wait for that.
template <decider Decider>
void world<Decider>::call_dependencies(target_id id, const request_row& parent)
{
    const domain_id home = this->model.at(id).domain;
    for (const config::dependency& each : this->model.at(parent.service).depends_on) {
        const auto calls = static_cast<int>(each.fan_out);
        for (int call = 0; call < calls; ++call) {
            const generator& from = this->generator_of(home, each.service, parent.caller_class);
            this->send_request(this->make_request(from, 0, false, parent.deadline));
        }
    }
}

template <decider Decider>
void world<Decider>::target_done(std::uint32_t index)
{
    attempt_row& attempt = this->attempts[index];
    fake_target& target = this->targets.at(*attempt.target);
    if (!attempt.at_target || target.life != attempt.target_life) {
        return;
    }
    target.cold_answers -= target.cold_answers > 0 ? 1 : 0;
    boost::random::bernoulli_distribution<double> breaks{target.broken_part};
    const bool broken = target.broken_part > 0 && breaks(this->random);
    this->give_result(
        index, broken ? steering::attempt_outcome::broken : steering::attempt_outcome::answered,
        this->now + this->place.delay.within_domain);
    this->leave_target(index);
}

template <decider Decider>
void world<Decider>::target_cancel(std::uint32_t index)
{
    const attempt_row& attempt = this->attempts[index];
    if (attempt.at_target && this->targets.at(*attempt.target).life == attempt.target_life) {
        this->leave_target(index);
    }
}

// Frees what the attempt held at the target and starts the next that waits there.
template <decider Decider>
void world<Decider>::leave_target(std::uint32_t index)
{
    attempt_row& attempt = this->attempts[index];
    const target_id id = *attempt.target;
    fake_target& target = this->targets.at(id);
    attempt.at_target = false;
    this->count_in_flight(index, -1);
    std::erase(target.running, index);
    std::erase(target.waiting, index);
    if (target.leaving_since && target.in_flight() == 0) {
        this->measured.drain_time =
            std::max(this->measured.drain_time, this->now - *target.leaving_since);
    }
    if (!target.waiting.empty() && target.running.size() < this->model.at(id).slots) {
        const std::uint32_t next = target.waiting.front();
        target.waiting.pop_front();
        this->start(id, next);
    }
}

template <decider Decider>
void world<Decider>::word_of_leaving(target_id id)
{
    fake_target& target = this->targets.at(id);
    if (!target.leaving_since) {
        target.leaving_since = this->now;
    }
}

} // namespace bth::bench
