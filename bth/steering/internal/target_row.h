// What is known of one target, and what follows for the tries that it may carry. Only target_table
// uses it.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"

#include <cstdint>

namespace bth::steering::internal {

enum class target_standing : std::uint8_t {
    in_service,
    ejected, // Takes nothing until `ejected_until`.
    probing, // Takes one try at a time; a good answer brings it back.
};

// The last word of a target about itself.
struct target_word {
    bool known{};
    time_point at;
    std::uint32_t in_flight{};
    std::uint32_t slots{};
    bool leaving{};
};

struct target_row {
    target_row(target_id row_id, const config::target& from, duration usual);

    // Events.
    void begin(time_point now);
    void end_good(duration took, time_point now);
    void end_bad(const try_result& result, time_point now);
    void hear(const load_report& report, time_point now);
    void eject(time_point now);
    void start_cold();
    // Moves the periods of peaks on and computes `limit`.
    void refresh(time_point now);

    // Whether the target has failed so often that it should be ejected.
    bool looks_bad() const;
    // Whether the target looks bad now: a failure of long ago doesn't count, so that work comes
    // back.
    bool failing(time_point now) const;
    // Whether the report is recent enough to be believed at all.
    bool is_known(time_point now) const;
    // The time that a try is expected to take; old slow answers are slowly forgotten, so that a
    // target gets the chance to show that it has recovered.
    duration expected_time(time_point now) const;
    // What a further try is expected to cost: time, crowding and the chance that it fails. The
    // target with the least score is the best one.
    duration score() const;
    bool has_room() const { return this->in_flight + this->handed < this->limit; }

    target_id id;
    service_id service;
    std::uint32_t slots{};
    std::uint32_t connections{};
    // The service's usual time for one request.
    duration usual_time{};

    std::uint32_t in_flight{};
    // Tries of the former owner that still run.
    std::uint32_t handed{};
    // The most tries that may run now.
    std::uint32_t limit{};
    // Tries that run by right of an earlier configuration with more slots.
    std::uint32_t grandfathered{};
    bool closed{};

    target_standing standing{target_standing::in_service};
    time_point ejected_until;
    std::uint32_t ejections{};

    // The tries that the ramp allows; it may exceed `slots` by nothing.
    double ramp{};
    // Mean time of a try, exponentially weighted, and when it was last updated.
    duration mean_time{};
    time_point mean_at;
    std::uint32_t failures_in_row{};
    // Share of tries that failed, exponentially weighted.
    double failure_share{};
    time_point last_failure;
    // As of the last refresh: expected_time, and whether any request may be the probe, not only a
    // repeatable one.
    duration expected{};
    bool probed_by_any{};
    // Whether so many tries fail that only what may be repeated should go here.
    bool unreliable{};
    std::uint32_t connect_failures_in_row{};

    target_word word;
    // Good answers that came while the target claimed to be fuller than this host could see.
    std::uint32_t contradictions{};

    // The most tries in flight, and the most at the time of a good answer, in the present period
    // and the one before.
    time_point period_began;
    std::uint32_t peak{};
    std::uint32_t last_peak{};
    std::uint32_t proven{};
    std::uint32_t last_proven{};

private:
    std::uint32_t unseen_claim() const;
    std::uint32_t claimed_excess() const;
    std::uint32_t limit_by_word(time_point now) const;
    void move_period(time_point now);
};

} // namespace bth::steering::internal
