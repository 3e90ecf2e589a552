// A group of members with fake disks on a fake network, under virtual time, and the invariants that
// must hold after every event.
//
//   fake_group group{seed, 3};
//   group.run(std::chrono::seconds{2});
//   group.submit(0, "edit-1", 0, [](const auto& result) { ... });
//   group.kill(0);
//   CHECK_TRUE(group.violations().empty());
#pragma once

#include "bth/consensus/member.h"
#include "bth/consensus/testing/ledger.h"
#include "bth/storage/testing/fake_disk.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bth::consensus::testing {

using test_member = member<storage::testing::fake_disk, ledger>;
using test_result = test_member::result;
using result_handler = std::function<void(const test_result&)>;

// What the network does to a message. Shares are out of 1000.
struct network_conduct {
    duration least_delay{std::chrono::microseconds{500}};
    duration most_delay{std::chrono::milliseconds{20}};
    unsigned lost{};
    unsigned doubled{};
    unsigned late{};
    duration late_by{std::chrono::seconds{3}};
};

class fake_group {
public:
    // The seeds and the retained entries among the options are the group's own.
    fake_group(std::uint64_t seed, std::size_t hosts, replica_options options = {});

    std::size_t size() const { return this->hosts.size(); }
    time_point now() const { return this->clock; }
    void run(duration span);
    void after(duration delay, std::function<void()> action);

    // Requests to the member on a host; false if it isn't running.
    bool submit(std::size_t host, const std::string& id, std::size_t expected,
                result_handler handler);
    bool read(std::size_t host, result_handler handler);
    bool change(std::size_t host, std::size_t subject, bool add, result_handler handler);

    // The process ends; the disk keeps what was written, synced or not.
    void kill(std::size_t host);
    // A loss of power: the process ends, and what was not synced may be gone.
    void power_off(std::size_t host);
    void restart(std::size_t host);
    void freeze(std::size_t host) { this->hosts.at(host).frozen = true; }
    void thaw(std::size_t host);
    // A new disk in place of the old; the process comes back by restart().
    void lose_disk(std::size_t host);
    // Whether a majority of the voters' disks would live on without this one, whichever of the
    // configurations in the members' logs counts.
    bool can_lose_disk(std::size_t host) const;
    // Whether a majority of these members' disks would live if the host were taken out.
    bool can_remove(std::size_t host, configuration members) const;
    void fail_disk_after(std::size_t host, std::size_t writes);
    void repair_disk(std::size_t host);
    void cut(std::size_t from, std::size_t to, bool on);
    void heal();

    bool running(std::size_t host) const { return this->hosts.at(host).process.has_value(); }
    const test_member& at(std::size_t host) const { return *this->hosts.at(host).process; }
    replica_status status(std::size_t host) const;
    // The leader that holds its lease, if any.
    std::optional<std::size_t> leader() const;
    std::optional<std::size_t> index_of(const std::string& host) const;
    // The edits that any member has applied, in their order.
    const std::vector<std::string>& history() const { return this->applied; }
    const std::vector<std::string>& violations() const { return this->found; }
    void violation(std::string what) { this->found.push_back(std::move(what)); }

    network_conduct conduct;
    // The region of each host, if any: messages between regions then take most_delay, and those
    // within one take least_delay.
    std::vector<std::size_t> regions;
    std::uint64_t log_bytes{2000};
    // Whether a process whose disk fails lives on and tries to take part again; otherwise it ends.
    bool resumes_after_failure{};
    // How many hosts, counted from the first, a process that starts is told as seeds; all if unset.
    std::optional<std::size_t> seed_count;
    // What a sync takes, before the messages that wait for it leave.
    duration sync_delay{};
    std::size_t messages_sent{};
    // Without the frame around each message.
    std::size_t bytes_sent{};
    std::mt19937_64 generator;

private:
    struct host {
        std::string name;
        std::shared_ptr<storage::testing::fake_medium> medium;
        std::optional<test_member> process;
        bool frozen{};
        std::vector<envelope> inbox;
        // While the member is stopped: when it tries to take part again.
        time_point resume_due;
        // Its clock: where it started and how fast it runs, in thousandths.
        duration clock_offset{};
        std::int64_t clock_rate{1000};
        std::uint64_t life{1};
        std::uint64_t starts{};
        // How much of the state machine's history has been compared.
        std::size_t compared{};
        log_index applied;
        log_index shown;
    };

    std::uint64_t up_to(std::uint64_t most);
    bool chance(unsigned of_thousand) { return this->up_to(999) < of_thousand; }
    time_point local_time(const host& each) const;
    void tick(std::size_t index);
    void deliver(std::size_t index, const envelope& sent);
    void send(std::size_t from, const envelope& sent);
    duration any_delay(std::size_t from, std::size_t to);
    template <class Step>
    void step(std::size_t index, Step action);
    void collect(std::size_t index);
    void resume_if_due(std::size_t index);
    bool lives_without(const configuration& members, std::size_t host) const;
    request_token remember(result_handler handler);
    void check(std::size_t index);
    void check_history(host& each);
    void check_leader(const host& each, const replica_status& now_is);

    replica_options options;
    time_point clock;
    std::uint64_t sequence{};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events;
    std::vector<host> hosts;
    configuration founders;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::map<request_token, result_handler> waiting;
    std::uint64_t next_token{1};
    std::vector<std::string> applied;
    std::set<std::string> applied_ids;
    std::map<term_number, member_id> leaders;
    std::vector<std::string> found;
};

} // namespace bth::consensus::testing
