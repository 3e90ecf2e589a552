// The short queue in front of a service's targets: strict priority between levels, round robin over
// the callers' failure domains within a level, bounded by what can be served soon.
//
//   admission queues;
//   queues.apply(model, nullptr);
//   const auto answer = queues.offer(waiting, capacity, now);
//   for (request_id id : answer.dropped) { refuse_at_once(id); }
//   if (auto next = queues.next(service)) { ... queues.remove(*next); }
//
// A request that would wait longer than the bound, or past its deadline, is never queued. When the
// queue is full the lowest level gives way. A queue that stands for long serves no burst but only
// adds latency, so its bound then falls to about one service time (the idea of controlled delay:
// Nichols and Jacobson, "Controlling Queue Delay", 2012).
#pragma once

#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/invariants.h"
#include "bth/steering/model_map.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bth::steering {

// What serves a queue: the slots that may be used now and the mean time that a request holds one.
struct service_capacity {
    std::uint32_t slots{};
    duration service_time{};
};

// One request of a queue.
struct waiting_request {
    request_id id;
    service_id service;
    priority_level level;
    // The failure domain of the caller, the unit of fairness.
    domain_id home;
    time_point deadline;
};

struct offer_result {
    // Why the request isn't queued; nothing if it is.
    std::optional<refusal_reason> refused;
    // Requests that gave way. They are out of the queue and need their final answers.
    std::vector<waiting_request> dropped;
};

class admission {
public:
    // Takes the services of `model`; queues stay for services that `change` maps. Gives the
    // requests whose service is gone.
    std::vector<waiting_request> apply(const config::model& model, const model_map* change);

    offer_result offer(const waiting_request& request, const service_capacity& capacity,
                       time_point now);
    // The request whose turn it is: highest level, then the domain whose turn it is.
    std::optional<request_id> next(service_id service) const;
    // Takes a request out. Nothing happens if it doesn't wait.
    void remove(const waiting_request& request);
    // Takes out and gives every request that can't be served before its deadline any more.
    std::vector<waiting_request> expire(service_id service, const service_capacity& capacity,
                                        time_point now);

    // How long a request of `level` would wait for a slot behind those that go before it.
    duration expected_wait(service_id service, priority_level level,
                           const service_capacity& capacity) const;
    // When a refused caller of `level` may come back: once what waits, and what was refused with
    // it, could have been served. Consecutive answers are spread, so that callers don't return
    // together.
    duration retry_after(service_id service, priority_level level, const service_capacity& capacity,
                         time_point now);
    // Counts a refusal for lack of room.
    void count_refusal(service_id service, priority_level level, time_point now);

    // Whether a request of `level` must wait behind another one.
    bool must_wait(service_id service, priority_level level) const;
    std::size_t waiting(service_id service) const;
    // The most that may wait.
    std::size_t bound(service_id service, const service_capacity& capacity, time_point now) const;
    // The most that `bound` ever allows with so many slots.
    static std::size_t burst_bound(std::uint32_t slots);

    // The lowest level that waits, or nothing.
    std::optional<priority_level> lowest_waiting(service_id service) const;
    // The highest level that waits, or nothing.
    std::optional<priority_level> highest_waiting(service_id service) const;

private:
    struct home_queue {
        domain_id home;
        std::deque<waiting_request> requests;
    };
    // Refusals of the present and the last whole second.
    struct refusal_count {
        std::int64_t second{};
        std::array<std::uint64_t, 2> counts{};
    };
    struct level_queue {
        priority_level level;
        std::vector<home_queue> homes;
        // The row of `homes` that is served next.
        std::size_t turn{};
        std::size_t size{};
        refusal_count refused;
    };
    struct service_queue {
        // In order of priority.
        std::vector<level_queue> levels;
        std::size_t size{};
        // Since when somebody has waited without a break.
        time_point standing_since;
        // Spreads the times to come back.
        std::uint64_t refusals{};
    };

    static level_queue& level_of(service_queue& queue, priority_level level);
    static void push(service_queue& queue, const waiting_request& request, time_point now);
    static bool take(service_queue& queue, const waiting_request& request);
    static std::optional<waiting_request> displaced_by(const service_queue& queue,
                                                       const waiting_request& request);
    static const home_queue& longest(const level_queue& level);
    static std::uint64_t refused_lately(const refusal_count& refused, time_point now);
    static void advance_turn(level_queue& level);
    static void end_turn(level_queue& level);

    std::vector<service_queue> queues;
};

} // namespace bth::steering
