// Replays of requests that crash the targets that run them, and of targets that crash for other
// reasons, among hosts that hear of each other's reports late. Sends are counted at the targets,
// refusals at the callers.
#include "bth/dispatch/crash_ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
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
// From this time after a request has crashed its third target, all hosts together may send it at
// most max_late_sends times.
constexpr duration contact_window = 3s;
constexpr int max_late_sends = 3;
constexpr duration request_timeout = 2s;

struct load {
    std::size_t hosts{9};
    std::size_t targets{12};
    // Requests per second, and how many of them come at once where one is repeated at once.
    double rate{60};
    int copies{1};
    std::size_t culprits{1};
    // Arrivals per second of each request that crashes targets.
    double culprit_rate{3};
    // How often a part of the targets crashes by chance, and how large that part is.
    duration chance_crash_interval{};
    double chance_crash_part{};
    bool hosts_fail{};
};

// What a caller sends again if it fails.
struct caller_request {
    request_fingerprint fingerprint;
    bool crashes{};
    int tries_left{};
};

struct attempt {
    caller_request request;
    std::size_t host{};
    time_point deadline;
    int sends_left{2};
    bool is_on_trial{};
};

struct run {
    attempt owner;
    time_point ends;
};

struct replayed_target {
    std::string name;
    time_point down_until;
    std::vector<run> runs;
};

struct replayed_host {
    crash_ledger ledger;
    std::uint64_t cursor{};
    std::set<request_fingerprint> trials;
    time_point frozen_until;
    time_point cut_until;
    // When its last failure ended.
    time_point failed_until;
    // News on their way to this host, by the time of arrival.
    std::multimap<time_point, crash_news> inbox;
};

struct replay_result {
    int served{};
    int refused{};
    int crashes{};
    // For each request that crashes targets: its sends by hosts that were in contact throughout
    // contact_window before, and its crashes.
    std::map<request_fingerprint, std::vector<time_point>> culprit_sends;
    std::map<request_fingerprint, std::vector<time_point>> culprit_crashes;

    // The most sends of a culprit after its third crash was to be known.
    int most_late_sends() const
    {
        int most = 0;
        for (const auto& [request, crashes] : this->culprit_crashes) {
            if (crashes.size() >= crash_ledger::crashes_to_refuse) {
                const auto known = crashes[crash_ledger::crashes_to_refuse - 1] + contact_window;
                const auto found = this->culprit_sends.find(request);
                if (found == this->culprit_sends.end()) {
                    continue;
                }
                const auto& sends = found->second;
                most = std::max(
                    most, static_cast<int>(std::count_if(sends.begin(), sends.end(),
                                                         [&](auto at) { return at > known; })));
            }
        }
        return most;
    }
};

class replay {
public:
    replay(const load& played, std::uint64_t seed) : played{played}, random{seed}
    {
        for (std::size_t i = 0; i < played.hosts; ++i) {
            this->hosts.push_back(std::make_unique<replayed_host>());
        }
        this->targets.resize(played.targets);
        for (auto& each : this->targets) {
            each.name = this->new_name();
        }
    }

    replay_result play(duration length)
    {
        auto next_chance_crash = start + 2s;
        for (this->now = start; this->now < start + length; this->now += step) {
            this->deliver_news();
            this->fail_hosts();
            this->take_arrivals();
            if (this->played.chance_crash_part > 0.0 && this->now >= next_chance_crash) {
                next_chance_crash = this->now + this->played.chance_crash_interval;
                this->crash_by_chance();
            }
            this->continue_waiting();
            this->end_runs();
        }
        return this->result;
    }

private:
    double chance() { return std::uniform_real_distribution<double>{0.0, 1.0}(this->random); }
    std::size_t pick(std::size_t count) { return this->random() % count; }
    std::string new_name() { return "t" + std::to_string(this->names++); }
    bool is_frozen(const replayed_host& host) const { return this->now < host.frozen_until; }
    bool is_cut(const replayed_host& host) const { return this->now < host.cut_until; }

