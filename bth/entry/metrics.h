// The figures of an entry host, as prometheus-cpp renders them at /metrics.
//
//   metrics.count_refusal(refusal_reason::queue_full);
//   std::string text = metrics.render(now);
//
// Labels are values of the enumerations in bth/base/reason.h and nothing else.
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

    void count_arrival() { this->arrivals->Increment(); }
    void count_forwarded_arrival() { this->forwarded_arrivals->Increment(); }
    void count_answer() { this->answers->Increment(); }
    // A begun answer that was cut off because its source failed.
    void count_cut() { this->cuts->Increment(); }
    void count_lookup() { this->lookups->Increment(); }
    void count_steering_sent(std::size_t bytes)
    {
        this->steering_messages->Increment();
        this->steering_bytes->Increment(static_cast<double>(bytes));
    }
    void count_steering_received() { this->steering_received->Increment(); }
    void count_caller_gone() { this->callers_gone->Increment(); }
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);

    void revision_in_force(revision number, time_point now);

    struct levels {
        std::size_t in_flight{};
        std::size_t connections{};
        std::size_t target_connections{};
        std::size_t streams{};
        bool stopping{};
    };

    // The text format of Prometheus.
    std::string render(const levels& present, time_point now);

    revision number() const { return this->configuration; }
    duration revision_age(time_point now) const { return now - this->configured_at; }

private:
    prometheus::Counter& counter(const char* name, const char* help);
    prometheus::Gauge& gauge(const char* name, const char* help);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter* arrivals;
    prometheus::Counter* forwarded_arrivals;
    prometheus::Counter* answers;
    prometheus::Counter* cuts;
    prometheus::Counter* lookups;
    prometheus::Counter* callers_gone;
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
    revision configuration;
    time_point configured_at;
};

} // namespace bth::entry
