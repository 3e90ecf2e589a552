#include "bth/membership/failure_detector.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(failure_detector) {};
// clang-format on

namespace {

constexpr duration tick = 100ms;

// Detectors of one failure domain whose messages arrive at once unless they are cut.
class group {
public:
    explicit group(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->names.push_back("host-" + std::to_string(100 + index));
        }
        for (const std::string& name : this->names) {
            this->start(name, 1);
        }
    }

    void start(const std::string& name, std::uint64_t life)
    {
        this->lives[name] = incarnation{life};
        this->cores.insert_or_assign(name, failure_detector{{.self = {name, incarnation{life}}}});
        this->cores.at(name).set_members(this->names);
    }

    void stop(const std::string& name) { this->cores.erase(name); }
    void cut(const std::string& from, const std::string& to) { this->cuts.insert({from, to}); }
    void heal() { this->cuts.clear(); }

    void run_for(duration time)
    {
        for (const time_point end = this->now + time; this->now < end; this->now += tick) {
            for (const std::string& name : this->names) {
                if (const auto core = this->cores.find(name); core != this->cores.end()) {
                    this->deliver(name, core->second.tick(this->now, {}, this->random));
                }
            }
        }
    }

    liveness state(const std::string& at, const std::string& of) const
    {
        const auto& rows = this->cores.at(at).members();
        return std::find_if(rows.begin(), rows.end(),
                            [&](const member& row) { return row.host == of; })
            ->state;
    }

    // How many of the running hosts say that `of` is in the state.
    std::size_t count(const std::string& of, liveness wanted) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->cores.begin(), this->cores.end(), [&](const auto& each) {
                return each.first != of && this->state(each.first, of) == wanted;
            }));
    }

    std::size_t sent(const std::string& name) const { return this->messages.at(name); }
    const std::string& name(std::size_t index) const { return this->names.at(index); }

private:
    void deliver(const std::string& from, const std::vector<outgoing_probe>& what)
    {
        for (const outgoing_probe& each : what) {
            ++this->messages[from];
            const auto to = this->cores.find(each.to);
            if (to != this->cores.end() && !this->cuts.contains({from, each.to})) {
                this->deliver(each.to, to->second.receive(this->now, {from, this->lives.at(from)},
                                                          each.what, {}));
            }
        }
    }

    std::vector<std::string> names;
    std::map<std::string, incarnation> lives;
    std::map<std::string, failure_detector> cores;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, std::size_t> messages;
    std::mt19937_64 random{1};
    time_point now;
};

} // namespace

TEST(failure_detector, a_stopped_host_is_dead_everywhere_after_its_time_to_refute)
{
    group hosts{9};
    hosts.run_for(5s);
    hosts.stop(hosts.name(3));
    hosts.run_for(10s);
    UNSIGNED_LONGS_EQUAL(8, hosts.count(hosts.name(3), liveness::dead));
    UNSIGNED_LONGS_EQUAL(7, hosts.count(hosts.name(4), liveness::alive));
}

TEST(failure_detector, a_host_is_suspect_before_it_is_dead)
{
    group hosts{3};
    hosts.run_for(5s);
    hosts.stop(hosts.name(0));
    hosts.run_for(2500ms);
    UNSIGNED_LONGS_EQUAL(2, hosts.count(hosts.name(0), liveness::suspect));
}

TEST(failure_detector, a_cut_between_two_hosts_is_bridged_by_the_others)
{
    group hosts{9};
    hosts.run_for(5s);
    hosts.cut(hosts.name(0), hosts.name(1));
    for (int second = 0; second < 60; ++second) {
        hosts.run_for(1s);
        CHECK_TRUE(hosts.state(hosts.name(0), hosts.name(1)) == liveness::alive);
        CHECK_TRUE(hosts.state(hosts.name(1), hosts.name(0)) == liveness::alive);
    }
}

TEST(failure_detector, a_host_that_was_cut_off_refutes_its_death)
{
    group hosts{5};
    hosts.run_for(5s);
    for (std::size_t other = 1; other < 5; ++other) {
        hosts.cut(hosts.name(0), hosts.name(other));
    }
    hosts.run_for(15s);
    UNSIGNED_LONGS_EQUAL(4, hosts.count(hosts.name(0), liveness::dead));
    hosts.heal();
    hosts.run_for(15s);
    UNSIGNED_LONGS_EQUAL(4, hosts.count(hosts.name(0), liveness::alive));
}

TEST(failure_detector, a_restarted_host_is_a_new_incarnation_and_alive)
{
    group hosts{5};
    hosts.run_for(5s);
    hosts.stop(hosts.name(2));
    hosts.run_for(15s);
    hosts.start(hosts.name(2), 2);
    hosts.run_for(5s);
    UNSIGNED_LONGS_EQUAL(4, hosts.count(hosts.name(2), liveness::alive));
}

TEST(failure_detector, messages_a_host_do_not_grow_with_the_domain)
{
    constexpr std::size_t seconds = 60;
    for (const std::size_t size : {5U, 41U, 120U}) {
        group hosts{size};
        hosts.run_for(std::chrono::seconds{seconds});
        std::size_t all = 0;
        for (std::size_t index = 0; index < size; ++index) {
            all += hosts.sent(hosts.name(index));
        }
        UNSIGNED_LONGS_EQUAL(4 * seconds, all / size);
    }
}
