// Virtual time: events in the order of their time, and of their making where times are equal.
//
//   event_queue queue;
//   queue.push(now + delay, event_kind::host_tick, host);
//   while (!queue.empty()) { handle(queue.pop()); }
#pragma once

#include "bth/base/time.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace bth::bench {

enum class event_kind : std::uint8_t {
    caller_next,    // subject: generator, detail: whether it only begins
    host_arrival,   // subject: visit
    host_message,   // subject: message in flight
    host_tick,      // subject: host
    host_reports,   // subject: host
    host_platform,  // subject: host
    host_result,    // subject: attempt, detail: outcome
    host_cancel,    // subject: visit
    target_arrival, // subject: attempt
    target_done,    // subject: attempt
    target_cancel,  // subject: attempt
    attempt_limit,  // subject: attempt
    caller_final,   // subject: visit
    caller_limit,   // subject: request
    connect_failed, // subject: visit
    peer_lost,      // subject: host, detail: peer
    change,         // subject: row of the plan
    apply,          // subject: host, detail: revision
};

struct event {
    time_point at;
    std::uint64_t order{};
    event_kind kind{event_kind::change};
    std::uint32_t subject{};
    std::uint32_t detail{};
};

class event_queue {
public:
    void push(time_point at, event_kind kind, std::uint32_t subject, std::uint32_t detail = 0)
    {
        this->rows.push({at, this->next_order++, kind, subject, detail});
    }
    bool empty() const { return this->rows.empty(); }
    event pop()
    {
        const event first = this->rows.top();
        this->rows.pop();
        return first;
    }

private:
    struct later {
        bool operator()(const event& a, const event& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };
    std::priority_queue<event, std::vector<event>, later> rows;
    std::uint64_t next_order{};
};

} // namespace bth::bench
