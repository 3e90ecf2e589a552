// Candidate owners of one failure domain that exchange heartbeats under virtual time, with delay,
// loss, freeze and restart.
//
//   ownership_group group{model, {"a1", "a2"}, seed};
//   group.run(std::chrono::seconds{5});
//   group.freeze("a1");
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
    ownership& at(host_id host) { return this->hosts.at(host).part; }
    std::uint64_t delivered() const { return this->delivered_count; }

    // Starts a host, or kills and restarts it as a later life.
    void start(host_id host)
    {
        this->hosts.erase(host);
        const incarnation life{++this->lives};
        auto [at, unused] = this->hosts.emplace(host, host_row{ownership{life}, false, {}});
        at->second.part.apply(this->model, revision{1}, host, this->time);
    }
    void kill(host_id host) { this->hosts.erase(host); }
    void freeze(host_id host) { this->hosts.at(host).frozen = true; }
    // Lets a frozen host look at the time; what was sent to it meanwhile follows.
    void thaw(host_id host) { this->hosts.at(host).frozen = false; }
    bool running(host_id host) const
    {
        const auto found = this->hosts.find(host);
        return found != this->hosts.end() && !found->second.frozen;
    }
    void cut(host_id from, host_id to) { this->cuts.insert({from, to}); }
    void heal() { this->cuts.clear(); }
    // Loses this share of all messages, never more than two in a row between two hosts.
    void lose(std::uint64_t percent) { this->loss_percent = percent; }

    // The hosts that own `service` now, frozen ones too if their ownership would still hold when
    // they look at the time.
    std::vector<host_id> owners(service_id service) const
    {
        std::vector<host_id> all;
        for (const auto& [host, row] : this->hosts) {
            if (row.part.owns(service, this->time)) {
                all.push_back(host);
            }
        }
        return all;
    }

    // Hands over what is due at a host.
    void hand_over(host_id host)
    {
        ownership& part = this->at(host);
        for (const due_handover& each : part.due(this->time)) {
            this->post(host, part.give_up(each.service, this->time));
            handover message;
            message.service = each.service;
            this->post(host, {{each.to, message}});
        }
    }

    // One step of a millisecond: messages that arrive, then ticks.
    void step()
    {
        this->time += std::chrono::milliseconds{1};
        while (!this->wire.empty() && this->wire.begin()->first <= this->time) {
            const envelope next = std::move(this->wire.begin()->second);
            this->wire.erase(this->wire.begin());
            this->deliver(next);
        }
        const auto since_start =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->time.time_since_epoch());
        if (since_start.count() % tick_length.count() != 0) {
            return;
        }
        for (auto& [host, row] : this->hosts) {
            if (!row.frozen) {
                this->post(host, row.part.tick(this->time));
                this->flush(row);
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
    static constexpr std::uint64_t most_delay_ms = 5;
    static constexpr std::uint32_t most_lost_in_a_row = 2;

    struct envelope {
        host_id from;
        host_id to;
        peer_message message;
    };
    struct host_row {
        ownership part;
        bool frozen{};
        std::vector<envelope> waiting;
    };

    bool lost(host_id from, host_id to)
    {
        std::uint32_t& row = this->lost_in_a_row[{from, to}];
        const bool loses = this->below(100) < this->loss_percent && row < most_lost_in_a_row;
        row = loses ? row + 1 : 0;
        return loses;
    }

    void post(host_id from, const ownership::outgoing& messages)
    {
        for (const send_message& each : messages) {
            if (this->cuts.contains({from, each.to}) || this->lost(from, each.to)) {
                continue;
            }
            const auto delay = std::chrono::milliseconds{1 + this->below(most_delay_ms)};
            this->wire.emplace(this->time + delay, envelope{from, each.to, each.message});
        }
    }

    void deliver(const envelope& next)
    {
        const auto found = this->hosts.find(next.to);
        if (found == this->hosts.end()) {
            return;
        }
        if (found->second.frozen) {
            found->second.waiting.push_back(next);
            return;
        }
        this->hand(found->second, next);
    }

    void hand(host_row& row, const envelope& next)
    {
        ++this->delivered_count;
        if (const auto* beat = std::get_if<heartbeat>(&next.message)) {
            this->post(next.to, row.part.receive(next.from, *beat, this->time));
        }
        else if (const auto* given = std::get_if<handover>(&next.message)) {
            this->post(next.to, row.part.accept(next.from, *given, this->time));
        }
    }

    void flush(host_row& row)
    {
        const std::vector<envelope> late = std::exchange(row.waiting, {});
        for (const envelope& each : late) {
            this->hand(row, each);
        }
    }

    std::shared_ptr<const config::model> model;
    std::mt19937_64 generator;
    time_point time;
    std::uint64_t lives{};
    std::uint64_t delivered_count{};
    std::uint64_t loss_percent{};
    std::map<std::pair<host_id, host_id>, std::uint32_t> lost_in_a_row;
    std::map<host_id, host_row> hosts;
    std::multimap<time_point, envelope> wire;
    std::set<std::pair<host_id, host_id>> cuts;
};

} // namespace bth::steering::testing
