// The callers of bth::bench::world: open loop, with cached look-ups.
#pragma once

#include "bth/bench/world.h"

#include <algorithm>
#include <string>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>

namespace bth::bench {

template <decider Decider>
generator& world<Decider>::generator_of(domain_id home, service_id service, class_id caller_class)
{
    const std::size_t by_home = home.index() * this->model.services.size() + service.index();
    return this->generators[by_home * this->model.classes.size() + caller_class.index()];
}

template <decider Decider>
void world<Decider>::caller_next(std::uint32_t index, bool send)
{
    if (this->now >= time_point{this->plan.length}) {
        return;
    }
    generator& row = this->generators[index];
    const double rate = row.full_rate * this->load[row.home.index()];
    if (rate <= 0) {
        this->events.push(this->now + idle_interval, event_kind::caller_next, index, begins);
        return;
    }
    boost::random::exponential_distribution<double> gap{rate};
    const std::chrono::duration<double> wait{gap(this->random)};
    if (send) {
        const std::uint32_t cache = row.next_cache++ % caches_per_generator;
        const auto timeout = this->model.at(row.service).default_timeout;
        this->send_request(this->make_request(row, cache, true, this->now + timeout));
    }
    this->events.push(this->now + std::chrono::duration_cast<duration>(wait),
                      event_kind::caller_next, index);
}

template <decider Decider>
std::uint32_t world<Decider>::make_request(const generator& from, std::uint32_t cache,
                                           bool external, time_point deadline)
{
    const auto index = static_cast<std::uint32_t>(this->requests.size());
    request_row row;
    row.service = from.service;
    row.caller_class = from.caller_class;
    row.home = from.home;
    row.cache = cache;
    row.origin = index;
    row.resends_left = external ? this->plan.resends : 0;
    row.began = this->now;
    row.deadline = deadline;
    boost::random::bernoulli_distribution<double> once{external ? not_repeatable_part : 0.0};
    row.repeatable = !once(this->random);
    row.external = external;
    row.measured = external && this->now >= time_point{this->plan.warm_up};
    this->requests.push_back(row);
    if (row.measured) {
        ++this->measured.classes[row.caller_class.index()].offered;
    }
    this->events.push(deadline + caller_patience, event_kind::caller_limit, index);
    return index;
}

// An entry host that answers look-ups to callers of `home`: one of its own domain, else of others.
template <decider Decider>
std::optional<host_id> world<Decider>::any_host(domain_id home) const
{
    const auto usable = [&](std::size_t index) {
        const host_row& row = this->hosts[index];
        const domain_id domain = this->model.hosts[index].domain;
        return row.alive && !row.frozen &&
               !this->links.is_cut(this->region_of(home), this->region_of(domain));
    };
    std::optional<host_id> other;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (!usable(index)) {
            continue;
        }
        if (this->model.hosts[index].domain == home) {
            return host_id::from_index(index);
        }
        other = other ? other : host_id::from_index(index);
    }
    return other;
}

template <decider Decider>
void world<Decider>::refresh(generator& from, cached_lookup& cache)
{
    const auto host = this->any_host(from.home);
    if (!host) {
        cache.hosts.clear();
        return;
    }
    const steering::lookup_query query{from.home, from.service, from.caller_class};
    steering::lookup_answer answer = this->hosts[host->index()].core->lookup(query, this->now);
    cache.hosts = std::move(answer.hosts);
    cache.expires = this->now + answer.max_age;
    this->say([&] {
        std::string line = "look-up of " + this->model.at(from.service).name + " for class " +
                           this->model.at(from.caller_class).name + ", home " +
                           this->model.at(from.home).name + ", at " + this->model.at(*host).name +
                           ":";
        for (const host_id each : cache.hosts) {
            line += " " + this->model.at(each).name;
        }
        return line + "; max-age " + std::to_string(answer.max_age.count()) + " s";
    });
}

template <decider Decider>
void world<Decider>::send_request(std::uint32_t request)
{
    request_row& row = this->requests[request];
    generator& from = this->generator_of(row.home, row.service, row.caller_class);
    cached_lookup& cache = from.caches.at(row.cache);
    if (cache.hosts.empty() || cache.expires <= this->now) {
        this->refresh(from, cache);
    }
    if (cache.hosts.empty()) {
        this->finish_request(request, final_state::lost, nullptr);
        return;
    }
    const host_id host = cache.hosts.front();
    const auto visit = static_cast<std::uint32_t>(this->visits.size());
    visit_row made;
    made.request = request;
    made.host = host;
    this->visits.push_back(made);
    row.visit = visit;
    this->say_of(request,
                 [&] { return this->describe(row) + ", to " + this->model.at(host).name; });
    ++row.hosts_tried;
    const byte_count bytes = this->model.at(row.service).request_bytes;
    const duration last_mile = row.external ? this->place.delay.to_callers : duration{};
    if (const auto at = this->travel(row.home, this->domain_of(host), bytes)) {
        this->events.push(*at + last_mile, event_kind::host_arrival, visit);
    }
    else {
        this->events.push(this->now + idle_interval, event_kind::connect_failed, visit);
    }
}

