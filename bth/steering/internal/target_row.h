// The observed state of one target, and the limit on attempts in flight that follows from it. Used
// only by target_table.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"

#include <cstdint>

namespace bth::steering::internal {

enum class target_health : std::uint8_t {
    in_service,
    ejected, // Accepts no attempts until `ejected_until`.
    probing, // Accepts one attempt at a time; a good answer puts it in service again.
};

// The last load report of a target.
struct received_report {
    // Whether a report has been received.
    bool known{};
    time_point received_at;
    std::uint32_t in_flight{};
    std::uint32_t slots{};
    bool leaving{};
};

struct target_row {
    target_row(target_id row_id, const config::target& from, duration usual);

    // Record events of the target.
    void begin_attempt(time_point now);
    void end_good(duration took, time_point now);
    void end_bad(const attempt_result& result, time_point now);
    void record_report(const load_report& report, time_point now);
    void eject(time_point now);
    void start_cold();
    // Starts a new period when the current one has ended, and computes `limit`.
    void refresh(time_point now);

    // Returns whether enough attempts in a row have failed to eject the target.
    bool is_unhealthy() const;
    // Returns whether the target is unhealthy and its last failure is recent. Older failures don't
    // count, so that the target gets requests again.
    bool is_failing(time_point now) const;
    // Returns whether the last report is recent enough to be used.
    bool has_fresh_report(time_point now) const;
    // Returns the time that an attempt is expected to take. The effect of slow answers decays over
    // time, so that a target gets requests again and can prove that it has recovered.
    duration expected_time(time_point now) const;
    // Returns the expected cost of another attempt, from its expected time, the load of the target
    // and the share of failed attempts. The target with the lowest score is the best one.
    duration score() const;
    bool has_capacity() const
    {
        return this->in_flight + this->former_owner_attempts < this->limit;
    }

    target_id id;
    service_id service;
    std::uint32_t slots{};
    std::uint32_t connections{};
    // The usual time of a request, as configured for the service.
    duration usual_time{};

    std::uint32_t in_flight{};
    // Attempts of the former owner that are still in flight.
    std::uint32_t former_owner_attempts{};
    // The maximum number of attempts in flight now.
    std::uint32_t limit{};
    // Attempts in flight that were started under an earlier configuration, which may have had more
    // slots.
    std::uint32_t carried_over{};
    // Whether new attempts are stopped by target_table::set_closed.
    bool closed{};

    target_health health{target_health::in_service};
    time_point ejected_until;
    // Number of ejections; each one doubles the time of the next, up to a maximum.
    std::uint32_t ejections{};

    // The number of attempts in flight that the slow start allows; never more than `slots`.
    double slow_start_limit{};
    // The exponentially weighted mean time of an attempt, and when it was last updated.
    duration mean_time{};
    time_point mean_updated_at;
    std::uint32_t failures_in_row{};
    // The exponentially weighted share of failed attempts.
    double failure_share{};
    time_point last_failure;
    // As of the last refresh: the result of expected_time, and whether any request may probe the
    // target, not only a repeatable one.
    duration expected_duration{};
    bool any_request_may_probe{};
    // Whether so many attempts fail that only repeatable requests should go here.
    bool unreliable{};
    std::uint32_t connect_failures_in_row{};

    received_report last_report;
    // Consecutive fast answers that arrived while the target reported more load than this host
    // sent.
    std::uint32_t contradicting_answers{};

    // The maximum number of attempts in flight (peak), and the maximum at the time of a good answer
    // (proven), in the current period and in the previous one.
    time_point period_started_at;
    std::uint32_t peak{};
    std::uint32_t previous_peak{};
    std::uint32_t proven_in_flight{};
    std::uint32_t previous_proven_in_flight{};

private:
    std::uint32_t unexplained_claim() const;
    std::uint32_t credible_excess() const;
    std::uint32_t limit_by_report(time_point now) const;
    void advance_period(time_point now);
};

} // namespace bth::steering::internal
