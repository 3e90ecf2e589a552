#include "bth/gateway/metrics.h"

#include <algorithm>
#include <chrono>

#include <prometheus/text_serializer.h>

namespace bth::gateway {

namespace {

// Upper bounds of the latency buckets in seconds. Latency objectives lie between 0.1 and 1.2 s,
// timeouts go up to several seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.01, 0.025, 0.05, 0.1, 0.15, 0.25,
                                                              0.4,  0.6,   0.8,  1.2, 2.0,  4.0};

prometheus::Counter& add_counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

constexpr unsigned too_many_requests = 429;

// Returns the first digit of a status.
std::size_t status_class_of(unsigned status)
{
    constexpr unsigned statuses_per_class = 100;
    constexpr std::size_t last_class = 5;
    return std::clamp<std::size_t>(status / statuses_per_class, 1, last_class);
}

} // namespace

gateway_metrics::gateway_metrics()
    : registry{std::make_shared<prometheus::Registry>()}, requests{&add_counter(
                                                              *this->registry,
                                                              "bth_gateway_requests_total",
                                                              "Requests that callers sent.")},
      caller_disconnects{&add_counter(*this->registry, "bth_gateway_callers_gone_total",
                                      "Requests whose caller left before the answer.")},
      cut_requests{&add_counter(*this->registry, "bth_gateway_requests_cut_total",
                                "Requests that this host ended without a complete answer.")},
      in_flight{&add_gauge(*this->registry, "bth_gateway_in_flight",
                           "Requests that wait for their answer.")},
      callers{&add_gauge(*this->registry, "bth_gateway_callers", "Open connections of callers.")},
      idle_target_connections{&add_gauge(*this->registry, "bth_gateway_idle_target_connections",
                                         "Connections to targets that are kept for reuse.")},
      targets{&add_gauge(*this->registry, "bth_gateway_targets", "Targets on the list.")},
      version{&add_gauge(*this->registry, "bth_gateway_configuration_version",
                         "The version of the configuration in force; 0 before the first.")},
      ready{&add_gauge(*this->registry, "bth_gateway_ready", "1 while this host takes callers.")},
      log_lines_dropped{&add_gauge(*this->registry, "bth_log_lines_left_out",
                                   "Log lines that were left out to bound the volume.")}
{
    auto& refusal_family = prometheus::BuildCounter()
                               .Name("bth_gateway_refusals_total")
                               .Help("Requests that no target answered, by reason.")
                               .Register(*this->registry);
    for (std::size_t priority = 0; priority < priority_count; ++priority) {
        for (const refusal_reason reason : all_refusal_reasons()) {
            this->refusals.at(priority).at(static_cast<std::size_t>(reason)) =
                &refusal_family.Add({{"reason", std::string{to_string(reason)}},
                                     {"priority", std::to_string(priority)}});
        }
    }
    auto& retry_family = prometheus::BuildCounter()
                             .Name("bth_gateway_retries_total")
                             .Help("Requests that were sent to a further target, by reason.")
                             .Register(*this->registry);
    for (const retry_reason reason : all_retry_reasons()) {
        this->retries.at(static_cast<std::size_t>(reason)) =
            &retry_family.Add({{"reason", std::string{to_string(reason)}}});
    }
    auto& response_time_family =
        prometheus::BuildHistogram()
            .Name("bth_gateway_answer_seconds")
            .Help("Time from the request to the answer, by class of status.")
            .Register(*this->registry);
    for (std::size_t priority = 0; priority < priority_count; ++priority) {
        for (std::size_t status_class = 1; status_class < status_class_count; ++status_class) {
            this->response_times.at(priority).at(status_class) =
                &response_time_family.Add({{"status", std::to_string(status_class) + "xx"},
                                           {"priority", std::to_string(priority)}},
                                          latency_buckets);
        }
    }
    this->retries_denied = &add_counter(*this->registry, "bth_gateway_retries_denied_total",
                                        "Retries that the budget of their service forbade.");
    this->rests = &add_counter(*this->registry, "bth_gateway_target_rests_total",
                               "Rests that targets asked for.");
    this->limits = &add_counter(*this->registry, "bth_gateway_target_limits_total",
                                "Limits that targets named, once for each new value.");
    this->too_long_answers =
        &add_counter(*this->registry, "bth_gateway_too_long_answers_total",
                     "Answers of targets that were given up because they were too long.");
    this->cut_off =
        &add_gauge(*this->registry, "bth_gateway_cut_off", "1 while this host reaches no target.");
    this->relayed =
        &add_counter(*this->registry, "bth_gateway_relayed_total",
                     "Requests that another host sent, since this one reached no target.");
    this->crashes = &add_counter(*this->registry, "bth_gateway_target_crashes_total",
                                 "Requests that were running at a target when it crashed.");
    this->withheld =
        &add_counter(*this->registry, "bth_gateway_withheld_total",
                     "Requests not written because their target accepted no further one.");
    this->customer_responses =
        &prometheus::BuildCounter()
             .Name("bth_gateway_customer_responses_total")
             .Help("Responses to requests of a customer, by class of status.")
             .Register(*this->registry);
    this->customer_refusals =
        &prometheus::BuildCounter()
             .Name("bth_gateway_customer_over_allowance_total")
             .Help("Requests refused because the customer's allowance was used up.")
             .Register(*this->registry);
    this->customer_seconds = &prometheus::BuildCounter()
                                  .Name("bth_gateway_customer_response_seconds_total")
                                  .Help("Time from the requests of a customer to their responses.")
                                  .Register(*this->registry);
    this->leaving_targets =
        &prometheus::BuildCounter()
             .Name("bth_gateway_targets_leaving_total")
             .Help("Targets that leave, by whether an answer or the list said so.")
             .Register(*this->registry);
    this->forwards_given_up =
        &prometheus::BuildCounter()
             .Name("bth_gateway_forwards_given_up_total")
             .Help("Requests given up before the host to which they were forwarded replied.")
             .Register(*this->registry);
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
    this->refusals.at(std::min<std::size_t>(priority, priority_count - 1))
        .at(static_cast<std::size_t>(reason))
        ->Increment();
}