// A host that failed goes to the end of the caller's look-up answer.
template <decider Decider>
void world<Decider>::put_last(const request_row& row, host_id host)
{
    cached_lookup& cache =
        this->generator_of(row.home, row.service, row.caller_class).caches.at(row.cache);
    if (!cache.hosts.empty() && cache.hosts.front() == host) {
        std::rotate(cache.hosts.begin(), cache.hosts.begin() + 1, cache.hosts.end());
    }
}

// The caller takes the next host of its look-up answer.
template <decider Decider>
void world<Decider>::connect_failed(std::uint32_t visit)
{
    visit_row& ended = this->visits[visit];
    request_row& row = this->requests[ended.request];
    ended.over = true;
    if (row.state != final_state::open) {
        return;
    }
    this->put_last(row, ended.host);
    if (row.hosts_tried >= most_hosts_tried) {
        this->finish_request(ended.request, final_state::lost, nullptr);
        return;
    }
    this->send_request(ended.request);
}

// The caller gives up. A host that was well all the time should have answered before.
template <decider Decider>
void world<Decider>::caller_limit(std::uint32_t request)
{
    request_row& row = this->requests[request];
    if (row.state != final_state::open) {
        return;
    }
    if (row.visit != no_row) {
        const visit_row& visit = this->visits[row.visit];
        const host_row& host = this->hosts[visit.host.index()];
        const bool disturbed = !host.alive || host.frozen || host.last_disturbed >= row.began ||
                               this->active_cuts > 0 || this->last_cut >= row.began;
        if (visit.arrived_yet && !disturbed) {
            this->checks.broken(rule::one_answer, this->now, "none in time");
        }
        if (!visit.over) {
            this->events.push(this->now, event_kind::host_cancel, row.visit);
            this->put_last(row, visit.host);
        }
    }
    this->finish_request(request, final_state::lost, nullptr);
}

template <decider Decider>
void world<Decider>::finish_request(std::uint32_t request, final_state state,
                                    const steering::refuse* refusal)
{
    request_row& row = this->requests[request];
    if (row.state != final_state::open) {
        return;
    }
    row.state = state;
    this->say_of(request, [&] {
        const auto micro =
            std::chrono::duration_cast<std::chrono::microseconds>(this->now - row.began).count();
        const std::string what = state == final_state::served    ? "answer"
                                 : state == final_state::refused ? "refusal"
                                                                 : "no answer";
        return "the caller has " + what + " after " + std::to_string(micro) + " us";
    });
    const bool failed = state != final_state::served;
    if (failed && refusal != nullptr && refusal->run == run_state::no) {
        row.said_not_run = true;
        if (row.runs > 0) {
            this->checks.broken(rule::truthful, this->now, to_string(refusal->reason));
        }
    }
    if (failed && row.resends_left > 0 && this->now < row.deadline) {
        this->resend(request);
        return;
    }
    this->tally(row, refusal);
}

template <decider Decider>
void world<Decider>::tally(const request_row& row, const steering::refuse* refusal)
{
    const request_row& origin = this->requests[row.origin];
    if (!origin.measured) {
        return;
    }
    class_outcome& counts = this->measured.classes[row.caller_class.index()];
    if (row.state == final_state::served) {
        ++counts.served;
        counts.latency.add(this->now - origin.began);
        this->measured.latency.add(this->now - origin.began);
    }
    else if (row.state == final_state::refused && refusal != nullptr) {
        ++this->measured.refusals.at(static_cast<std::size_t>(refusal->reason));
    }
    else {
        ++counts.lost;
    }
}

template <decider Decider>
void world<Decider>::resend(std::uint32_t request)
{
    const request_row old = this->requests[request];
    if (!old.repeatable && !old.said_not_run) {
        this->tally(old, nullptr);
        return;
    }
    const auto index = static_cast<std::uint32_t>(this->requests.size());
    request_row next = old;
    next.origin = old.origin;
    next.resends_left = old.resends_left - 1;
    next.runs = 0;
    next.hosts_tried = 0;
    next.visit = no_row;
    next.said_not_run = false;
    next.measured = false;
    next.state = final_state::open;
    this->requests.push_back(next);
    this->events.push(next.deadline + caller_patience, event_kind::caller_limit, index);
    this->send_request(index);
}

} // namespace bth::bench
