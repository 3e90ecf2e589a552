// Deciders with one fault each, to show that every check of the bench can fail.
#pragma once

#include "bth/bench/baselines.h"
#include "bth/bench/world.h"

#include <deque>
#include <optional>

namespace bth::bench {

enum class carelessness : std::uint8_t {
    none,
    repeats_what_broke, // Sends a request again whatever it was.
    says_not_run,       // Reports each failed request as not run.
    never_answers,      // Forgets every tenth request.
    answers_twice,      // Refuses every tenth request twice.
    answers_another,    // Refuses a request that isn't at this host.
    keeps_order,        // Queues in order of arrival and refuses what comes when that is full.
    grants_too_much,    // Grants the whole domain to two others.
};

class careless : public plain_host {
public:
    careless(const host_setup& given, carelessness what) : plain_host{given}, fault{what} {}

    steering::actions arrive(const steering::arrival& request, time_point now)
    {
        ++this->count;
        const bool tenth = this->count % 10 == 0;
        if (this->fault == carelessness::never_answers && tenth) {
            return {};
        }
        if (this->fault == carelessness::answers_twice && tenth) {
            return {refuse(request, refusal_reason::no_target).front(),
                    refuse(request, refusal_reason::no_target).front()};
        }
        if (this->fault == carelessness::answers_another && tenth) {
            steering::arrival other = request;
            other.id = request_id{request.id.value() / 2};
            return {refuse(other, refusal_reason::no_target).front()};
        }
        if (this->fault == carelessness::keeps_order) {
            return this->queue_up(request);
        }
        (void)now;
        this->kept[request.id] = request;
        const auto here = this->targets_of(request.service, this->own());
        return here.empty() ? refuse(request, refusal_reason::no_target)
                            : this->send(request, here[this->pick(here.size())]);
    }

    steering::actions finished(const steering::attempt_result& result, time_point now)
    {
        steering::actions done = plain_host::finished(result, now);
        const auto found = this->kept.find(result.id);
        const bool known = found != this->kept.end();
        if (known && this->fault == carelessness::repeats_what_broke && !done.empty()) {
            return this->send(found->second,
                              this->targets_of(found->second.service, this->own()).front());
        }
        if (this->fault == carelessness::says_not_run && !done.empty()) {
            std::get<steering::refuse>(done.front()).run = run_state::no;
        }
        if (this->fault == carelessness::keeps_order) {
            this->take_next(done);
        }
        return done;
    }

    steering::actions tick(clock_reading now)
    {
        (void)now;
        if (this->fault != carelessness::grants_too_much || this->setup.host != host_id{0}) {
            return {};
        }
        const config::failure_domain& own = this->model->at(this->own());
        steering::capacity_grant grant;
        grant.granter = this->own();
        grant.lease = std::chrono::seconds{1};
        grant.capacities.push_back({service_id{0}, own.cap.rate, own.cap.in_flight, {}, {}});
        steering::actions done;
        for (const host_id to : {host_id{2}, host_id{3}}) {
            grant.source = this->model->at(to).domain;
            done.push_back(steering::send_message{to, grant});
        }
        return done;
    }

private:
    static constexpr std::size_t queue_limit = 3;

    std::optional<target_id> free_target(service_id service) const
    {
        for (const target_id each : this->targets_of(service, this->own())) {
            if (this->outstanding[each.index()] < 1) {
                return each;
            }
        }
        return std::nullopt;
    }
    steering::actions queue_up(const steering::arrival& request)
    {
        if (const auto target = this->free_target(request.service)) {
            return this->send(request, *target);
        }
        if (this->queue.size() >= queue_limit) {
            return refuse(request, refusal_reason::queue_full);
        }
        this->queue.push_back(request);
        return {};
    }
    void take_next(steering::actions& done)
    {
        for (auto each = this->queue.begin(); each != this->queue.end(); ++each) {
            if (const auto target = this->free_target(each->service)) {
                const steering::actions sent = this->send(*each, *target);
                done.insert(done.end(), sent.begin(), sent.end());
                this->queue.erase(each);
                return;
            }
        }
    }

    carelessness fault;
    std::uint64_t count{};
    std::map<request_id, steering::arrival> kept;
    std::deque<steering::arrival> queue;
};

inline outcome run_careless(const site& place, const run_plan& plan, carelessness fault)
{
    world<careless> run{place, plan, [fault](const host_setup& setup, const fake_targets& targets) {
                            (void)targets;
                            return careless{setup, fault};
                        }};
    return run.run();
}

} // namespace bth::bench
