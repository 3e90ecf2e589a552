// Prometheus metrics of an entry host, served at /metrics.
//
//   metrics.count_refusal(refusal_reason::queue_full);
//   std::string text = metrics.render(gauge_values, now);
//
// The only label is the reason of a refusal or retry; its values are those of the enumerations in
// bth/base/reason.h.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace bth::entry {

class entry_metrics {
public:
    entry_metrics();

    // Counts a request received from a caller.
    void count_request() { this->requests->Increment(); }
    // Counts a request that another entry host forwarded to this one.
    void count_forwarded_request() { this->forwarded_requests->Increment(); }
    // Counts a response that was relayed in full.
    void count_response() { this->responses->Increment(); }
    // Counts a response that was started and then aborted because its source failed.
    void count_aborted_response() { this->aborted_responses->Increment(); }
    void count_lookup() { this->lookups->Increment(); }
    // Counts a steering message sent to another entry host, with its payload size in bytes.
    void count_steering_sent(std::size_t bytes)
    {
        this->steering_messages->Increment();
        this->steering_bytes->Increment(static_cast<double>(bytes));
    }
    // Counts a steering message received from another entry host.
    void count_steering_received() { this->steering_received->Increment(); }
    // Counts a request whose caller disconnected before the response was complete.
    void count_caller_disconnected() { this->caller_disconnects->Increment(); }
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);

    // Records that the configuration revision `number` came into force at `now`.
    void set_revision(revision number, time_point now);

    // Current values of the gauges.
    struct gauge_values {
        std::size_t in_flight{};
        // Open connections of callers.
        std::size_t connections{};
        std::size_t target_connections{};
        // Open streams with other entry hosts.
        std::size_t streams{};
        // Whether the host is stopping gracefully.
        bool stopping{};
    };

    // Returns all metrics in the Prometheus text format.
    std::string render(const gauge_values& values, time_point now);

    // Returns the configuration revision in force.
    revision number() const { return this->current_revision; }
    // Returns how long the revision has been in force at `now`.
    duration revision_age(time_point now) const { return now - this->revision_set_at; }

private:
    prometheus::Counter& counter(const char* name, const char* help);
    prometheus::Gauge& gauge(const char* name, const char* help);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter* requests;
    prometheus::Counter* forwarded_requests;
    prometheus::Counter* responses;
    prometheus::Counter* aborted_responses;
    prometheus::Counter* lookups;
    prometheus::Counter* caller_disconnects;
    prometheus::Counter* steering_messages;
    prometheus::Counter* steering_bytes;
    prometheus::Counter* steering_received;
    std::array<prometheus::Counter*, refusal_reason_count> refusals{};
    std::array<prometheus::Counter*, retry_reason_count> retries{};
    prometheus::Gauge* in_flight;
    prometheus::Gauge* connections;
    prometheus::Gauge* target_connections;
    prometheus::Gauge* streams;
    prometheus::Gauge* stopping;
    prometheus::Gauge* revision_number;
    prometheus::Gauge* revision_seconds;
    revision current_revision;
    time_point revision_set_at;
};

} // namespace bth::entry
