// Replays of a target that accepts only few requests, because it is cold or named a limit, in a
// region whose hosts don't agree on which hosts there are, under virtual time. Arrivals are counted
// at the target.
#include "bth/dispatch/cold_share.h"
#include "bth/dispatch/sender_roster.h"
#include "bth/dispatch/target_registry.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::dispatch;
using bth::duration;
using bth::time_point;

constexpr time_point start{1h};
constexpr duration step = 10ms;
// The requests per second that a cold target accepts from all hosts together.
constexpr double cold_limit = 15.6;
const domain_regions regions{{"east-1", "east"}, {"east-2", "east"}};

struct named_host {
    std::string name;
    std::string domain;
};

// Why the target accepts only few requests: how it is set up on a host, who sends to it, whether a
// sender may write now, and what all hosts together must keep.
template <class Rule>
concept sharing_rule = requires(const Rule& rule, target& replayed, time_point now)
{
    rule.set_up(replayed);
    {
        rule.senders()
        } -> std::convertible_to<std::size_t>;
    {
        rule.has_room(replayed, now)
        } -> std::convertible_to<bool>;
    {
        rule.window()
        } -> std::convertible_to<duration>;
    {
        rule.bound()
        } -> std::convertible_to<double>;
};

struct cold_target_rule {
    static constexpr cold_rate_split split = split_cold_rate(cold_limit);

    void set_up(target& replayed) const { replayed.assume_cold(start + 1h); }
    std::size_t senders() const { return split.senders; }
    bool has_room(target& replayed, time_point now) const
    {
        return replayed.writes_in_last_second(now) < split.per_sender;
    }
    duration window() const { return 1s; }
    double bound() const { return cold_limit; }
};

struct limited_target_rule {
    double limit;

    void set_up(target& replayed) const { replayed.record_limit(start, this->limit); }
    std::size_t senders() const { return shared_rate::senders; }
    bool has_room(target& replayed, time_point now) const
    {
        return replayed.wait_for_limit(now) == duration{};
    }
    duration window() const { return 4s; }
    double bound() const { return 1.5 * this->limit * 4 + 5; }
};

// What an entry host knows and decides, without its sockets.
template <sharing_rule Rule>
class replayed_host {
public:
    replayed_host(named_host self, Rule rule)
        : identity{std::move(self)}, sharing{std::move(rule)}, registry{regions},
          roster{this->identity.name, this->identity.domain}
    {
        this->registry.apply(start, {{"t", "orders", {}, "east-1", 3, false, {}}}, {}, true);
        this->sharing.set_up(*this->replayed_target());
    }

    const std::string& name() const { return this->identity.name; }
    const std::string& domain() const { return this->identity.domain; }

    void receive_update(time_point now, const std::vector<named_host>& reported, bool in_contact)
    {
        if (!in_contact) {
            return;
        }
        this->roster.record_contact(now);
        std::vector<roster_host> hosts;
        hosts.reserve(reported.size());
        for (const auto& each : reported) {
            hosts.push_back({each.name, each.domain});
        }
        this->roster.record_hosts(now, hosts);
    }

    // Returns the host that is to send a request to the target; empty if none may.
    std::string sender(time_point now, std::size_t turn) const
    {
        const auto& info = this->replayed_target()->info();
        if (this->roster.is_sender(now, info, this->sharing.senders())) {
            return this->name();
        }
        const auto senders = this->roster.senders_of(now, info, this->sharing.senders());
        return std::string{senders[turn % senders.size()]};
    }

    // Returns whether this host sends a request to the target now.
    bool send(time_point now)
    {
        const auto target = this->replayed_target();
        if (!this->roster.is_sender(now, target->info(), this->sharing.senders()) ||
            !this->sharing.has_room(*target, now)) {
            return false;
        }
        target->record_write(now);
        return true;
    }

private:
    target_ptr replayed_target() const { return this->registry.find("t"); }

    named_host identity;
    Rule sharing;
    target_registry registry;
    sender_roster roster;
};

// A region of entry hosts with one control host in each failure domain. Callers want far more of
// the target than it accepts.
template <sharing_rule Rule>
class replayed_region {
public:
    replayed_region(Rule rule, std::size_t first_domain, std::size_t second_domain,
                    std::uint64_t seed)
        : sharing{std::move(rule)}, random{seed}
    {
        for (std::size_t i = 0; i < first_domain + second_domain; ++i) {
            this->add_host(i < first_domain ? "east-1" : "east-2");
        }
    }

