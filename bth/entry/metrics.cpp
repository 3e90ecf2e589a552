#include "bth/entry/metrics.h"

#include <chrono>

#include <prometheus/text_serializer.h>

namespace bth::entry {

entry_metrics::entry_metrics()
    : registry{std::make_shared<prometheus::Registry>()}, requests{&this->counter(
                                                              "bth_requests_total",
                                                              "Requests of callers.")},
      forwarded_requests{
          &this->counter("bth_forwarded_requests_total", "Requests that other hosts forwarded.")},
      responses{&this->counter("bth_answers_total", "Whole answers passed on.")},
      aborted_responses{
          &this->counter("bth_cut_answers_total", "Begun answers cut off by a failure.")},
      lookups{&this->counter("bth_lookups_total", "Look-ups answered.")},
      caller_disconnects{
          &this->counter("bth_callers_gone_total", "Requests whose caller went away.")},
      steering_messages{&this->counter("bth_steering_messages_sent_total",
                                       "Steering messages sent to other hosts.")},
      steering_bytes{&this->counter("bth_steering_bytes_sent_total",
                                    "Payload bytes of steering messages sent.")},
      steering_received{&this->counter("bth_steering_messages_received_total",
                                       "Steering messages taken from other hosts.")},
      in_flight{&this->gauge("bth_in_flight", "Requests in flight.")},
      connections{&this->gauge("bth_caller_connections", "Open connections of callers.")},
      target_connections{&this->gauge("bth_target_connections", "Open connections to targets.")},
      streams{&this->gauge("bth_peer_streams", "Open streams with other entry hosts.")},
      stopping{&this->gauge("bth_stopping", "1 during a graceful stop.")},
      revision_number{&this->gauge("bth_configuration_revision", "Revision in force.")},
      revision_seconds{&this->gauge("bth_configuration_age_seconds",
                                    "Seconds since the revision in force was taken.")}
{
    auto& refusal_family = prometheus::BuildCounter()
                               .Name("bth_refusals_total")
                               .Help("Refusals by reason.")
                               .Register(*this->registry);
    for (const refusal_reason each : all_refusal_reasons()) {
        this->refusals.at(static_cast<std::size_t>(each)) =
            &refusal_family.Add({{"reason", std::string{to_string(each)}}});
    }
    auto& retry_family = prometheus::BuildCounter()
                             .Name("bth_retries_total")
                             .Help("Retries by reason.")
                             .Register(*this->registry);
    for (const retry_reason each : all_retry_reasons()) {
        this->retries.at(static_cast<std::size_t>(each)) =
            &retry_family.Add({{"reason", std::string{to_string(each)}}});
    }
}

prometheus::Counter& entry_metrics::counter(const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry).Add({});
}

prometheus::Gauge& entry_metrics::gauge(const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry).Add({});
}

void entry_metrics::count_refusal(refusal_reason reason)
{
    this->refusals.at(static_cast<std::size_t>(reason))->Increment();
}

void entry_metrics::count_retry(retry_reason reason)
{
    this->retries.at(static_cast<std::size_t>(reason))->Increment();
}

void entry_metrics::set_revision(revision number, time_point now)
{
    this->current_revision = number;
    this->revision_set_at = now;
}

std::string entry_metrics::render(const gauge_values& values, time_point now)
{
    this->in_flight->Set(static_cast<double>(values.in_flight));
    this->connections->Set(static_cast<double>(values.connections));
    this->target_connections->Set(static_cast<double>(values.target_connections));
    this->streams->Set(static_cast<double>(values.streams));
    this->stopping->Set(values.stopping ? 1 : 0);
    this->revision_number->Set(static_cast<double>(this->current_revision.value()));
    this->revision_seconds->Set(std::chrono::duration<double>{now - this->revision_set_at}.count());
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace bth::entry
