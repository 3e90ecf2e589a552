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
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace bth::gateway {

class gateway_metrics {
public:
    gateway_metrics();

    void count_request() { this->requests->Increment(); }
    void count_caller_gone() { this->callers_gone->Increment(); }
    // 0 is the most urgent priority; a request whose route isn't known counts as such.
    void count_refusal(refusal_reason reason, std::uint32_t priority);
    void count_retry(retry_reason reason);
    // A retry that the budget did not allow.
    void count_retry_denied() { this->retries_denied->Increment(); }
    // An answer with this status went to a caller.
    void observe_answer(unsigned status, std::uint32_t priority, duration took);
    // A send to a target of this failure domain has ended.
    void observe_send(const std::string& domain, std::string_view outcome, duration took);

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
    // Less urgent priorities than the last are counted with it.
    static constexpr std::size_t priorities = 4;

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter* requests;
    prometheus::Counter* callers_gone;
    std::array<std::array<prometheus::Counter*, refusal_reason_count>, priorities> refusals{};
    prometheus::Counter* retries_denied;
    prometheus::Family<prometheus::Counter>* sends;
    prometheus::Family<prometheus::Histogram>* send_times;
    std::array<prometheus::Counter*, retry_reason_count> retries{};
    std::array<std::array<prometheus::Histogram*, status_classes>, priorities> answers{};
    prometheus::Gauge* in_flight;
    prometheus::Gauge* callers;
    prometheus::Gauge* idle_target_connections;
    prometheus::Gauge* targets;
    prometheus::Gauge* version;
    prometheus::Gauge* ready;
    prometheus::Gauge* log_lines_left_out;
};

} // namespace bth::gateway
