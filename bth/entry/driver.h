// Connects the steering core to the process: passes events to it, and executes the actions that it
// returns. Actions for a request become commands in the request's request_commands.
//
//   driver.apply(configuration);
//   driver.arrive(arrival, commands);        // the next command comes through `commands`
//   driver.finished(result);                 // an attempt has ended; another command may follow
#pragma once

#include "bth/entry/configuration_index.h"
#include "bth/entry/metrics.h"
#include "bth/entry/request_commands.h"
#include "bth/steering/node.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bth::entry {

class steering_driver {
public:
    // Sends a message to another entry host. Messages may be lost.
    using message_sender = std::function<void(const config::model& model, const std::string& host,
                                              const steering::peer_message& message)>;

    steering_driver(steering::node_settings settings, entry_metrics& metrics, message_sender send);

    // Puts a configuration into force.
    void apply(std::shared_ptr<const configuration_index> next);
    // The configuration in force; null before the first apply().
    const std::shared_ptr<const configuration_index>& configuration() const
    {
        return this->current;
    }

    request_id next_request_id() { return request_id{++this->last_request}; }

    // Passes a new request to the core. Later commands for it go to `commands`.
    void arrive(const steering::arrival& request,
                const std::shared_ptr<request_commands>& commands);
    // Passes the result of an attempt, or of a request that was cancelled, to the core.
    void finished(const steering::attempt_result& result);
    // Removes a request that has got its refusal or its complete response.
    void forget(request_id id) { this->requests.erase(id); }

    // Messages and disconnects of a host that isn't in the configuration in force are ignored.
    void receive(const std::string& from, const steering::peer_message& message);
    void peer_lost(const std::string& peer);
    // Pass the results of polling the targets and the platform to the core.
    void report(const steering::load_report& report);
    void platform(const steering::platform_list& list);
    steering::lookup_answer lookup(const steering::lookup_query& query);

    // Runs the core's periodic work; called every steering::tick_interval.
    void tick();
    void begin_shutdown();
    bool is_stopping() const { return this->stopping; }
    // Whether no request is in flight and the core allows the process to exit.
    bool may_exit() const;
    // The number of requests in flight.
    std::size_t in_flight() const { return this->requests.size(); }

private:
    void perform(const steering::actions& actions);
    void send_command(request_id id, command next);

    void perform_one(const steering::send_to_target& action);
    void perform_one(const steering::forward_to_host& action);
    void perform_one(const steering::refuse& action);
    void perform_one(const steering::abort_attempt& action);
    void perform_one(const steering::send_message& action);
    void perform_one(const steering::count_retry& action);

    steering::node core;
    entry_metrics& metrics;
    message_sender send;
    std::shared_ptr<const configuration_index> current;
    std::unordered_map<request_id, std::shared_ptr<request_commands>> requests;
    std::uint64_t last_request{};
    bool stopping{};
};

} // namespace bth::entry
