// Many agents and publishers in one process under a virtual clock, joined by a fake network that
// delays, loses, duplicates, reorders and damages messages, and by fake disks. Every message goes
// through its codec. After every event the invariants of distribution are checked.
//
//   fake_world world{{.seed = 7}};
//   world.add_control("control-a");
//   world.add_host("entry-a", "east-1", 0, true);
//   world.accept_edit();
//   world.run_for(std::chrono::seconds{5});
//   CHECK_TRUE(world.violations().empty());
#pragma once

#include "bth/membership/agent.h"
#include "bth/membership/publisher.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bth::membership::testing {

// What the network does to messages, as chances from 0 to 1.
struct network_faults {
    double loss{};
    double duplicate{};
    // Of messages that carry edits; one bit of such a one changes.
    double damage{};
    // Added to each message's delay, evenly spread from 0 to this.
    duration jitter{};
};

struct world_settings {
    std::uint64_t seed{1};
    duration tick_interval{std::chrono::milliseconds{100}};
    duration delay_within_region{std::chrono::microseconds{500}};
    duration delay_between_regions{std::chrono::milliseconds{20}};
    duration persist_time{std::chrono::milliseconds{1}};
    // The client blocks of the first revision.
    std::size_t client_blocks{};
};

// What one node has sent and received; bytes include headers.
struct traffic {
    std::uint64_t messages_out{};
    std::uint64_t messages_in{};
    std::uint64_t bytes_out{};
    std::uint64_t bytes_in{};
};

// The bytes that one message takes on the wire: payload, frame, and the TCP and IP headers of each
// packet. Each message is charged an acknowledgement of its own besides, in the other direction.
std::uint64_t wire_bytes(std::size_t payload);

class fake_world {
public:
    explicit fake_world(world_settings settings);

    // Hosts are added before the first edit; the table names those with `listed`.
    void add_control(const std::string& name);
    void add_host(const std::string& name, const std::string& failure_domain, int region,
                  bool durable, bool starts = true);
    // Makes the first revision, which lists all hosts.
    void begin();

    // Accepts one more edit at the active control host's side.
    revision accept_edit();
    void set_active_control(const std::string& name);

    void run_until(time_point end);
    void run_for(duration time) { this->run_until(this->now + time); }
    time_point time() const { return this->now; }

    void stop(const std::string& host);
    // Starts a new life of the host with what its disk holds; `keep_disk` false loses that.
    void start(const std::string& host, bool keep_disk = true);
    // Cuts messages from one node to another; the other way stays.
    void cut(const std::string& from, const std::string& to);
    // Cuts a failure domain off from all others, both ways.
    void cut_domain(const std::string& failure_domain);
    void heal();
    void set_faults(const network_faults& faults) { this->faults = faults; }

    bool is_up(const std::string& host) const;
    const agent& agent_of(const std::string& host) const;
    publisher& publisher_of(const std::string& control);
    std::vector<std::string> hosts() const;
    revision accepted() const { return this->table.at(); }
    // Whether every running host has the newest revision in force.
    bool converged() const;
    // When the revision was in force at the last of the hosts that run; nothing before.
    std::optional<time_point> in_force_everywhere(revision at) const;
    time_point accepted_at(revision at) const;

    const std::vector<std::string>& violations() const { return this->broken; }
    const traffic& traffic_of(const std::string& node) const;
    void reset_traffic();

private:
    struct node {
        std::string name;
        std::string failure_domain;
        int region{};
        bool durable{};
        incarnation life;
        std::unique_ptr<agent> core;
        std::unique_ptr<publisher> control;
        std::optional<config::text_table> disk;
        // The highest revision that was in force: of this life, and of all lives.
        revision in_force;
        revision highest;
        traffic counted;
    };
    struct event {
        time_point at;
        std::uint64_t order{};
        std::function<void()> run;
    };
    struct later {
        bool operator()(const event& a, const event& b) const
        {
            return std::pair{a.at, a.order} > std::pair{b.at, b.order};
        }
    };

    void at(time_point when, std::function<void()> run);
    void schedule_tick(node& of, incarnation life, time_point when);
    void perform(node& by, const actions& todo);
    void perform_one(node& by, const send_message& what);
    void perform_one(node& by, const persist_order& what);
    void perform_one(node& by, const take_into_force& what);
    void deliver(const node& from, incarnation life, node& to,
                 const std::shared_ptr<const std::string>& payload, time_point when);
    std::string damaged(std::string payload);
    bool chance(double part);
    bool is_cut(const node& from, const node& to) const;
    duration delay(const node& from, const node& to);
    void violate(const node& by, const std::string& what);

    world_settings settings;
    std::mt19937_64 random;
    network_faults faults;
    time_point now;
    std::uint64_t next_order{};
    std::uint64_t next_life{1};
    std::uint64_t edits_made{};
    std::priority_queue<event, std::vector<event>, later> events;
    std::map<std::string, node> nodes;
    std::string active_control;
    std::set<std::pair<std::string, std::string>> cuts;
    std::set<std::string> cut_domains;
    config::text_table table;
    struct accepted_revision {
        config::table_digest digest;
        time_point at;
        std::size_t in_force{};
        time_point last_in_force;
    };
    std::map<revision, accepted_revision> history_of;
    std::vector<std::string> broken;
};

} // namespace bth::membership::testing