    void add_host(const std::string& domain)
    {
        const auto number = std::to_string(100 + this->hosts.size());
        this->hosts.push_back(
            {replayed_host<Rule>{{"10.1.0." + number, domain}, this->sharing}, this->now});
    }

    // From now until `until` the control host of `domain` has no reports of the hosts of `lost`.
    void lose_reports(const std::string& domain, const std::string& lost, time_point until)
    {
        this->losses.push_back({domain, lost, until});
    }
    // Cuts a host off from its control host. It and the callers go on.
    void cut_off(std::size_t host, time_point until) { this->hosts.at(host).cut_until = until; }
    // Stops a host for a while; it goes on with what it knew.
    void freeze(std::size_t host, time_point until) { this->hosts.at(host).frozen_until = until; }
    // Starts a host again, with nothing that it knew.
    void restart(std::size_t host)
    {
        auto& row = this->hosts.at(host);
        row.host = replayed_host<Rule>{{row.host.name(), row.host.domain()}, this->sharing};
        row.up_since = this->now;
    }
    std::size_t size() const { return this->hosts.size(); }

    void run(duration length)
    {
        for (const auto end = this->now + length; this->now < end; this->now += step) {
            if (this->now - this->updated_at >= 400ms) {
                this->updated_at = this->now;
                this->send_updates();
            }
            for (auto& each : this->hosts) {
                if (this->random() % 10 == 0 && this->now >= each.frozen_until) {
                    this->request_at(each.host);
                }
            }
        }
    }

    time_point time() const { return this->now; }
    // The most requests that arrived within one window, and all of them.
    std::size_t most_in_a_window() const { return this->most; }
    std::size_t arrivals() const { return this->total; }

private:
    struct row {
        replayed_host<Rule> host;
        time_point up_since;
        time_point cut_until{};
        time_point frozen_until{};
    };
    struct loss {
        std::string domain;
        std::string lost;
        time_point until;
    };

    bool is_reachable(const row& each) const
    {
        return this->now >= each.cut_until && this->now >= each.frozen_until;
    }

    void send_updates()
    {
        for (auto& recipient : this->hosts) {
            if (!this->is_reachable(recipient)) {
                continue;
            }
            std::vector<named_host> reported;
            for (const auto& each : this->hosts) {
                const bool is_lost =
                    std::any_of(this->losses.begin(), this->losses.end(), [&](const auto& loss) {
                        return loss.domain == recipient.host.domain() &&
                               loss.lost == each.host.domain() && this->now < loss.until;
                    });
                // Other control hosts hear of a new host with the next relay, and pass that on a
                // second later; a silent one is reported for another 3 s.
                const bool is_known = this->now - each.up_since >= 2s ||
                                      (each.host.domain() == recipient.host.domain() &&
                                       this->now - each.up_since >= 400ms);
                const bool is_silent = this->now < each.cut_until - 1s;
                if (is_known && !is_silent && !is_lost) {
                    reported.push_back({each.host.name(), each.host.domain()});
                }
            }
            recipient.host.receive_update(this->now, reported, true);
        }
    }

    void request_at(replayed_host<Rule>& host)
    {
        const auto sender = host.sender(this->now, this->random());
        const auto found =
            std::find_if(this->hosts.begin(), this->hosts.end(),
                         [&](const auto& each) { return each.host.name() == sender; });
        if (found != this->hosts.end() && this->now >= found->frozen_until &&
            found->host.send(this->now)) {
            ++this->total;
            this->arrived.push_back(this->now);
            while (this->arrived.front() + this->sharing.window() <= this->now) {
                this->arrived.pop_front();
            }
            this->most = std::max(this->most, this->arrived.size());
        }
    }

    Rule sharing;
    std::mt19937_64 random;
    time_point now{start};
    time_point updated_at{start - 1s};
    std::vector<row> hosts;
    std::vector<loss> losses;
    std::deque<time_point> arrived;
    std::size_t most{};
    std::size_t total{};
};

