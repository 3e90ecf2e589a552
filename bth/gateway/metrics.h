// The figures of the request path, as prometheus-cpp renders them.
//
//   metrics.count_refusal(refusal_reason::no_target);
//   metrics.observe_answer(status, took);
//   std::string text = metrics.render(levels);
#pragma once

#include "bth/base/reason.h"
#include "bth/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace bth::gateway {

class gateway_metrics {
public:
    gateway_metrics();

    void count_request() { this->requests->Increment(); }
    void count_caller_gone() { this->callers_gone->Increment(); }
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);
    // An answer with this status went to a caller.
    void observe_answer(unsigned status, duration took);

    struct levels {
        std::size_t in_flight{};
        std::size_t callers{};
        std::size_t idle_target_connections{};
        std::size_t targets{};
        std::uint64_t version{};
        bool ready{};
        std::uint64_t log_lines_left_out{};
    };

    // The text format of Prometheus.
    std::string render(const levels& now);

private:
    // Statuses by their first digit, 1 to 5.
    static constexpr std::size_t status_classes = 6;

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter* requests;
    prometheus::Counter* callers_gone;
    std::array<prometheus::Counter*, refusal_reason_count> refusals{};
    std::array<prometheus::Counter*, retry_reason_count> retries{};
    std::array<prometheus::Histogram*, status_classes> answers{};
    prometheus::Gauge* in_flight;
    prometheus::Gauge* callers;
    prometheus::Gauge* idle_target_connections;
    prometheus::Gauge* targets;
    prometheus::Gauge* version;
    prometheus::Gauge* ready;
    prometheus::Gauge* log_lines_left_out;
};

} // namespace bth::gateway
