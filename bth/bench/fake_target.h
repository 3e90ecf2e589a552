// Fake targets: slots, service time, cold start, shedding, reports that lag, lie or stop, death.
// They hold the ground truth that the checks and the deciders with a true view look at.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bth::bench {

enum class report_mode : std::uint8_t {
    honest,
    lagging, // Tells what was true report_lag ago.
    lying,   // Tells that it is idle.
    silent,  // Tells nothing.
};

// How far a lagging report is behind, in samples of 100 ms.
inline constexpr std::size_t report_lag = 30;
// Answers that a cold target gives until it is warm, and how much slower the first one is.
inline constexpr std::uint32_t answers_until_warm = 300;
inline constexpr double cold_slowdown = 8.0;
// Requests that a target holds beyond its slots before it sheds.
inline constexpr std::size_t target_queue_limit = 32;

struct fake_target {
    // Requests under way, by attempt; never more than the slots.
    std::vector<std::uint32_t> running;
    // Requests that wait at the target, by attempt.
    std::deque<std::uint32_t> waiting;
    // In flight at each past sample, oldest first.
    std::deque<std::uint32_t> past;
    std::uint32_t life{};
    std::uint32_t cold_answers{};
    // How much slower than usual it is.
    double slowdown{1.0};
    // The share of requests whose connection it breaks after running them.
    double broken_part{};
    report_mode reports{report_mode::honest};
    bool alive{true};
    bool leaving{};
    std::optional<time_point> leaving_since;

    std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(this->running.size() + this->waiting.size());
    }
    // How much longer than usual the next request takes.
    double time_factor() const;
};

struct fake_targets {
    std::vector<fake_target> rows;

    fake_target& at(target_id id) { return this->rows.at(id.index()); }
    const fake_target& at(target_id id) const { return this->rows.at(id.index()); }
};

// What the target would answer to GET /load now; nothing if it is dead or silent.
std::optional<steering::load_report> report_of(const fake_target& from, target_id id,
                                               const config::target& row);

} // namespace bth::bench
