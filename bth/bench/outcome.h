// What a run measured, as its callers and targets saw it.
#pragma once

#include "bth/base/reason.h"
#include "bth/bench/audit.h"
#include "bth/bench/histogram.h"
#include "bth/steering/events.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bth::bench {

// A name for the lines of a session.
std::string_view outcome_name(steering::attempt_outcome which);

struct class_outcome {
    // Requests that callers made while it was measured, resends left out.
    std::uint64_t offered{};
    std::uint64_t served{};
    // Those that broke, ran out of time or found no host.
    std::uint64_t lost{};
    histogram latency;
};

struct outcome {
    std::vector<class_outcome> classes;
    histogram latency;
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    // Requests that targets began to run, and those that callers or targets made.
    std::uint64_t runs{};
    std::uint64_t requests{};
    std::uint64_t retries{};
    std::uint64_t messages{};
    // From the first word of a drain until the last request there ended; zero without a drain.
    duration drain_time{};
    audit::peaks peaks;
    std::array<breach, rule_count> breaches;

    std::uint64_t offered() const;
    std::uint64_t served() const;
    double served_part() const;
    double served_part(std::size_t class_index) const;
    bool clean() const;
};

} // namespace bth::bench
