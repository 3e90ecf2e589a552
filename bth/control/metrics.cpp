#include "bth/control/metrics.h"

#include <prometheus/text_serializer.h>

namespace bth::control {

namespace {

prometheus::Counter& one_counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& one_gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

control_metrics::control_metrics()
    : resends{&one_counter(this->registry, "bth_control_edit_resends_total",
                           "Edits that got the answer of an earlier try.")},
      bad_requests{&one_counter(this->registry, "bth_control_bad_requests_total",
                                "Requests for an edit whose body was not understood.")},
      version{&one_gauge(this->registry, "bth_control_version",
                         "The version of the text that this host has applied.")},
      kept_ids{&one_gauge(this->registry, "bth_control_kept_edit_ids",
                          "Edit ids that are kept with their answers.")},
      leads{&one_gauge(this->registry, "bth_control_leader", "1 while this host is the leader.")},
      leader_known{&one_gauge(this->registry, "bth_control_leader_known",
                              "1 while this host knows a leader that is in charge.")},
      term{&one_gauge(this->registry, "bth_control_term", "The term of the agreed log.")},
      caught_up{&one_gauge(this->registry, "bth_control_caught_up",
                           "0 while this host may be behind what it had before a restart.")}
{
    auto& edit_family = prometheus::BuildCounter()
                            .Name("bth_control_edits_total")
                            .Help("Edits that were decided, by outcome; resends not counted.")
                            .Register(this->registry);
    for (const edit_outcome outcome : all_edit_outcomes()) {
        this->edits.at(static_cast<std::size_t>(outcome)) =
            &edit_family.Add({{"outcome", std::string{to_string(outcome)}}});
    }
    auto& failures = prometheus::BuildCounter()
                         .Name("bth_control_edits_undecided_total")
                         .Help("Edits that got no decision, by reason and by what is known.")
                         .Register(this->registry);
    for (const proposal_failure_reason reason : all_proposal_failure_reasons()) {
        const std::string name{to_string(reason)};
        const auto index = static_cast<std::size_t>(reason);
        this->not_accepted.at(index) = &failures.Add({{"reason", name}, {"accepted", "no"}});
        this->unknown.at(index) = &failures.Add({{"reason", name}, {"accepted", "unknown"}});
    }
}

void control_metrics::count(const applied_edit& applied)
{
    if (applied.resend && applied.answer.outcome != edit_outcome::id_reused) {
        this->resends->Increment();
        return;
    }
    this->edits.at(static_cast<std::size_t>(applied.answer.outcome))->Increment();
}

void control_metrics::count(const proposal_failure& failure)
{
    const auto index = static_cast<std::size_t>(failure.reason);
    const bool known = failure.accepted == run_state::no;
    (known ? this->not_accepted : this->unknown).at(index)->Increment();
}

void control_metrics::count_bad_request()
{
    this->bad_requests->Increment();
}

void control_metrics::show(const control_status& status)
{
    this->version->Set(static_cast<double>(status.version.value()));
    this->kept_ids->Set(static_cast<double>(status.kept_ids));
    this->leads->Set(status.role == "leader" ? 1 : 0);
    this->leader_known->Set(status.leader.empty() ? 0 : 1);
    this->term->Set(static_cast<double>(status.term));
    this->caught_up->Set(status.caught_up ? 1 : 0);
}

std::string control_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(this->registry.Collect());
}

} // namespace bth::control
