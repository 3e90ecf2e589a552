// Simulates candidate owners of one failure domain that exchange heartbeats in virtual time, with
// message delay and loss, suspended processes and restarts.
//
//   ownership_group group{model, {"a1", "a2"}, seed};
//   group.run(std::chrono::seconds{5});
//   group.freeze(group.id("a1"));
#pragma once

#include "bth/steering/ownership.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bth::steering::testing {

class ownership_group {
public:
    ownership_group(std::shared_ptr<const config::model> model,
                    const std::vector<std::string>& names, std::uint64_t seed)
        : model{std::move(model)}, generator{seed}
    {
        for (const std::string& name : names) {
            this->start(*config::find_host(*this->model, name));
        }
    }

    host_id id(const std::string& name) const { return *config::find_host(*this->model, name); }
    time_point now() const { return this->time; }
    ownership& at(host_id host) { return this->hosts.at(host).candidate; }
    std::uint64_t delivered() const { return this->delivered_count; }

    // Starts a host, or kills and restarts it as a later incarnation.
    void start(host_id host)
    {
        this->hosts.erase(host);
        const incarnation incarnation_number{++this->last_incarnation};
        auto [at, unused] =
            this->hosts.emplace(host, host_row{ownership{incarnation_number}, false, {}});
        at->second.candidate.apply(this->model, revision{1}, host, this->time);
    }
    void kill(host_id host) { this->hosts.erase(host); }
    // Suspends a host: it neither ticks nor receives messages.
    void freeze(host_id host) { this->hosts.at(host).frozen = true; }
    // Resumes a frozen host. At its next tick it updates its time first, and then receives the
    // messages sent to it meanwhile.
    void thaw(host_id host) { this->hosts.at(host).frozen = false; }
    bool running(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found != this->hosts.end() && !found->second.frozen;
    }
    // Drops all messages from one host to another until heal().
    void cut(host_id from, host_id to) { this->cut_links.insert({from, to}); }
    void heal() { this->cut_links.clear(); }
    // Drops this percentage of all messages, but at most two consecutive ones from one host to
    // another.
    void set_loss_percent(std::uint64_t percent) { this->loss_percent = percent; }

    // Returns the hosts that own `service` now, including frozen ones whose ownership would still
    // hold if they resumed now.
    std::vector<host_id> owners(service_id service) const
    {
        std::vector<host_id> all;
        for (const auto& [host, row] : this->hosts) {
            if (row.candidate.owns(service, this->time)) {
                all.push_back(host);
            }
        }
        return all;
    }

    // Performs the handovers that are due at a host.
    void hand_over(host_id host)
    {
        ownership& candidate = this->at(host);
        for (const due_handover& each : candidate.due_handovers(this->time)) {
            this->send(host, candidate.give_up(each.service, this->time));
            handover message;
            message.service = each.service;
            this->send(host, {{each.to, message}});
        }
    }

    // Advances the time by one millisecond: delivers the messages that arrive, then ticks the hosts
    // if a tick is due.
    void step()
    {
        this->time += std::chrono::milliseconds{1};
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->time) {
            const envelope next = std::move(this->in_flight.begin()->second);
            this->in_flight.erase(this->in_flight.begin());
            this->deliver(next);
        }
        const auto since_start =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->time.time_since_epoch());
        if (since_start.count() % tick_length.count() != 0) {
            return;
        }
        for (auto& [host, row] : this->hosts) {
            if (!row.frozen) {
                this->send(host, row.candidate.tick(this->time));
                this->handle_pending(row);
            }
        }
    }

    void run(duration span)
    {
        const time_point end = this->time + span;
        while (this->time < end) {
            this->step();
        }
    }

    std::mt19937_64& random() { return this->generator; }
    std::uint64_t below(std::uint64_t bound)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>{0,
                                                                      bound - 1}(this->generator);
    }

private:
    static constexpr std::chrono::milliseconds tick_length{50};
    static constexpr std::uint64_t max_delay_ms = 5;
    static constexpr std::uint32_t max_consecutive_losses = 2;

    struct envelope {
        host_id from;
        host_id to;
        peer_message message;
    };
    struct host_row {
        ownership candidate;
        bool frozen{};
        std::vector<envelope> pending;
    };

    bool drops_message(host_id from, host_id to)
    {
        std::uint32_t& losses = this->consecutive_losses[{from, to}];
        const bool dropped =
            this->below(100) < this->loss_percent && losses < max_consecutive_losses;
        losses = dropped ? losses + 1 : 0;
        return dropped;
    }

    void send(host_id from, const ownership::outgoing& messages)
    {
        for (const send_message& each : messages) {
            if (this->cut_links.contains({from, each.to}) || this->drops_message(from, each.to)) {
                continue;
            }
            const auto delay = std::chrono::milliseconds{1 + this->below(max_delay_ms)};
            this->in_flight.emplace(this->time + delay, envelope{from, each.to, each.message});
        }
    }

    void deliver(const envelope& next)
    {
        const auto found = this->hosts.find(next.to);
        if (found == this->hosts.end()) {
            return;
        }
        if (found->second.frozen) {
            found->second.pending.push_back(next);
            return;
        }
        this->handle(found->second, next);
    }

    void handle(host_row& row, const envelope& next)
    {
        ++this->delivered_count;
        if (const auto* beat = std::get_if<heartbeat>(&next.message)) {
            this->send(next.to, row.candidate.receive(next.from, *beat, this->time));
        }
        else if (const auto* given = std::get_if<handover>(&next.message)) {
            this->send(next.to, row.candidate.accept_handover(next.from, *given, this->time));
        }
    }

    void handle_pending(host_row& row)
    {
        const std::vector<envelope> late = std::exchange(row.pending, {});
        for (const envelope& each : late) {
            this->handle(row, each);
        }
    }

    std::shared_ptr<const config::model> model;
    std::mt19937_64 generator;
    time_point time;
    std::uint64_t last_incarnation{};
    std::uint64_t delivered_count{};
    std::uint64_t loss_percent{};
    std::map<std::pair<host_id, host_id>, std::uint32_t> consecutive_losses;
    std::map<host_id, host_row> hosts;
    std::multimap<time_point, envelope> in_flight;
    std::set<std::pair<host_id, host_id>> cut_links;
};

} // namespace bth::steering::testing