    // News travel through control hosts: they leave with the next report and arrive 0.1 s to 0.5 s
    // later.
    void deliver_news()
    {
        const bool is_report_due = (this->now - start) % 100ms == duration{};
        for (auto& from : this->hosts) {
            if (!is_report_due || this->is_frozen(*from) || this->is_cut(*from)) {
                continue;
            }
            auto news = from->ledger.news_since(this->now, from->cursor, news_scope::observed);
            if (news.empty()) {
                continue;
            }
            this->control.merge(this->now, news, news_source::observed);
            for (auto& to : this->hosts) {
                const duration delay = 100ms + step * static_cast<int>(this->pick(40));
                auto copy = news;
                for (auto& each : copy.crashes) {
                    each.age += delay;
                }
                for (auto& each : copy.completions) {
                    each.age += delay;
                }
                to->inbox.emplace(this->now + delay, std::move(copy));
            }
        }
        for (auto& host : this->hosts) {
            if (this->is_frozen(*host) || this->is_cut(*host)) {
                continue;
            }
            while (!host->inbox.empty() && host->inbox.begin()->first <= this->now) {
                auto [arrived, news] = *host->inbox.begin();
                const auto late = this->now - arrived;
                for (auto& each : news.crashes) {
                    each.age += late;
                }
                for (auto& each : news.completions) {
                    each.age += late;
                }
                host->ledger.merge(this->now, news, news_source::relayed);
                host->inbox.erase(host->inbox.begin());
            }
        }
    }

    // Hosts freeze, are cut off from the control hosts, and start anew with what others know.
    void fail_hosts()
    {
        if (!this->played.hosts_fail || this->chance() > 0.01) {
            return;
        }
        const auto index = this->pick(this->hosts.size());
        auto& host = *this->hosts[index];
        switch (this->pick(3)) {
        case 0:
            host.frozen_until = this->now + 2s;
            host.failed_until = std::max(host.failed_until, host.frozen_until);
            break;
        case 1:
            host.cut_until = this->now + 2s;
            host.failed_until = std::max(host.failed_until, host.cut_until);
            break;
        default:
            host.failed_until = std::max(host.failed_until, this->now);
            host.trials.clear();
            host.ledger = {};
            host.cursor = 0;
            std::uint64_t cursor = 0;
            while (this->control.has_news_since(cursor)) {
                host.ledger.merge(this->now,
                                  this->control.news_since(this->now, cursor, news_scope::all),
                                  news_source::relayed);
            }
        }
    }

    void take_arrivals()
    {
        const double steps_per_second = 1s / step;
        if (this->chance() < this->played.rate / steps_per_second) {
            const caller_request request{request_fingerprint{1000 + this->names++}, false, 1};
            for (int i = 0; i < this->played.copies; ++i) {
                this->arrive(request);
            }
        }
        for (std::size_t i = 0; i < this->played.culprits; ++i) {
            if (this->chance() < this->played.culprit_rate / steps_per_second) {
                this->arrive({request_fingerprint{1 + i}, true, 1});
            }
        }
    }

    void arrive(const caller_request& request)
    {
        auto host = this->pick(this->hosts.size());
        while (this->is_frozen(*this->hosts[host])) {
            host = this->pick(this->hosts.size());
        }
        this->waiting.push_back({request, host, this->now + request_timeout, 2, false});
    }

    void continue_waiting()
    {
        auto turn = std::move(this->waiting);
        this->waiting.clear();
        for (auto& each : turn) {
            auto& host = *this->hosts[each.host];
            if (this->is_frozen(host)) {
                this->waiting.push_back(each);
                continue;
            }
            const auto rank = static_cast<std::uint32_t>(each.host);
            const auto judgement = host.ledger.judge(
                this->now, each.request.fingerprint,
                {rank, static_cast<std::uint32_t>(this->hosts.size()), !this->is_cut(host)},
                each.deadline - 400ms);
            if (judgement.verdict == crash_verdict::clear && this->now >= each.deadline) {
                // Its host was frozen until then.
                continue;
            }
            if (judgement.verdict == crash_verdict::refused || this->now >= each.deadline) {
                this->result.refused += each.request.crashes ? 0 : 1;
                continue;
            }
            const bool is_on_trial = judgement.verdict == crash_verdict::on_trial;
            const bool is_busy = is_on_trial && host.trials.contains(each.request.fingerprint);
            if (judgement.verdict == crash_verdict::held || is_busy) {
                this->waiting.push_back(each);
                continue;
            }
            this->send(each, is_on_trial);
        }
    }

    void send(attempt each, bool is_on_trial)
    {
        std::vector<replayed_target*> up;
        for (auto& target : this->targets) {
            if (this->now >= target.down_until) {
                up.push_back(&target);
            }
        }
        if (up.empty()) {
            return;
        }
        each.is_on_trial = is_on_trial;
        --each.sends_left;
        if (is_on_trial) {
            this->hosts[each.host]->trials.insert(each.request.fingerprint);
        }
        if (each.request.crashes &&
            this->now >= this->hosts[each.host]->failed_until + contact_window) {
            this->result.culprit_sends[each.request.fingerprint].push_back(this->now);
        }
        up[this->pick(up.size())]->runs.push_back(
            {each, this->now + 50ms + step * static_cast<int>(this->pick(60))});
    }

