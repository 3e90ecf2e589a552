#include "bth/dispatch/testing/region_replay.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace bth::dispatch::testing {

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr fractional_ms one_way{1.4};
const domain_regions regions{{"north-1", "north"}};

duration to_duration(fractional_ms time)
{
    return std::chrono::duration_cast<duration>(time);
}

// The true state of a target.
struct simulated_target {
    std::uint32_t running{};
    struct waiting_request {
        object_key key{};
        std::function<void(bool shed)> done;
    };
    std::deque<waiting_request> queue;
    // Latest first.
    std::deque<object_key> warm;
    std::size_t runs{};
};

class region {
public:
    explicit region(const region_load& load)
        : load{&load}, generator{load.seed}, targets(load.targets)
    {
        std::vector<target_info> rows;
        for (std::size_t i = 0; i < load.targets; ++i) {
            std::string id = "t" + std::to_string(i);
            this->index_of[id] = i;
            rows.push_back({std::move(id), "orders", {}, "north-1", load.slots, false, {}});
        }
        for (std::size_t i = 0; i < load.hosts; ++i) {
            this->hosts.push_back(std::make_unique<host>());
            this->hosts.back()->registry.apply(start, rows, {}, true);
        }
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(load.length).count() + 1;
        this->result.seconds.resize(static_cast<std::size_t>(seconds));
    }

    replay_result run()
    {
        this->schedule_arrival();
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        std::size_t total = 0;
        std::size_t most = 0;
        for (const auto& each : this->targets) {
            total += each.runs;
            most = std::max(most, each.runs);
        }
        this->result.busiest_to_mean = static_cast<double>(most * this->targets.size()) /
                                       static_cast<double>(std::max<std::size_t>(total, 1));
        return std::move(this->result);
    }

private:
    struct host {
        target_registry registry{regions};
        service_time_estimate estimate;
    };

    void at(time_point when, std::function<void()> action)
    {
        this->events.emplace(when, std::move(action));
    }

    void schedule_arrival()
    {
        const bool surges = this->now - start >= this->load->surge_from;
        std::exponential_distribution<double> gap{surges ? this->load->surge_requests_per_second
                                                         : this->load->requests_per_second};
        const auto when =
            this->now + to_duration(std::chrono::duration<double>{gap(this->generator)});
        if (when - start >= this->load->length) {
            return;
        }
        this->at(when, [this] {
            this->arrive();
            this->schedule_arrival();
        });
    }

    void arrive()
    {
        std::uniform_int_distribution<std::size_t> any_host{0, this->hosts.size() - 1};
        std::uniform_int_distribution<std::size_t> any_object{1, this->load->objects};
        auto& from = *this->hosts[any_host(this->generator)];
        const auto key = make_object_key("orders", std::to_string(any_object(this->generator)));
        auto& second = this->second_of(this->now);
        ++second.asked;
        placement_request request;
        request.now = this->now;
        request.service = "orders";
        request.key = key;
        request.sticky = true;
        request.domain = "north-1";
        request.region = "north";
        request.remaining_time = this->load->timeout;
        request.remaining_objective = this->load->objective;
        request.priority = 1;
        request.cold_allowance = 1;
        const auto placed = place(from.registry, request, from.estimate);
        if (!placed) {
            ++second.refused;
            return;
        }
        placed->target->begin_request(this->now, key);
        this->at(this->now + to_duration(one_way),
                 [this, &from, placed = *placed, key, asked_at = this->now] {
                     this->reach(from, placed, key, asked_at);
                 });
    }

