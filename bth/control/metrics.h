// The metrics of bth-control.
//
//   control_metrics metrics;
//   metrics.count(applied);
//   std::string page = metrics.text();
#pragma once

#include "bth/control/edit.h"
#include "bth/control/edit_book.h"
#include "bth/control/proposer.h"

#include <array>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace bth::control {

class control_metrics {
public:
    control_metrics();

    // An edit that the book answered: one count by its outcome, or as a resend.
    void count(const applied_edit& applied);
    // An edit that the book didn't answer.
    void count(const proposal_failure& failure);
    // A request whose body is no edit.
    void count_bad_request();
    void show(const control_status& status);

    // All metrics in the text format of Prometheus.
    std::string text() const;

private:
    prometheus::Registry registry;
    std::array<prometheus::Counter*, edit_outcome_count> edits{};
    std::array<prometheus::Counter*, proposal_failure_reason_count> not_accepted{};
    std::array<prometheus::Counter*, proposal_failure_reason_count> unknown{};
    prometheus::Counter* resends{};
    prometheus::Counter* bad_requests{};
    prometheus::Gauge* version{};
    prometheus::Gauge* kept_ids{};
    prometheus::Gauge* leads{};
    prometheus::Gauge* leader_known{};
    prometheus::Gauge* term{};
    prometheus::Gauge* caught_up{};
};

} // namespace bth::control
