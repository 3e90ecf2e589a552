// Simulates the nodes of a small deployment in virtual time: messages that are delayed, lost or
// blocked by a network partition, requests that are forwarded between nodes, targets with random
// service times, and hosts that crash, restart and freeze.
//
//   site_group site{model, seed};
//   site.offer("a1", web, gold, request_rate{200.0});
//   site.run(std::chrono::seconds{5});
//   CHECK_TRUE(site.first_violation().empty());
#pragma once

#include "bth/steering/limits.h"
#include "bth/steering/node.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bth::steering::testing {

class site_group {
public:
    site_group(std::shared_ptr<const config::model> given, std::uint64_t seed)
        : model{std::move(given)}, generator{seed}
    {
        for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
            this->start(host_id::from_index(index));
        }
        for (std::size_t index = 0; index < this->model->domains.size(); ++index) {
            this->domain_limits.emplace_back(*this->model, domain_id::from_index(index));
        }
        this->schedule(tick_interval, [this] { this->tick(); });
    }

    host_id id(const std::string& name) const { return *config::find_host(*this->model, name); }
    time_point now() const { return this->time; }
    node& at(host_id host) { return *this->hosts.at(host).core; }
    std::uint64_t random_below(std::uint64_t bound)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>{0,
                                                                      bound - 1}(this->generator);
    }

    void start(host_id host)
    {
        this->kill(host);
        const auto& name = this->model->at(host).name;
        host_row& row = this->hosts[host];
        row.incarnation_number = ++this->last_incarnation;
        row.core = std::make_unique<node>(
            node_settings{.host_name = name,
                          .incarnation_number = incarnation{row.incarnation_number},
                          .seed = row.incarnation_number});
        this->perform_all(host, row.core->apply(this->model, revision{1}, {this->time, {}}));
    }
    void kill(host_id host)
    {
        if (this->hosts.erase(host) == 0) {
            return;
        }
        for (auto& [other, row] : this->hosts) {
            if (!row.frozen) {
                this->perform_all(other, row.core->peer_lost(host, this->time));
            }
        }
    }
    void freeze(host_id host) { this->hosts.at(host).frozen = true; }
    void thaw(host_id host)
    {
        host_row& row = this->hosts.at(host);
        row.frozen = false;
        for (const auto& callback : std::exchange(row.deferred, {})) {
            callback();
        }
    }
    bool running(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found != this->hosts.end() && !found->second.frozen;
    }
    bool frozen(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found != this->hosts.end() && found->second.frozen;
    }
    // Blocks the network between a domain and all others.
    void isolate(domain_id domain) { this->isolated_domains.insert(domain); }
    // Ends the isolation of all domains.
    void reconnect_all() { this->isolated_domains.clear(); }
    // Drops this percentage of the messages and forwarded requests between domains.
    void set_message_loss(std::uint64_t percent) { this->loss_percent = percent; }

    // Lets callers of the host's domain send requests to the host at random times from now on, at
    // the mean rate `rate`. Replaces the rate of an earlier call with the same host, service and
    // class.
    void offer(const std::string& host, service_id service, class_id caller_class,
               request_rate rate)
    {
        const source_key key{this->id(host), service, caller_class};
        source_row& row = this->sources[key];
        row.rate = rate;
        const std::uint64_t generation = ++row.generation;
        this->schedule_arrival(key, generation);
    }

    void run(duration span)
    {
        const time_point end = this->time + span;
        while (!this->events.empty() && this->events.top().at <= end) {
            const event next = this->events.top();
            this->events.pop();
            this->time = next.at;
            next.callback();
            this->check();
        }
        this->time = end;
    }

    // Returns the first invariant or cap that was violated in this run; empty if none was.
    const std::string& first_violation() const { return this->failure_text; }

    std::uint64_t answered{};
    std::uint64_t refused{};
    std::uint64_t forwarded{};
    std::map<refusal_reason, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> messages;
    // The times from the arrival of a request at its first host to its answer there.
    std::vector<duration> latencies;