    void reach(host& from, const placement& placed, object_key key, time_point asked_at)
    {
        auto& at_target = this->targets[this->index_of.at(placed.target->info().id)];
        const auto done = [this, &from, &at_target, placed, asked_at, key](bool shed) {
            // The report still counts the request that it comes with.
            const load_report report{at_target.running + (shed ? 0 : 1),
                                     static_cast<std::uint32_t>(at_target.queue.size()),
                                     this->load->slots};
            this->at(this->now + to_duration(one_way),
                     [this, &from, placed, asked_at, shed, report, key] {
                         this->answer(from, placed, key, asked_at, shed, report);
                     });
        };
        if (at_target.running < this->load->slots) {
            this->work(at_target, {key, done});
        }
        else if (at_target.queue.size() < this->load->queue) {
            at_target.queue.push_back({key, done});
        }
        else {
            done(true);
        }
    }

    void work(simulated_target& at_target, simulated_target::waiting_request request)
    {
        ++at_target.running;
        ++at_target.runs;
        const auto known = std::find(at_target.warm.begin(), at_target.warm.end(), request.key);
        const auto mean =
            known != at_target.warm.end() ? this->load->warm_work : this->load->cold_work;
        std::normal_distribution<double> spread{1.0, 0.15};
        const auto index = static_cast<std::size_t>(&at_target - this->targets.data());
        const bool is_slow =
            index < this->load->slow_targets && this->now - start >= this->load->slow_from;
        const auto work = mean * std::clamp(spread(this->generator), 0.5, 2.0) *
                          (is_slow ? this->load->slow_factor : 1.0);
        this->at(this->now + to_duration(work), [this, &at_target, request = std::move(request)] {
            std::erase(at_target.warm, request.key);
            at_target.warm.push_front(request.key);
            if (at_target.warm.size() > this->load->warm_objects) {
                at_target.warm.pop_back();
            }
            --at_target.running;
            request.done(false);
            if (!at_target.queue.empty()) {
                auto next = std::move(at_target.queue.front());
                at_target.queue.pop_front();
                this->work(at_target, std::move(next));
            }
        });
    }

    void answer(host& from, const placement& placed, object_key /*key*/, time_point asked_at,
                bool shed, const load_report& report)
    {
        const fractional_ms took = this->now - asked_at;
        const bool comparable =
            placed.wait == fractional_ms{} && (placed.object_sent_recently || !placed.warm);
        placed.target->end_request(this->now, shed ? send_outcome::shed : send_outcome::answered,
                                   took, comparable ? placed.total() : fractional_ms{}, report);
        this->tell_others(from, placed.target->info().id, report.running + report.waiting);
        auto& second = this->second_of(asked_at);
        if (shed) {
            ++second.shed;
            return;
        }
        if (placed.wait == fractional_ms{}) {
            from.estimate.add_sample(placed, took - placed.network_delay);
        }
        ++(took <= this->load->objective ? second.in_time : second.late);
    }

    void tell_others(const host& from, const std::string& target, std::uint32_t requests)
    {
        if (this->load->told_after == duration{}) {
            return;
        }
        this->at(this->now + this->load->told_after,
                 [this, &from, target, requests, reported_at = this->now] {
                     for (const auto& each : this->hosts) {
                         if (each.get() != &from) {
                             each->registry.find(target)->record_occupancy(reported_at, requests);
                         }
                     }
                 });
    }

    replay_second& second_of(time_point when)
    {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(when - start).count();
        return this->result.seconds.at(static_cast<std::size_t>(second));
    }

    const region_load* load;
    std::mt19937_64 generator;
    time_point now{start};
    std::multimap<time_point, std::function<void()>> events;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<simulated_target> targets;
    std::map<std::string, std::size_t> index_of;
    replay_result result;
};

} // namespace

double replay_result::share_in_time(std::size_t first) const
{
    std::size_t asked = 0;
    std::size_t in_time = 0;
    for (std::size_t i = first; i < this->seconds.size(); ++i) {
        asked += this->seconds[i].asked;
        in_time += this->seconds[i].in_time;
    }
    return static_cast<double>(in_time) / static_cast<double>(std::max<std::size_t>(asked, 1));
}

replay_result replay(const region_load& load)
{
    return region{load}.run();
}

} // namespace bth::dispatch::testing
