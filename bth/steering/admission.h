// The short queues in front of the targets, one for each service: strict priority between levels,
// round robin over the callers' failure domains within a level, and a length bounded by the number
// of requests that can be served soon.
//
//   admission queues;
//   queues.apply(model, nullptr);
//   const auto result = queues.offer(request, capacity, now);
//   for (const waiting_request& each : result.dropped) { refuse(each.id); }
//   if (auto next = queues.next(service)) { send(*next); queues.remove(request_of(*next)); }
//
// A request that would wait past its deadline, or that finds the queue at its maximum length, isn't
// queued. A full queue drops requests of the lowest level in favour of higher ones. A queue that
// isn't empty for a long time (a standing queue) absorbs no burst but only adds latency, so its
// maximum wait then falls to about one service time (controlled delay: Nichols and Jacobson,
// "Controlling Queue Delay", 2012).
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

// The capacity that serves a queue: the number of slots that may be used now, and the mean time for
// which a request holds a slot.
struct service_capacity {
    std::uint32_t slots{};
    duration service_time{};
};

// A request in a queue.
struct waiting_request {
    request_id id;
    service_id service;
    priority_level level;
    // The failure domain of the caller. Requests are scheduled fairly between these domains.
    domain_id caller_domain;
    time_point deadline;
};

struct offer_result {
    // The reason why the request wasn't queued; empty if it was.
    std::optional<refusal_reason> refused;
    // Requests that were removed from the queue in favour of this one. They still have to be
    // forwarded or refused.
    std::vector<waiting_request> dropped;
};

class admission {
public:
    // Replaces the services by those of `model`. Queues are kept for services that `change` maps to
    // a service of `model`; `change` is nullptr for the first model. Returns the requests of the
    // services that were removed.
    std::vector<waiting_request> apply(const config::model& model, const model_map* change);

    // Queues the request, or returns why it can't be queued.
    offer_result offer(const waiting_request& request, const service_capacity& capacity,
                       time_point now);
    // Returns the request to serve next: the oldest of the domain that is next in the round robin
    // of the highest waiting level. Doesn't remove it.
    std::optional<request_id> next(service_id service) const;
    // Removes a request. Does nothing if it isn't queued.
    void remove(const waiting_request& request);
    // Removes and returns every request that can no longer be served before its deadline.
    std::vector<waiting_request> expire(service_id service, const service_capacity& capacity,
                                        time_point now);

    // Returns how long a new request of `level` would wait for a slot behind the queued requests of
    // the same and of higher levels.
    duration expected_wait(service_id service, priority_level level,
                           const service_capacity& capacity) const;
    // Returns how long a refused caller of `level` should wait before it retries: the time to serve
    // the requests of the same and of higher levels that are queued or were recently refused,
    // within fixed bounds, plus a spread of less than half of it. The spread differs between
    // consecutive calls, so that callers don't retry at the same time.
    duration retry_after(service_id service, priority_level level, const service_capacity& capacity,
                         time_point now);
    // Counts a refused request, so that retry_after grows with recent refusals.
    void count_refusal(service_id service, priority_level level, time_point now);

    // Returns whether a request of the same or a higher level than `level` is queued.
    bool must_wait(service_id service, priority_level level) const;
    // Returns the number of queued requests.
    std::size_t waiting(service_id service) const;
    // Returns the maximum queue length at `now`.
    std::size_t max_waiting(service_id service, const service_capacity& capacity,
                            time_point now) const;
    // Returns the largest value that max_waiting returns for this number of slots, which holds
    // while the queue isn't standing.
    static std::size_t max_waiting_in_burst(std::uint32_t slots);

    // Returns the lowest level that has queued requests, or nothing.
    std::optional<priority_level> lowest_waiting(service_id service) const;
    // Returns the highest level that has queued requests, or nothing.
    std::optional<priority_level> highest_waiting(service_id service) const;

private:
    struct domain_queue {
        domain_id caller_domain;
        std::deque<waiting_request> requests;
    };
    // Counts refusals in the current second and in the one before it.
    struct refusal_counter {
        // The current second of the monotonic clock.
        std::int64_t second{};
        // Refusals in `second` and in the second before it.
        std::array<std::uint64_t, 2> counts{};
    };
    struct level_queue {
        priority_level level;
        std::vector<domain_queue> domains;
        // The index in `domains` of the domain that is served next.
        std::size_t next_domain{};
        std::size_t size{};
        refusal_counter refusals;
    };
    struct service_queue {
        // In order of priority, highest first.
        std::vector<level_queue> levels;
        std::size_t size{};
        // The time since which the queue hasn't been empty.
        time_point nonempty_since;
        // Number of retry_after answers; selects the spread of the next one.
        std::uint64_t retry_after_answers{};
    };

    static level_queue& level_of(service_queue& queue, priority_level level);
    static void push(service_queue& queue, const waiting_request& request, time_point now);
    static bool remove_from(service_queue& queue, const waiting_request& request);
    static std::optional<waiting_request> find_displaced(const service_queue& queue,
                                                         const waiting_request& request);
    static const domain_queue& longest_queue(const level_queue& level);
    static std::uint64_t recent_refusals(const refusal_counter& counter, time_point now);
    static void advance_round_robin(level_queue& level);
    static void advance_unless_empty(level_queue& level);

    std::vector<service_queue> queues;
};

} // namespace bth::steering
