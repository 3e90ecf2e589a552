// Prometheus metrics of the request path.
//
//   metrics.count_refusal(refusal_reason::no_target, priority);
//   metrics.observe_response(status, priority, took);
//   std::string text = metrics.render(gauge_values);
#pragma once

#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/route/model.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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
    void count_caller_disconnected() { this->caller_disconnects->Increment(); }
    // Counts a request that ended without a complete response although its caller waited for it.
    void count_cut_request() { this->cut_requests->Increment(); }
    // Priority 0 is the most urgent; requests without a known route count as priority 0.
    void count_refusal(refusal_reason reason, std::uint32_t priority);
    void count_retry(retry_reason reason);
    // Counts a retry that the retry budget did not allow.
    void count_retry_denied() { this->retries_denied->Increment(); }
    // Records the response to a caller and the time from the request to it.
    void observe_response(unsigned status, std::uint32_t priority, duration took);
    // Records the end of one attempt at a target of this failure domain.
    void observe_send(const std::string& domain, std::string_view outcome, duration took);

    // Counts a target that leaves, once for each way in which that was learned.
    void count_leaving_target(std::string_view learned_from);
    // Counts a rest that a target asked for.
    void count_rest() { this->rests->Increment(); }
    // Counts a limit that a target named, once for each new value.
    void count_limit() { this->limits->Increment(); }
    // Counts an answer that was given up because it was too long.
    void count_too_long_answer() { this->too_long_answers->Increment(); }
    // Counts a request that another host sent, since this one reaches no target.
    void count_relayed() { this->relayed->Increment(); }
    // Counts a request that was given up although another host, to which it was forwarded, had not
    // replied.
    void count_forward_given_up(std::string_view why);
    // Sets whether this host reaches no target.
    void set_cut_off(bool is_cut_off) { this->cut_off->Set(is_cut_off ? 1 : 0); }
    // Counts a crash of a target, for each request that was running there.
    void count_crash() { this->crashes->Increment(); }
    // Counts a request that was not written, because its target accepted no further one.
    void count_withheld() { this->withheld->Increment(); }

    // Sets the customers whose responses are counted under their own names; of more than
    // max_named_customers, the rest are counted together.
    void set_customers(const std::vector<std::shared_ptr<const route::customer>>& customers);
    // Records the response to a request of a customer, and the time from the request to it.
    void observe_customer(const std::string& customer, unsigned status, duration took);

    // Current values of the gauges.
    struct gauge_values {
        std::size_t in_flight{};
        std::size_t callers{};
        std::size_t idle_target_connections{};
        std::size_t targets{};
        std::uint64_t version{};
        bool ready{};
        std::uint64_t log_lines_dropped{};
    };

    // Returns all metrics in the Prometheus text format.
    std::string render(const gauge_values& values);

private:
    // Status classes are indexed by the first digit of the status, 1 to 5; index 0 is unused.
    static constexpr std::size_t status_class_count = 6;
    // Less urgent priorities are counted with the last one.
    static constexpr std::size_t priority_count = 4;
    static constexpr std::size_t max_named_customers = 100;

    // Counted on the first response, since most hosts see few of the customers.
    struct customer_series {
        std::array<prometheus::Counter*, status_class_count> responses{};
        prometheus::Counter* over_allowance{};
        prometheus::Counter* seconds{};
    };
    customer_series& series_of(const std::string& customer);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter* requests;
    prometheus::Counter* caller_disconnects;
    prometheus::Counter* cut_requests;
    std::array<std::array<prometheus::Counter*, refusal_reason_count>, priority_count> refusals{};
    prometheus::Counter* retries_denied;
    prometheus::Counter* rests;
    prometheus::Counter* limits;
    prometheus::Counter* withheld;
    prometheus::Counter* crashes;
    prometheus::Counter* relayed;
    prometheus::Gauge* cut_off;
    prometheus::Counter* too_long_answers;
    std::set<std::string> named_customers;
    std::map<std::string, customer_series> customers;
    prometheus::Family<prometheus::Counter>* customer_responses;
    prometheus::Family<prometheus::Counter>* customer_refusals;
    prometheus::Family<prometheus::Counter>* customer_seconds;
    prometheus::Family<prometheus::Counter>* leaving_targets;
    prometheus::Family<prometheus::Counter>* forwards_given_up;
    prometheus::Family<prometheus::Counter>* sends;
    prometheus::Family<prometheus::Histogram>* send_times;
    std::array<prometheus::Counter*, retry_reason_count> retries{};
    std::array<std::array<prometheus::Histogram*, status_class_count>, priority_count>
        response_times{};
    prometheus::Gauge* in_flight;
    prometheus::Gauge* callers;
    prometheus::Gauge* idle_target_connections;
    prometheus::Gauge* targets;
    prometheus::Gauge* version;
    prometheus::Gauge* ready;
    prometheus::Gauge* log_lines_dropped;
};

} // namespace bth::gateway
