#include "bth/gateway/metrics.h"

#include <algorithm>
#include <chrono>

#include <prometheus/text_serializer.h>

namespace bth::gateway {

namespace {

// Upper ends of the latency buckets in seconds: objectives lie between 0.1 and 1.2 s, timeouts up
// to several seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.01, 0.025, 0.05, 0.1, 0.15, 0.25,
                                                              0.4,  0.6,   0.8,  1.2, 2.0,  4.0};

prometheus::Counter& one_counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& one_gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

gateway_metrics::gateway_metrics()
    : registry{std::make_shared<prometheus::Registry>()}, requests{&one_counter(
                                                              *this->registry,
                                                              "bth_gateway_requests_total",
                                                              "Requests that callers sent.")},
      callers_gone{&one_counter(*this->registry, "bth_gateway_callers_gone_total",
                                "Requests whose caller left before the answer.")},
      in_flight{&one_gauge(*this->registry, "bth_gateway_in_flight",
                           "Requests that wait for their answer.")},
      callers{&one_gauge(*this->registry, "bth_gateway_callers", "Open connections of callers.")},
      idle_target_connections{&one_gauge(*this->registry, "bth_gateway_idle_target_connections",
                                         "Connections to targets that are kept for reuse.")},
      targets{&one_gauge(*this->registry, "bth_gateway_targets", "Targets on the list.")},
      version{&one_gauge(*this->registry, "bth_gateway_configuration_version",
                         "The version of the configuration in force; 0 before the first.")},
      ready{&one_gauge(*this->registry, "bth_gateway_ready", "1 while this host takes callers.")},
      log_lines_left_out{&one_gauge(*this->registry, "bth_log_lines_left_out",
                                    "Log lines that were left out to bound the volume.")}
{
    auto& refused = prometheus::BuildCounter()
                        .Name("bth_gateway_refusals_total")
                        .Help("Requests that no target answered, by reason.")
                        .Register(*this->registry);
    for (std::size_t priority = 0; priority < priorities; ++priority) {
        for (const refusal_reason reason : all_refusal_reasons()) {
            this->refusals.at(priority).at(static_cast<std::size_t>(reason)) =
                &refused.Add({{"reason", std::string{to_string(reason)}},
                              {"priority", std::to_string(priority)}});
        }
    }
    auto& retried = prometheus::BuildCounter()
                        .Name("bth_gateway_retries_total")
                        .Help("Requests that were sent to a further target, by reason.")
                        .Register(*this->registry);
    for (const retry_reason reason : all_retry_reasons()) {
        this->retries.at(static_cast<std::size_t>(reason)) =
            &retried.Add({{"reason", std::string{to_string(reason)}}});
    }
    auto& answered = prometheus::BuildHistogram()
                         .Name("bth_gateway_answer_seconds")
                         .Help("Time from the request to the answer, by class of status.")
                         .Register(*this->registry);
    for (std::size_t priority = 0; priority < priorities; ++priority) {
        for (std::size_t each = 1; each < status_classes; ++each) {
            this->answers.at(priority).at(each) = &answered.Add(
                {{"status", std::to_string(each) + "xx"}, {"priority", std::to_string(priority)}},
                latency_buckets);
        }
    }
    this->retries_denied = &one_counter(*this->registry, "bth_gateway_retries_denied_total",
                                        "Retries that the budget of their service forbade.");
    this->sends = &prometheus::BuildCounter()
                       .Name("bth_gateway_sends_total")
                       .Help("Sends to targets, by failure domain of the target and outcome.")
                       .Register(*this->registry);
    this->send_times = &prometheus::BuildHistogram()
                            .Name("bth_gateway_send_seconds")
                            .Help("Time of a send, by failure domain of the target.")
                            .Register(*this->registry);
}

void gateway_metrics::count_refusal(refusal_reason reason, std::uint32_t priority)
{
    this->refusals.at(std::min<std::size_t>(priority, priorities - 1))
        .at(static_cast<std::size_t>(reason))
        ->Increment();
}

void gateway_metrics::count_retry(retry_reason reason)
{
    this->retries.at(static_cast<std::size_t>(reason))->Increment();
}

void gateway_metrics::observe_answer(unsigned status, std::uint32_t priority, duration took)
{
    constexpr unsigned statuses_in_a_class = 100;
    const std::size_t row =
        std::clamp<std::size_t>(status / statuses_in_a_class, 1, status_classes - 1);
    this->answers.at(std::min<std::size_t>(priority, priorities - 1))
        .at(row)
        ->Observe(std::chrono::duration<double>(took).count());
}

void gateway_metrics::observe_send(const std::string& domain, std::string_view outcome,
                                   duration took)
{
    // Add returns the one that is there already.
    this->sends->Add({{"domain", domain}, {"outcome", std::string{outcome}}}).Increment();
    this->send_times->Add({{"domain", domain}}, latency_buckets)
        .Observe(std::chrono::duration<double>(took).count());
}

std::string gateway_metrics::render(const levels& now)
{
    this->in_flight->Set(static_cast<double>(now.in_flight));
    this->callers->Set(static_cast<double>(now.callers));
    this->idle_target_connections->Set(static_cast<double>(now.idle_target_connections));
    this->targets->Set(static_cast<double>(now.targets));
    this->version->Set(static_cast<double>(now.version));
    this->ready->Set(now.ready ? 1.0 : 0.0);
    this->log_lines_left_out->Set(static_cast<double>(now.log_lines_left_out));
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace bth::gateway