void gateway_metrics::set_customers(
    const std::vector<std::shared_ptr<const route::customer>>& customers_in_force)
{
    for (const auto& each : customers_in_force) {
        if (this->named_customers.size() < max_named_customers) {
            this->named_customers.insert(each->name);
        }
    }
}

gateway_metrics::customer_series& gateway_metrics::series_of(const std::string& customer)
{
    const std::string label = this->named_customers.contains(customer) ? customer : "(others)";
    const auto [found, is_new] = this->customers.try_emplace(label);
    if (is_new) {
        auto& series = found->second;
        for (std::size_t status_class = 1; status_class < status_class_count; ++status_class) {
            series.responses.at(status_class) = &this->customer_responses->Add(
                {{"customer", label}, {"status", std::to_string(status_class) + "xx"}});
        }
        series.over_allowance = &this->customer_refusals->Add({{"customer", label}});
        series.seconds = &this->customer_seconds->Add({{"customer", label}});
    }
    return found->second;
}

void gateway_metrics::observe_customer(const std::string& customer, unsigned status, duration took)
{
    auto& series = this->series_of(customer);
    series.responses.at(status_class_of(status))->Increment();
    if (status == too_many_requests) {
        series.over_allowance->Increment();
    }
    series.seconds->Increment(std::chrono::duration<double>(took).count());
}

void gateway_metrics::count_retry(retry_reason reason)
{
    this->retries.at(static_cast<std::size_t>(reason))->Increment();
}

void gateway_metrics::observe_response(unsigned status, std::uint32_t priority, duration took)
{
    this->response_times.at(std::min<std::size_t>(priority, priority_count - 1))
        .at(status_class_of(status))
        ->Observe(std::chrono::duration<double>(took).count());
}

void gateway_metrics::observe_send(const std::string& domain, std::string_view outcome,
                                   duration took)
{
    // Add returns the existing metric if one has these labels.
    this->sends->Add({{"domain", domain}, {"outcome", std::string{outcome}}}).Increment();
    this->send_times->Add({{"domain", domain}}, latency_buckets)
        .Observe(std::chrono::duration<double>(took).count());
}

void gateway_metrics::count_leaving_target(std::string_view learned_from)
{
    this->leaving_targets->Add({{"learned_from", std::string{learned_from}}}).Increment();
}

void gateway_metrics::count_forward_given_up(std::string_view why)
{
    this->forwards_given_up->Add({{"why", std::string{why}}}).Increment();
}

std::string gateway_metrics::render(const gauge_values& values)
{
    this->in_flight->Set(static_cast<double>(values.in_flight));
    this->callers->Set(static_cast<double>(values.callers));
    this->idle_target_connections->Set(static_cast<double>(values.idle_target_connections));
    this->targets->Set(static_cast<double>(values.targets));
    this->version->Set(static_cast<double>(values.version));
    this->ready->Set(values.ready ? 1.0 : 0.0);
    this->log_lines_dropped->Set(static_cast<double>(values.log_lines_dropped));
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace bth::gateway