    void end_runs()
    {
        for (auto& target : this->targets) {
            const auto ended =
                std::stable_partition(target.runs.begin(), target.runs.end(),
                                      [&](const auto& each) { return each.ends > this->now; });
            std::vector<run> done{ended, target.runs.end()};
            target.runs.erase(ended, target.runs.end());
            const auto crash = std::find_if(done.begin(), done.end(), [](const auto& each) {
                return each.owner.request.crashes;
            });
            if (crash != done.end()) {
                this->result.culprit_crashes[crash->owner.request.fingerprint].push_back(this->now);
                target.runs.insert(target.runs.end(), done.begin(), done.end());
                this->crash(target);
                continue;
            }
            for (auto& each : done) {
                auto& host = *this->hosts[each.owner.host];
                this->end_trial(each.owner);
                host.ledger.record_completion(this->now, each.owner.request.fingerprint);
                ++this->result.served;
            }
        }
    }

    void crash_by_chance()
    {
        for (auto& target : this->targets) {
            if (this->now >= target.down_until && this->chance() < this->played.chance_crash_part) {
                this->crash(target);
            }
        }
    }

    void crash(replayed_target& target)
    {
        ++this->result.crashes;
        const auto key = make_target_key(target.name);
        for (auto& each : target.runs) {
            auto& host = *this->hosts[each.owner.host];
            this->end_trial(each.owner);
            const auto noticed = std::max(this->now, host.frozen_until);
            host.ledger.record_crash(
                noticed, {each.owner.request.fingerprint, key, make_service_key("orders"), {}},
                news_source::observed);
            if (each.owner.sends_left > 0) {
                this->waiting.push_back(each.owner);
            }
            else if (each.owner.request.tries_left > 0) {
                auto again = each.owner.request;
                --again.tries_left;
                this->arrive(again);
            }
        }
        target.runs.clear();
        target.down_until = this->now + 2s;
        target.name = this->new_name();
    }

    void end_trial(const attempt& each)
    {
        if (each.is_on_trial) {
            this->hosts[each.host]->trials.erase(each.request.fingerprint);
        }
    }

    load played;
    std::mt19937_64 random;
    time_point now;
    std::uint64_t names{};
    std::vector<std::unique_ptr<replayed_host>> hosts;
    // What the control hosts know.
    crash_ledger control;
    std::vector<replayed_target> targets;
    std::vector<attempt> waiting;
    replay_result result;
};

void check_contained(const load& played, std::uint64_t seeds)
{
    int most_crashes = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto result = replay{played, seed}.play(20s);
        CHECK(result.most_late_sends() <= max_late_sends);
        LONGS_EQUAL(0, result.refused);
        CHECK(result.served > 0);
        most_crashes = std::max(most_crashes, result.crashes);
    }
    UT_PRINT(("most crashes in a series: " + std::to_string(most_crashes)).c_str());
}

} // namespace

TEST_GROUP(crash_replay){};

TEST(crash_replay, a_request_that_crashes_targets_is_contained)
{
    check_contained({}, 40);
}

TEST(crash_replay, one_that_comes_often_at_many_hosts_is_contained)
{
    load played;
    played.hosts = 85;
    played.targets = 120;
    played.rate = 100;
    played.culprit_rate = 30;
    check_contained(played, 10);
}

TEST(crash_replay, one_that_comes_rarely_is_contained)
{
    load played;
    played.culprit_rate = 0.4;
    check_contained(played, 40);
}

TEST(crash_replay, several_at_the_same_time_are_contained)
{
    load played;
    played.culprits = 3;
    played.targets = 24;
    check_contained(played, 40);
}

TEST(crash_replay, it_is_contained_among_hosts_that_start_freeze_and_are_cut_off)
{
    load played;
    played.hosts_fail = true;
    check_contained(played, 40);
}

TEST(crash_replay, it_is_contained_among_targets_that_crash_by_chance)
{
    load played;
    played.targets = 24;
    played.chance_crash_interval = 4s;
    played.chance_crash_part = 0.25;
    check_contained(played, 40);
}

TEST(crash_replay, no_request_is_refused_for_crashes_by_chance)
{
    load played;
    played.culprits = 0;
    played.rate = 100;
    played.copies = 4;
    played.chance_crash_interval = 3s;
    played.chance_crash_part = 0.5;
    int crashes = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto result = replay{played, seed}.play(20s);
        LONGS_EQUAL(0, result.refused);
        crashes += result.crashes;
    }
    // Hundreds in each ten of these series.
    CHECK(crashes > 1000);
}
