// The reference for latency: a decider that knows the true state of every target, under the same
// caps (slots, requests in a second, shift cap). No real system can know as much: hosts share one
// table that is right at every instant.
//
// A request takes a free place at home. If the way to another domain and back is shorter than the
// queue at home, or the queue is full, it goes to the first fallback whose targets have rate left,
// those on their way counted; else it waits, higher classes first, and the youngest of the lowest
// class is refused when the queue is over its limit.
#pragma once

#include "bth/bench/decider.h"
#include "bth/bench/fake_target.h"
#include "bth/bench/site.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace bth::bench {

struct true_state_shared {
    const fake_targets* targets{};
    delays delay;
    // Places taken at each target, those of requests on their way to it included.
    std::vector<std::uint32_t> taken;
    // Starts of the last second, by domain.
    std::vector<std::deque<time_point>> starts;
    // Requests of the last shift window, by service: when, and whether served away from home.
    struct served_row {
        time_point at;
        bool away{};
    };
    std::vector<std::deque<served_row>> served;
    std::vector<std::uint64_t> away;
    // The same by host, to free what a host held that died.
    std::map<std::pair<host_id, target_id>, std::uint32_t> taken_by;
    // The same by domain and service, requests on their way there included.
    std::map<std::pair<domain_id, service_id>, std::deque<time_point>> service_starts;
};

class true_state {
public:
    true_state(const host_setup& given, std::shared_ptr<true_state_shared> shared);

    steering::actions apply(std::shared_ptr<const config::model> next, revision number,
                            clock_reading now);
    steering::actions arrive(const steering::arrival& request, time_point now);
    steering::actions finished(const steering::attempt_result& result, time_point now);
    steering::actions receive(host_id from, const steering::peer_message& message, time_point now);
    steering::actions peer_lost(host_id peer, time_point now);
    steering::actions report(const steering::load_report& report, time_point now);
    steering::actions platform(const steering::platform_list& list, time_point now);
    steering::actions tick(clock_reading now);
    steering::lookup_answer lookup(const steering::lookup_query& query, time_point now);

private:
    domain_id own() const { return this->model->at(this->setup.host).domain; }
    bool rate_left(domain_id domain, time_point now);
    bool shift_left(service_id service, time_point now);
    std::optional<target_id> free_target(service_id service, domain_id domain, time_point now);
    bool service_rate_left(service_id service, domain_id domain, time_point now);
    std::optional<domain_id> room_elsewhere(const steering::arrival& request, bool queue_is_full,
                                            time_point now);
    std::size_t queue_limit(service_id service) const;
    duration queue_wait(service_id service) const;
    bool serves(service_id service) const;
    bool is_usable(std::size_t target) const;
    void count_start(const steering::arrival& request, domain_id domain, time_point now);
    steering::actions send_to(const steering::arrival& request, domain_id domain, time_point now);
    steering::actions place(const steering::arrival& request, target_id target, time_point now);
    steering::actions wait(const steering::arrival& request);
    void drain_queues(steering::actions& done, time_point now);
    static steering::refuse refusal(const steering::arrival& request, refusal_reason reason);
    priority_level level_of(const steering::arrival& request) const;

    host_setup setup;
    std::shared_ptr<true_state_shared> shared;
    std::shared_ptr<const config::model> model;
    std::map<request_id, target_id> sent;
    // Waiting requests by service and level, oldest first.
    std::vector<std::map<priority_level, std::deque<steering::arrival>>> queues;
};

} // namespace bth::bench
