// Requests, attempt results and warmed-up nodes for the tests of the steering core.
//
//   acquire_ownership(core, now);
//   warm_up(core, model, now);
//   const auto sent = actions_of<send_to_target>(core.arrive(request_of(1, gold, now), now));
//   core.finished(result_of(1, attempt_outcome::answered), now);
#pragma once

#include "bth/steering/node.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace bth::steering::testing {

inline constexpr domain_id domain_a{0};
inline constexpr service_id web{0};
inline constexpr class_id gold{0};
inline constexpr class_id silver{1};
inline constexpr class_id public_class{2};

// Returns a repeatable request for "web" that comes directly from a caller of domain "a" and has
// its deadline in two seconds.
inline arrival request_of(std::uint64_t id, class_id caller_class, time_point now)
{
    arrival request;
    request.id = request_id{id};
    request.service = web;
    request.caller_class = caller_class;
    request.home = domain_a;
    request.repeatable = true;
    request.deadline = now + std::chrono::seconds{2};
    return request;
}

inline attempt_result result_of(std::uint64_t id, attempt_outcome outcome)
{
    attempt_result result;
    result.id = request_id{id};
    result.outcome = outcome;
    return result;
}

// Returns the actions of one type, in their order.
template <class Action>
std::vector<Action> actions_of(const actions& list)
{
    std::vector<Action> found;
    for (const action& each : list) {
        if (const auto* wanted = std::get_if<Action>(&each)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

// Reports all targets of domain "a" as idle, with three slots.
inline void report_idle(node& core, const config::model& model, time_point now)
{
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        if (model.targets.at(index).domain == domain_a) {
            core.report({target_id::from_index(index), 0, 3, false}, now);
        }
    }
}

// Ticks the node for four seconds, until it owns the targets of its domain, whose other hosts stay
// silent.
inline void acquire_ownership(node& core, time_point& now)
{
    const time_point end = now + std::chrono::seconds{4};
    for (; now < end; now += tick_interval) {
        core.tick({now, {}});
    }
}

// Makes the node grant capacity for "web" to `holder`, a host of domain "b".
inline void grant_capacity(node& core, host_id holder, std::uint64_t sequence, time_point now)
{
    constexpr domain_id domain_b{1};
    const grant_demand demand{priority_level{0}, request_rate{100.0}, 3};
    core.receive(holder, grant_request{domain_b, incarnation{1}, sequence, {{web, {demand}}}}, now);
}

// Serves requests until no target of "web" in domain "a" is in its cold start any more.
inline void warm_up(node& core, const config::model& model, time_point& now)
{
    constexpr std::uint64_t first_id = 1'000'000;
    constexpr std::uint64_t rounds = 40;
    report_idle(core, model, now);
    for (std::uint64_t round = 0; round < rounds; ++round) {
        std::vector<std::uint64_t> sent;
        for (std::uint64_t number = 0; number < 6; ++number) {
            const std::uint64_t id = first_id + round * 6 + number;
            core.arrive(request_of(id, gold, now), now);
            sent.push_back(id);
        }
        now += std::chrono::milliseconds{5};
        for (const std::uint64_t id : sent) {
            core.finished(result_of(id, attempt_outcome::answered), now);
        }
    }
    report_idle(core, model, now);
    core.tick({now, {}});
}

// Lets the measured demand of earlier requests expire while the targets continue to report.
inline void cool_down(node& core, const config::model& model, time_point& now)
{
    const time_point end = now + std::chrono::seconds{10};
    for (; now < end; now += tick_interval) {
        report_idle(core, model, now);
        core.tick({now, {}});
    }
}

} // namespace bth::steering::testing