private:
    struct event {
        time_point at;
        std::uint64_t order{};
        std::function<void()> callback;
        bool operator<(const event& other) const
        {
            return std::pair{other.at, other.order} < std::pair{this->at, this->order};
        }
    };
    struct host_row {
        std::unique_ptr<node> core;
        std::uint64_t incarnation_number{};
        bool frozen{};
        std::vector<std::function<void()>> deferred;
    };
    struct origin {
        host_id host;
        std::uint64_t incarnation_number{};
        request_id id;
    };
    using source_key = std::tuple<host_id, service_id, class_id>;
    struct source_row {
        request_rate rate;
        std::uint64_t generation{};
    };

    void schedule(duration delay, std::function<void()> callback)
    {
        this->events.push({this->time + delay, ++this->order, std::move(callback)});
    }

    // Runs `callback` at a host after a delay, if the host is still in the same incarnation. A
    // frozen host runs it when it thaws.
    void schedule_at_host(host_id host, std::uint64_t incarnation_number, duration delay,
                          std::function<void()> callback)
    {
        this->schedule(delay, [this, host, incarnation_number, callback = std::move(callback)] {
            const auto found = this->hosts.find(host);
            if (found == this->hosts.end() ||
                found->second.incarnation_number != incarnation_number) {
                return;
            }
            if (found->second.frozen) {
                found->second.deferred.push_back(callback);
                return;
            }
            callback();
        });
    }

    std::uint64_t incarnation_of(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found == this->hosts.end() ? 0 : found->second.incarnation_number;
    }

    duration delay_between(host_id from, host_id to)
    {
        const domain_id one = this->model->at(from).domain;
        const domain_id other = this->model->at(to).domain;
        const auto link = config::find_link(*this->model, this->model->at(one).region,
                                            this->model->at(other).region);
        const duration jitter{std::chrono::microseconds{this->random_below(200)}};
        return jitter + (link ? duration{this->model->at(*link).delay}
                              : duration{std::chrono::microseconds{500}});
    }
    bool is_delivered(host_id from, host_id to)
    {
        const domain_id one = this->model->at(from).domain;
        const domain_id other = this->model->at(to).domain;
        const bool is_isolated =
            this->isolated_domains.contains(one) || this->isolated_domains.contains(other);
        return one == other || (!is_isolated && this->random_below(100) >= this->loss_percent);
    }

    void tick()
    {
        for (auto& [host, row] : this->hosts) {
            if (!row.frozen) {
                this->perform_all(host, row.core->tick({this->time, {}}));
                this->report(host, *row.core);
            }
        }
        this->schedule(tick_interval, [this] { this->tick(); });
    }

    // Lets the targets report no load other than that of the host itself.
    void report(host_id host, node& core)
    {
        if (this->time - this->reported[host] < std::chrono::seconds{1}) {
            return;
        }
        this->reported[host] = this->time;
        for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
            const auto& target = this->model->targets.at(index);
            if (target.domain == this->model->at(host).domain) {
                const auto id = target_id::from_index(index);
                this->perform_all(host, core.report({id, 0, target.slots, false}, this->time));
            }
        }
    }

    void schedule_arrival(const source_key& key, std::uint64_t generation)
    {
        const request_rate rate = this->sources.at(key).rate;
        if (rate.value() <= 0.0) {
            return;
        }
        const double uniform = boost::random::uniform_01<double>{}(this->generator);
        const std::chrono::duration<double> gap{-std::log(1.0 - uniform) / rate.value()};
        this->schedule(std::chrono::duration_cast<duration>(gap), [this, key, generation] {
            if (this->sources.at(key).generation != generation) {
                return;
            }
            this->receive_caller_request(key);
            this->schedule_arrival(key, generation);
        });
    }

    void receive_caller_request(const source_key& key)
    {
        const auto& [host, service, caller_class] = key;
        if (!this->running(host)) {
            return;
        }
        arrival request;
        request.id = request_id{++this->ids};
        request.service = service;
        request.caller_class = caller_class;
        request.home = this->model->at(host).domain;
        request.repeatable = true;
        request.deadline = this->time + std::chrono::seconds{2};
        this->arrival_times[request.id] = this->time;
        this->arrivals[request.id] = request;
        this->perform_all(host, this->at(host).arrive(request, this->time));
    }

    void perform_all(host_id host, const actions& given)
    {
        this->changed_hosts.insert(host);
        for (const action& each : given) {
            std::visit([&](const auto& what) { this->perform(host, what); }, each);
        }
    }

    void perform(host_id host, const send_to_target& action)
    {
        const auto& target = this->model->at(action.target);
        const duration mean = this->model->at(target.service).service_time;
        const double uniform = boost::random::uniform_01<double>{}(this->generator);
        const std::chrono::duration<double, std::nano> service_time{
            -std::log(1.0 - uniform) * static_cast<double>(mean.count())};
        const auto delay = std::chrono::duration_cast<duration>(service_time);
        this->finish_later(host, action.id, attempt_outcome::answered, {}, delay);
    }
    void perform(host_id host, const forward_to_host& action)
    {
        ++this->forwarded;
        if (!this->hosts.contains(action.host)) {
            this->finish_later(host, action.id, attempt_outcome::connect_failed, {},
                               std::chrono::milliseconds{1});
            return;
        }
        if (!this->is_delivered(host, action.host)) {
            this->finish_later(host, action.id, attempt_outcome::timed_out, {},
                               action.deadline - this->time);
            return;
        }
        arrival request = this->arrivals.at(action.id);
        const origin from{host, this->incarnation_of(host), action.id};
        request.id = request_id{++this->ids};
        request.forwarded_by = host;
        request.hops = action.hops;
        request.retry = action.retry;
        this->origins[request.id] = from;
        this->arrivals[request.id] = request;
        this->schedule_at_host(action.host, this->incarnation_of(action.host),
                               this->delay_between(host, action.host),
                               [this, request, to = action.host] {
                                   this->perform_all(to, this->at(to).arrive(request, this->time));
                               });
    }
    void perform(host_id host, const refuse& action)
    {
        this->complete(host, action.id,
                       action.run == run_state::no ? attempt_outcome::not_run
                                                   : attempt_outcome::broken,
                       action.reason);
    }
    void perform(host_id host, const send_message& action)
    {
        constexpr const char* names[] = {"grant_request", "capacity_grant", "heartbeat",
                                         "handover",      "leaving_notice", "shift_claim"};
        ++this->messages[names[action.message.index()]];
        if (!this->hosts.contains(action.to) || !this->is_delivered(host, action.to)) {
            return;
        }
        this->schedule_at_host(
            action.to, this->incarnation_of(action.to), this->delay_between(host, action.to),
            [this, host, to = action.to, message = action.message] {
                this->perform_all(to, this->at(to).receive(host, message, this->time));
            });
    }
    void perform(host_id host, const abort_attempt& action)
    {
        (void)host;
        this->origins.erase(action.id);
    }
    void perform(host_id host, const count_retry& action)
    {
        (void)host;
        (void)action;
    }

    void finish_later(host_id host, request_id id, attempt_outcome outcome,
                      std::optional<refusal_reason> reason, duration delay)
    {
        attempt_result result;
        result.id = id;
        result.outcome = outcome;
        result.peer_reason = reason;
        this->schedule_at_host(host, this->incarnation_of(host), delay, [this, host, result] {
            this->perform_all(host, this->at(host).finished(result, this->time));
            if (result.outcome == attempt_outcome::answered) {
                this->complete(host, result.id, result.outcome, {});
            }
        });
    }

    // Handles the final answer of a request at this host: reports it to the host that forwarded the
    // request, or counts it if the request came directly from a caller.
    void complete(host_id host, request_id id, attempt_outcome outcome,
                  std::optional<refusal_reason> reason)
    {
        const auto from = this->origins.find(id);
        if (from != this->origins.end()) {
            const origin forwarder = from->second;
            this->origins.erase(from);
            if (this->incarnation_of(forwarder.host) == forwarder.incarnation_number &&
                this->is_delivered(host, forwarder.host)) {
                this->finish_later(forwarder.host, forwarder.id, outcome, reason,
                                   this->delay_between(host, forwarder.host));
            }
            return;
        }
        const auto found = this->arrival_times.find(id);
        if (found == this->arrival_times.end()) {
            return;
        }
        if (outcome == attempt_outcome::answered) {
            ++this->answered;
            this->latencies.push_back(this->time - found->second);
        }
        else {
            ++this->refused;
            ++this->reasons[*reason];
        }
        this->arrival_times.erase(found);
    }

    struct usage {
        std::uint32_t owners{};
        double own_rate{};
        double granted_rate{};
        double held_rate{};
        std::uint64_t own_in_flight{};
        std::uint64_t granted_in_flight{};
        std::uint64_t held_in_flight{};

        double rate() const
        {
            return this->own_rate + std::max(this->granted_rate, this->held_rate);
        }
        std::uint64_t in_flight() const
        {
            return this->own_in_flight + std::max(this->granted_in_flight, this->held_in_flight);
        }
    };

    void record_violation(const std::string& problem, std::size_t index)
    {
        if (this->failure_text.empty()) {
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->time.time_since_epoch());
            this->failure_text =
                problem + " " + std::to_string(index) + " at " + std::to_string(at.count()) + " ms";
        }
    }

    // Compares own load plus grants with the caps of domains, regions and links. Grants count as
    // the larger of what the granters have issued and what the holders may use.
    void check()
    {
        const std::size_t services = this->model->services.size();
        std::vector<usage> used(this->model->domains.size() * services);
        std::vector<double> link_bytes(this->model->links.size(), 0.0);
        for (const auto& [host, row] : this->hosts) {
            if (this->changed_hosts.contains(host)) {
                for (const violation& each : row.core->check_invariants()) {
                    this->record_violation(std::string{to_string(each.kind)} + " on host",
                                           host.index());
                }
            }
            const grant_view view = row.core->grants(this->time);
            const domain_id domain = this->model->at(host).domain;
            for (const ledger_usage& each : view.granted) {
                usage& sum = used.at(domain.index() * services + each.service.index());
                ++sum.owners;
                sum.own_rate += each.own_rate.value();
                sum.own_in_flight += each.own_in_flight;
                sum.granted_rate += each.granted_rate.value();
                sum.granted_in_flight += each.granted_in_flight;
            }
            for (const held_grant& each : view.held) {
                usage& sum = used.at(each.granter.index() * services + each.service.index());
                sum.held_rate += each.room.rate.value();
                sum.held_in_flight += each.room.in_flight;
                this->add_link_bytes(domain, each, link_bytes);
            }
        }
        this->check_caps(used, link_bytes);
        this->changed_hosts.clear();
    }

    void add_link_bytes(domain_id holder, const held_grant& grant, std::vector<double>& bytes) const
    {
        const region_id here = this->model->at(holder).region;
        const region_id there = this->model->at(grant.granter).region;
        if (const auto request_link = config::find_link(*this->model, here, there)) {
            bytes.at(request_link->index()) += grant.room.request_bytes.value();
        }
        if (const auto answer_link = config::find_link(*this->model, there, here)) {
            bytes.at(answer_link->index()) += grant.room.answer_bytes.value();
        }
    }

    void check_caps(const std::vector<usage>& used, const std::vector<double>& link_bytes)
    {
        constexpr double tolerance = 1.0 + 1e-9;
        const std::size_t services = this->model->services.size();
        std::vector<double> region_rate(this->model->regions.size(), 0.0);
        std::vector<std::uint64_t> region_in_flight(this->model->regions.size(), 0);
        for (std::size_t domain = 0; domain < this->model->domains.size(); ++domain) {
            double rate = 0.0;
            std::uint64_t in_flight = 0;
            for (std::size_t at = 0; at < services; ++at) {
                const usage& each = used.at(domain * services + at);
                const request_capacity part =
                    this->domain_limits.at(domain).part(service_id::from_index(at));
                if (each.owners > 1) {
                    this->record_violation("two owners in domain", domain);
                }
                if (each.in_flight() > part.in_flight ||
                    each.rate() > part.rate.value() * tolerance) {
                    this->record_violation("capacity share of a service exceeded in domain",
                                           domain);
                }
                rate += each.rate();
                in_flight += each.in_flight();
            }
            const auto& row = this->model->domains.at(domain);
            region_rate.at(row.region.index()) += rate;
            region_in_flight.at(row.region.index()) += in_flight;
            if (rate > row.cap.rate.value() * tolerance || in_flight > row.cap.in_flight) {
                this->record_violation("rate or in-flight cap exceeded in domain", domain);
            }
        }
        for (std::size_t at = 0; at < region_rate.size(); ++at) {
            const auto& cap = this->model->regions.at(at).cap;
            if (region_rate.at(at) > cap.rate.value() * tolerance ||
                region_in_flight.at(at) > cap.in_flight) {
                this->record_violation("rate or in-flight cap exceeded in region", at);
            }
        }
        for (std::size_t at = 0; at < link_bytes.size(); ++at) {
            if (link_bytes.at(at) > this->model->links.at(at).cap.value() * tolerance) {
                this->record_violation("byte rate cap exceeded on link", at);
            }
        }
    }

    std::shared_ptr<const config::model> model;
    std::mt19937_64 generator;
    time_point time{std::chrono::seconds{10}};
    std::uint64_t order{};
    std::uint64_t last_incarnation{};
    std::uint64_t ids{};
    std::uint64_t loss_percent{};
    std::map<host_id, host_row> hosts;
    std::map<host_id, time_point> reported;
    std::vector<limits> domain_limits;
    std::priority_queue<event> events;
    std::set<domain_id> isolated_domains;
    std::map<source_key, source_row> sources;
    std::map<request_id, arrival> arrivals;
    std::map<request_id, origin> origins;
    std::map<request_id, time_point> arrival_times;
    // The hosts that have had an event since the last check.
    std::set<host_id> changed_hosts;
    std::string failure_text;
};

} // namespace bth::steering::testing
