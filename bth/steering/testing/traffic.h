// Requests, ends of tries and warm targets for the tests of the steering core.
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
inline constexpr class_id everybody{2};

// A repeatable request straight from a caller of domain "a", with two seconds to go.
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

inline try_result end_of(std::uint64_t id, try_outcome outcome)
{
    try_result result;
    result.id = request_id{id};
    result.outcome = outcome;
    return result;
}

// The actions of one kind.
template <class Action>
std::vector<Action> all_of(const actions& given)
{
    std::vector<Action> found;
    for (const action& each : given) {
        if (const auto* wanted = std::get_if<Action>(&each)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

// Reports of all targets of domain "a": idle, with three slots.
inline void report_idle(node& core, const config::model& model, time_point now)
{
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        if (model.targets.at(index).domain == domain_a) {
            core.report({target_id::from_index(index), 0, 3, false}, now);
        }
    }
}

// Lets a node tick until it owns the targets of its domain, whose other hosts stay silent.
inline void settle(node& core, time_point& now)
{
    const time_point end = now + std::chrono::seconds{4};
    for (; now < end; now += tick_interval) {
        core.tick({now, {}});
    }
}

// Makes the node grant some room of "web" to `holder`, a host of domain "b".
inline void grant_room(node& core, host_id holder, std::uint64_t sequence, time_point now)
{
    constexpr domain_id domain_b{1};
    const grant_demand demand{priority_level{0}, request_rate{100.0}, 3};
    core.receive(holder, grant_request{domain_b, incarnation{1}, sequence, {{web, {demand}}}}, now);
}

// Serves requests until every target of "web" in domain "a" has left its cold start.
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
            core.finished(end_of(id, try_outcome::answered), now);
        }
    }
    report_idle(core, model, now);
    core.tick({now, {}});
}

// Lets the demand of earlier requests be forgotten while the targets go on reporting.
inline void cool_down(node& core, const config::model& model, time_point& now)
{
    const time_point end = now + std::chrono::seconds{10};
    for (; now < end; now += tick_interval) {
        report_idle(core, model, now);
        core.tick({now, {}});
    }
}

} // namespace bth::steering::testing