// Returns how many requests at most arrived in one window during a series of random faults.
template <sharing_rule Rule>
std::size_t most_during_faults(const Rule& rule, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    replayed_region<Rule> region{rule, 2 + random() % 15, 1 + random() % 14, seed};
    region.run(random() % 2 == 0 ? 0s : 8s);
    for (int fault = 0; fault < 30; ++fault) {
        const std::string domain = random() % 2 == 0 ? "east-1" : "east-2";
        const std::string lost = random() % 2 == 0 ? "east-1" : "east-2";
        const auto host = random() % region.size();
        const auto until = region.time() + std::chrono::milliseconds{random() % 6000};
        switch (random() % 6) {
        case 0:
            region.add_host(domain);
            break;
        case 1:
            region.cut_off(host, until);
            break;
        case 2:
            region.freeze(host, until);
            break;
        case 3:
            region.restart(host);
            break;
        default:
            region.lose_reports(domain, lost, std::min<time_point>(until, region.time() + 1500ms));
            break;
        }
        region.run(std::chrono::milliseconds{random() % 900});
    }
    region.run(3s);
    return region.most_in_a_window();
}

// Runs many series of faults, prints how many arrived at most, and returns the most of all.
template <sharing_rule Rule>
double most_of_all_series(const Rule& rule, std::uint64_t seeds)
{
    std::map<std::size_t, int> seeds_by_most;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ++seeds_by_most[most_during_faults(rule, seed)];
    }
    std::printf("\nfaults: seeds by the most arrivals in a window:");
    for (const auto& [most, count] : seeds_by_most) {
        std::printf(" %zu: %d", most, count);
    }
    std::printf("; allowed %.1f\n", rule.bound());
    return static_cast<double>(seeds_by_most.rbegin()->first);
}

} // namespace

// clang-format off
TEST_GROUP(cold_target_replay) {};
// clang-format on

// All connections are reset, so that each control host lacks the reports of its own domain for a
// while. With the hosts that it names, each host was the only one of the target's domain.
TEST(cold_target_replay, hosts_that_hear_of_different_hosts_keep_the_bound_together)
{
    replayed_region region{cold_target_rule{}, 16, 13, 1};
    region.run(10s);
    region.lose_reports("east-1", "east-1", region.time() + 900ms);
    region.lose_reports("east-2", "east-2", region.time() + 700ms);
    region.run(5s);
    std::printf("\nreset: most arrivals in a second %zu, allowed %.1f\n", region.most_in_a_window(),
                cold_limit);
    CHECK_TRUE(static_cast<double>(region.most_in_a_window()) <= cold_limit);
}

TEST(cold_target_replay, calm_hosts_use_at_least_half_of_the_bound)
{
    replayed_region region{cold_target_rule{}, 16, 13, 2};
    region.run(10s);
    const auto before = region.arrivals();
    region.run(10s);
    const auto per_second = static_cast<double>(region.arrivals() - before) / 10;
    std::printf("\ncalm: %.1f arrivals a second, allowed %.1f\n", per_second, cold_limit);
    CHECK_TRUE(per_second >= cold_limit / 2);
}

TEST(cold_target_replay, any_series_of_faults_keeps_the_bound)
{
    CHECK_TRUE(most_of_all_series(cold_target_rule{}, 200) <= cold_limit);
}

// clang-format off
TEST_GROUP(limited_target_replay) {};
// clang-format on

TEST(limited_target_replay, hosts_that_hear_of_different_hosts_keep_the_limit_together)
{
    for (const double limit : {0.2, 1.2, 2.0, 7.5, 40.0}) {
        const limited_target_rule rule{limit};
        replayed_region region{rule, 16, 13, 1};
        region.run(10s);
        const auto before = region.arrivals();
        region.run(10s);
        const auto calm = static_cast<double>(region.arrivals() - before);
        region.lose_reports("east-1", "east-1", region.time() + 900ms);
        region.lose_reports("east-2", "east-2", region.time() + 700ms);
        region.run(5s);
        CHECK_TRUE(static_cast<double>(region.most_in_a_window()) <= rule.bound());
        CHECK_TRUE(calm >= 0.8 * limit * 10 - 1);
    }
}

TEST(limited_target_replay, any_series_of_faults_keeps_the_limit)
{
    for (const double limit : {0.2, 1.2, 7.5}) {
        const limited_target_rule rule{limit};
        CHECK_TRUE(most_of_all_series(rule, 60) <= rule.bound());
    }
}
