// A handful of nodes under virtual time: messages with delay, loss and cuts, requests forwarded
// between nodes, targets that take a fixed time, hosts that die, restart and freeze.
//
//   site_group site{model, seed};
//   site.offer("a1", web, gold, request_rate{200.0});
//   site.run(std::chrono::seconds{5});
//   CHECK_TRUE(site.broken_rule().empty());
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
            this->parts.emplace_back(*this->model, domain_id::from_index(index));
        }
        this->schedule(tick_interval, [this] { this->tick(); });
    }

    host_id id(const std::string& name) const { return *config::find_host(*this->model, name); }
    time_point now() const { return this->time; }
    node& at(host_id host) { return *this->hosts.at(host).core; }
    std::uint64_t below(std::uint64_t bound)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>{0,
                                                                      bound - 1}(this->generator);
    }

    void start(host_id host)
    {
        this->kill(host);
        const auto& name = this->model->at(host).name;
        host_row& row = this->hosts[host];
        row.life = ++this->lives;
        row.core = std::make_unique<node>(
            node_settings{.host_name = name, .life = incarnation{row.life}, .seed = row.life});
        this->act(host, row.core->apply(this->model, revision{1}, {this->time, {}}));
    }
    void kill(host_id host)
    {
        if (this->hosts.erase(host) == 0) {
            return;
        }
        for (auto& [other, row] : this->hosts) {
            if (!row.frozen) {
                this->act(other, row.core->peer_lost(host, this->time));
            }
        }
    }
    void freeze(host_id host) { this->hosts.at(host).frozen = true; }
    void thaw(host_id host)
    {
        host_row& row = this->hosts.at(host);
        row.frozen = false;
        for (const auto& late : std::exchange(row.waiting, {})) {
            late();
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
    // Cuts a domain off from all others, or heals all cuts.
    void cut(domain_id domain) { this->cut_domains.insert(domain); }
    void heal() { this->cut_domains.clear(); }
    // Loses this share of the messages between domains.
    void lose(std::uint64_t percent) { this->loss_percent = percent; }

    // Callers of a host's domain send requests at random times from now on; a later call replaces
    // an earlier one.
    void offer(const std::string& host, service_id service, class_id caller_class,
               request_rate rate)
    {
        const source_key key{this->id(host), service, caller_class};
        source_row& row = this->sources[key];
        row.rate = rate;
        const std::uint64_t turn = ++row.turn;
        this->next_arrival(key, turn);
    }

    void run(duration span)
    {
        const time_point end = this->time + span;
        while (!this->events.empty() && this->events.top().at <= end) {
            const event next = this->events.top();
            this->events.pop();
            this->time = next.at;
            next.what();
            this->check();
        }
        this->time = end;
    }

    // The first rule that was broken in this run; empty if none was.
    const std::string& broken_rule() const { return this->broken; }

    std::uint64_t answered{};
    std::uint64_t refused{};
    std::uint64_t forwarded{};
    std::map<refusal_reason, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> messages;
    // From arrival to answer, at the callers' hosts.
    std::vector<duration> latencies;

private:
    struct event {
        time_point at;
        std::uint64_t order{};
        std::function<void()> what;
        bool operator<(const event& other) const
        {
            return std::pair{other.at, other.order} < std::pair{this->at, this->order};
        }
    };
    struct host_row {
        std::unique_ptr<node> core;
        std::uint64_t life{};
        bool frozen{};
        std::vector<std::function<void()>> waiting;
    };
    struct origin {
        host_id host;
        std::uint64_t life{};
        request_id id;
    };
    using source_key = std::tuple<host_id, service_id, class_id>;
    struct source_row {
        request_rate rate;
        std::uint64_t turn{};
    };

    void schedule(duration delay, std::function<void()> what)
    {
        this->events.push({this->time + delay, ++this->order, std::move(what)});
    }

    // Runs `what` at a host after a delay, once it is awake, if its life is still the same.
    void at_host(host_id host, std::uint64_t life, duration delay, std::function<void()> what)
    {
        this->schedule(delay, [this, host, life, what = std::move(what)] {
            const auto found = this->hosts.find(host);
            if (found == this->hosts.end() || found->second.life != life) {
                return;
            }
            if (found->second.frozen) {
                found->second.waiting.push_back(what);
                return;
            }
            what();
        });
    }

    std::uint64_t life_of(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found == this->hosts.end() ? 0 : found->second.life;
    }

    duration delay_between(host_id from, host_id to)
    {
        const domain_id one = this->model->at(from).domain;
        const domain_id other = this->model->at(to).domain;
        const auto link = config::find_link(*this->model, this->model->at(one).region,
                                            this->model->at(other).region);
        const duration jitter{std::chrono::microseconds{this->below(200)}};
        return jitter + (link ? duration{this->model->at(*link).delay}
                              : duration{std::chrono::microseconds{500}});
    }
    bool passes(host_id from, host_id to)
    {
        const domain_id one = this->model->at(from).domain;
        const domain_id other = this->model->at(to).domain;
        const bool is_cut = this->cut_domains.contains(one) || this->cut_domains.contains(other);
        return one == other || (!is_cut && this->below(100) >= this->loss_percent);
    }

    void tick()
    {
        for (auto& [host, row] : this->hosts) {
            if (!row.frozen) {
                this->act(host, row.core->tick({this->time, {}}));
                this->report(host, *row.core);
            }
        }
        this->schedule(tick_interval, [this] { this->tick(); });
    }

    // Targets report that they are idle but for what the host itself sends.
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
                this->act(host, core.report({id, 0, target.slots, false}, this->time));
            }
        }
    }

    void next_arrival(const source_key& key, std::uint64_t turn)
    {
        const request_rate rate = this->sources.at(key).rate;
        if (rate.value() <= 0.0) {
            return;
        }
        const double uniform = boost::random::uniform_01<double>{}(this->generator);
        const std::chrono::duration<double> gap{-std::log(1.0 - uniform) / rate.value()};
        this->schedule(std::chrono::duration_cast<duration>(gap), [this, key, turn] {
            if (this->sources.at(key).turn != turn) {
                return;
            }
            this->caller_arrives(key);
            this->next_arrival(key, turn);
        });
    }

    void caller_arrives(const source_key& key)
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
        this->began[request.id] = this->time;
        this->arrivals[request.id] = request;
        this->act(host, this->at(host).arrive(request, this->time));
    }

    void act(host_id host, const actions& given)
    {
        this->touched.insert(host);
        for (const action& each : given) {
            std::visit([&](const auto& what) { this->perform(host, what); }, each);
        }
    }

    void perform(host_id host, const send_to_target& what)
    {
        const auto& target = this->model->at(what.target);
        const duration usual = this->model->at(target.service).service_time;
        const double uniform = boost::random::uniform_01<double>{}(this->generator);
        const std::chrono::duration<double, std::nano> took{-std::log(1.0 - uniform) *
                                                            static_cast<double>(usual.count())};
        const auto delay = std::chrono::duration_cast<duration>(took);
        this->finish_later(host, what.id, try_outcome::answered, {}, delay);
    }
    void perform(host_id host, const forward_to_host& what)
    {
        ++this->forwarded;
        if (!this->hosts.contains(what.host)) {
            this->finish_later(host, what.id, try_outcome::connect_failed, {},
                               std::chrono::milliseconds{1});
            return;
        }
        if (!this->passes(host, what.host)) {
            this->finish_later(host, what.id, try_outcome::timed_out, {},
                               what.deadline - this->time);
            return;
        }
        arrival request = this->arrivals.at(what.id);
        const origin from{host, this->life_of(host), what.id};
        request.id = request_id{++this->ids};
        request.forwarded_by = host;
        request.hops = what.hops;
        request.retry = what.retry;
        this->origins[request.id] = from;
        this->arrivals[request.id] = request;
        this->at_host(what.host, this->life_of(what.host), this->delay_between(host, what.host),
                      [this, request, to = what.host] {
                          this->act(to, this->at(to).arrive(request, this->time));
                      });
    }
    void perform(host_id host, const refuse& what)
    {
        this->conclude(host, what.id,
                       what.run == run_state::no ? try_outcome::not_run : try_outcome::broken,
                       what.reason);
    }
    void perform(host_id host, const send_message& what)
    {
        constexpr const char* names[] = {"grant_request", "capacity_grant", "heartbeat",
                                         "handover",      "leaving_notice", "shift_claim"};
        ++this->messages[names[what.message.index()]];
        if (!this->hosts.contains(what.to) || !this->passes(host, what.to)) {
            return;
        }
        this->at_host(what.to, this->life_of(what.to), this->delay_between(host, what.to),
                      [this, host, to = what.to, message = what.message] {
                          this->act(to, this->at(to).receive(host, message, this->time));
                      });
    }
    void perform(host_id host, const cancel_try& what)
    {
        (void)host;
        this->origins.erase(what.id);
    }
    void perform(host_id host, const count_retry& what)
    {
        (void)host;
        (void)what;
    }

    void finish_later(host_id host, request_id id, try_outcome outcome,
                      std::optional<refusal_reason> reason, duration delay)
    {
        try_result result;
        result.id = id;
        result.outcome = outcome;
        result.peer_reason = reason;
        this->at_host(host, this->life_of(host), delay, [this, host, result] {
            this->act(host, this->at(host).finished(result, this->time));
            if (result.outcome == try_outcome::answered) {
                this->conclude(host, result.id, result.outcome, {});
            }
        });
    }

    // The request has its final answer at this host: tells the host that forwarded it, or counts.
    void conclude(host_id host, request_id id, try_outcome outcome,
                  std::optional<refusal_reason> reason)
    {
        const auto from = this->origins.find(id);
        if (from != this->origins.end()) {
            const origin back = from->second;
            this->origins.erase(from);
            if (this->life_of(back.host) == back.life && this->passes(host, back.host)) {
                this->finish_later(back.host, back.id, outcome, reason,
                                   this->delay_between(host, back.host));
            }
            return;
        }
        const auto began_at = this->began.find(id);
        if (began_at == this->began.end()) {
            return;
        }
        if (outcome == try_outcome::answered) {
            ++this->answered;
            this->latencies.push_back(this->time - began_at->second);
        }
        else {
            ++this->refused;
            ++this->reasons[*reason];
        }
        this->began.erase(began_at);
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

    void fail(const std::string& what, std::size_t row)
    {
        if (this->broken.empty()) {
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->time.time_since_epoch());
            this->broken =
                what + " of " + std::to_string(row) + " at " + std::to_string(at.count()) + " ms";
        }
    }

    // Own load and grants, as the granter counts them and as the holders may use them, against the
    // caps of domains, regions and links.
    void check()
    {
        const std::size_t services = this->model->services.size();
        std::vector<usage> used(this->model->domains.size() * services);
        std::vector<double> link_bytes(this->model->links.size(), 0.0);
        for (const auto& [host, row] : this->hosts) {
            if (this->touched.contains(host)) {
                for (const violation& each : row.core->check_invariants()) {
                    this->fail(std::string{to_string(each.kind)} + " at host", host.index());
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
        this->touched.clear();
    }

    void add_link_bytes(domain_id holder, const held_grant& grant, std::vector<double>& bytes) const
    {
        const region_id here = this->model->at(holder).region;
        const region_id there = this->model->at(grant.granter).region;
        if (const auto there_link = config::find_link(*this->model, here, there)) {
            bytes.at(there_link->index()) += grant.room.request_bytes.value();
        }
        if (const auto back_link = config::find_link(*this->model, there, here)) {
            bytes.at(back_link->index()) += grant.room.answer_bytes.value();
        }
    }

    void check_caps(const std::vector<usage>& used, const std::vector<double>& link_bytes)
    {
        constexpr double slack = 1.0 + 1e-9;
        const std::size_t services = this->model->services.size();
        std::vector<double> region_rate(this->model->regions.size(), 0.0);
        std::vector<std::uint64_t> region_in_flight(this->model->regions.size(), 0);
        for (std::size_t domain = 0; domain < this->model->domains.size(); ++domain) {
            double rate = 0.0;
            std::uint64_t in_flight = 0;
            for (std::size_t at = 0; at < services; ++at) {
                const usage& each = used.at(domain * services + at);
                const request_capacity part =
                    this->parts.at(domain).part(service_id::from_index(at));
                if (each.owners > 1) {
                    this->fail("two owners in domain", domain);
                }
                if (each.in_flight() > part.in_flight || each.rate() > part.rate.value() * slack) {
                    this->fail("the part of a service in domain", domain);
                }
                rate += each.rate();
                in_flight += each.in_flight();
            }
            const auto& row = this->model->domains.at(domain);
            region_rate.at(row.region.index()) += rate;
            region_in_flight.at(row.region.index()) += in_flight;
            if (rate > row.cap.rate.value() * slack || in_flight > row.cap.in_flight) {
                this->fail("the cap of domain", domain);
            }
        }
        for (std::size_t at = 0; at < region_rate.size(); ++at) {
            const auto& cap = this->model->regions.at(at).cap;
            if (region_rate.at(at) > cap.rate.value() * slack ||
                region_in_flight.at(at) > cap.in_flight) {
                this->fail("the cap of region", at);
            }
        }
        for (std::size_t at = 0; at < link_bytes.size(); ++at) {
            if (link_bytes.at(at) > this->model->links.at(at).cap.value() * slack) {
                this->fail("the cap of link", at);
            }
        }
    }

    std::shared_ptr<const config::model> model;
    std::mt19937_64 generator;
    time_point time{std::chrono::seconds{10}};
    std::uint64_t order{};
    std::uint64_t lives{};
    std::uint64_t ids{};
    std::uint64_t loss_percent{};
    std::map<host_id, host_row> hosts;
    std::map<host_id, time_point> reported;
    std::vector<limits> parts;
    std::priority_queue<event> events;
    std::set<domain_id> cut_domains;
    std::map<source_key, source_row> sources;
    std::map<request_id, arrival> arrivals;
    std::map<request_id, origin> origins;
    std::map<request_id, time_point> began;
    // The hosts that had an event since the last check.
    std::set<host_id> touched;
    std::string broken;
};

} // namespace bth::steering::testing
