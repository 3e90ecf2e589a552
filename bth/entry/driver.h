// Drives the steering core: passes events in, and carries its orders to the requests.
//
//   driver.apply(site);
//   driver.arrive(arrival, orders);          // the order comes through `orders`
//   driver.finished(result);
#pragma once

#include "bth/entry/metrics.h"
#include "bth/entry/orders.h"
#include "bth/entry/site.h"
#include "bth/steering/node.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bth::entry {

class steering_driver {
public:
    // Takes a message for another host; it may be lost.
    using message_sender = std::function<void(const config::model& model, const std::string& host,
                                              const steering::peer_message& message)>;

    steering_driver(steering::node_settings settings, entry_metrics& metrics, message_sender send);

    // Takes a configuration into force.
    void apply(std::shared_ptr<const site_index> next);
    // The configuration in force; nothing before the first.
    const std::shared_ptr<const site_index>& site() const { return this->present; }

    request_id next_request_id() { return request_id{++this->last_request}; }

    void arrive(const steering::arrival& request, const std::shared_ptr<request_orders>& orders);
    void finished(const steering::attempt_result& result);
    // The request got its refusal or its whole answer.
    void forget(request_id id) { this->requests.erase(id); }

    void receive(const std::string& from, const steering::peer_message& message);
    void peer_lost(const std::string& peer);
    void report(const steering::load_report& report);
    void platform(const steering::platform_list& list);
    steering::lookup_answer lookup(const steering::lookup_query& query);

    void tick();
    void begin_shutdown();
    bool is_stopping() const { return this->stopping; }
    bool may_exit() const;
    std::size_t in_flight() const { return this->requests.size(); }

private:
    void perform(const steering::actions& actions);
    void order_for(request_id id, order next);

    void perform_one(const steering::send_to_target& action);
    void perform_one(const steering::forward_to_host& action);
    void perform_one(const steering::refuse& action);
    void perform_one(const steering::abort_attempt& action);
    void perform_one(const steering::send_message& action);
    void perform_one(const steering::count_retry& action);

    steering::node core;
    entry_metrics& metrics;
    message_sender send;
    std::shared_ptr<const site_index> present;
    std::unordered_map<request_id, std::shared_ptr<request_orders>> requests;
    std::uint64_t last_request{};
    bool stopping{};
};

} // namespace bth::entry
