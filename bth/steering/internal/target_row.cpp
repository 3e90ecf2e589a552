#include "bth/steering/internal/target_row.h"

#include <algorithm>
#include <cmath>

namespace bth::steering::internal {

namespace {

// Older reports are ignored.
constexpr duration max_report_age = std::chrono::seconds{3};
// The period over which peaks and proven attempts in flight are measured. While reports are
// missing, the limit of a target falls by one for each period without new proof.
constexpr duration proof_period = std::chrono::seconds{5};

// The increase of the slow-start limit for a good answer; a slow answer adds a quarter of it.
constexpr double slow_start_step = 0.125;
constexpr double slow_answer_slow_start_step = slow_start_step / 4;
// An answer is slow if it takes more than this many times the usual time.
constexpr int slow_answer_factor = 2;
constexpr double initial_slow_start_limit = 1.0;

// A new sample has the weight 1 / mean_time_weight in the mean time.
constexpr int mean_time_weight = 8;
// Without samples, the excess of the mean time over the usual time is halved in this time.
constexpr duration excess_half_life = std::chrono::seconds{2};
constexpr int max_halvings = 16;

constexpr std::uint32_t ejecting_failures_in_row = 8;
// A target that fails this share of its attempts is unreliable and accepts one at a time.
constexpr double unreliable_share = 0.25;
// The weight of a new sample in the share of failed attempts.
constexpr double failure_weight = 1.0 / 16;
// The cost of a failed attempt, as a multiple of the expected time of an attempt.
constexpr double failed_attempt_cost = 8;
constexpr std::uint32_t ejecting_connect_failures_in_row = 2;
constexpr duration failing_window = std::chrono::seconds{3};
// For this long after an ejection ends, only repeatable requests may probe the target. Later any
// request may.
constexpr duration any_request_probe_delay = std::chrono::seconds{5};
constexpr duration first_ejection_time = std::chrono::seconds{1};
constexpr std::uint32_t max_ejection_doublings = 5;

// This many fast answers in contradiction to the reported load give back one slot.
constexpr std::uint32_t answers_per_refuted_slot = 16;

} // namespace

target_row::target_row(target_id row_id, const config::target& from, duration usual)
    : id{row_id}, service{from.service}, slots{from.slots}, connections{from.connections},
      usual_time{usual}, slow_start_limit{initial_slow_start_limit}, mean_time{usual}
{}

void target_row::begin_attempt(time_point now)
{
    this->advance_period(now);
    ++this->in_flight;
    this->peak = std::max(this->peak, this->in_flight);
}

void target_row::end_good(duration took, time_point now)
{
    this->advance_period(now);
    this->proven_in_flight = std::max(this->proven_in_flight, this->in_flight);
    --this->in_flight;
    this->failures_in_row = 0;
    this->failure_share -= this->failure_share * failure_weight;
    this->connect_failures_in_row = 0;
    const bool slow = took > this->usual_time * slow_answer_factor;
    this->slow_start_limit =
        std::min<double>(this->slots, this->slow_start_limit +
                                          (slow ? slow_answer_slow_start_step : slow_start_step));
    this->mean_time = this->expected_time(now);
    this->mean_time += (took - this->mean_time) / mean_time_weight;
    this->mean_updated_at = now;
    this->contradicting_answers =
        slow || this->unexplained_claim() == 0 ? 0 : this->contradicting_answers + 1;
    if (this->health == target_health::probing) {
        this->health = target_health::in_service;
        this->slow_start_limit = initial_slow_start_limit;
    }
}

void target_row::end_bad(const attempt_result& result, time_point now)
{
    this->advance_period(now);
    --this->in_flight;
    this->contradicting_answers = 0;
    ++this->failures_in_row;
    this->last_failure = now;
    this->failure_share += (1 - this->failure_share) * failure_weight;
    if (result.outcome == attempt_outcome::connect_failed) {
        ++this->connect_failures_in_row;
    }
    if (result.outcome == attempt_outcome::timed_out ||
        result.outcome == attempt_outcome::not_run || result.shed) {
        this->slow_start_limit = std::max(initial_slow_start_limit, this->slow_start_limit - 1);
    }
    if (this->health == target_health::probing) {
        this->eject(now);
    }
}

void target_row::record_report(const load_report& report, time_point now)
{
    if (this->last_report.leaving && !report.leaving) {
        this->start_cold();
    }
    this->last_report = {true, now, report.in_flight, report.slots, report.leaving};
}

void target_row::eject(time_point now)
{
    this->health = target_health::ejected;
    this->failure_share = 0;
    this->ejected_until =
        now + first_ejection_time * (1U << std::min(this->ejections, max_ejection_doublings));
    ++this->ejections;
}

void target_row::start_cold()
{
    this->slow_start_limit = initial_slow_start_limit;
    this->proven_in_flight = 0;
    this->previous_proven_in_flight = 0;
}

bool target_row::is_unhealthy() const
{
    return this->failures_in_row >= ejecting_failures_in_row ||
           this->connect_failures_in_row >= ejecting_connect_failures_in_row;
}

bool target_row::is_failing(time_point now) const
{
    return this->is_unhealthy() && now - this->last_failure < failing_window;
}

bool target_row::has_fresh_report(time_point now) const
{
    return this->last_report.known && now - this->last_report.received_at <= max_report_age;
}

duration target_row::expected_time(time_point now) const
{
    const duration excess = this->mean_time - this->usual_time;
    const auto halvings =
        std::min<duration::rep>((now - this->mean_updated_at) / excess_half_life, max_halvings);
    if (excess <= duration{}) {
        return this->mean_time;
    }
    return this->usual_time + excess / (duration::rep{1} << halvings);
}

duration target_row::score() const
{
    const duration loaded_duration =
        this->expected_duration +
        this->expected_duration * this->in_flight / std::max<std::uint32_t>(this->limit, 1);
    const double factor = 1 + failed_attempt_cost * this->failure_share;
    return duration{
        static_cast<duration::rep>(static_cast<double>(loaded_duration.count()) * factor)};
}

void target_row::advance_period(time_point now)
{
    if (now - this->period_started_at < proof_period) {
        return;
    }
    this->period_started_at = now;
    this->previous_peak = this->peak;
    this->peak = this->in_flight;
    const std::uint32_t decayed =
        this->previous_proven_in_flight == 0 ? 0 : this->previous_proven_in_flight - 1;
    this->previous_proven_in_flight = std::max(this->proven_in_flight, decayed);
    this->proven_in_flight = 0;
}

// Returns by how much the reported load exceeds the attempts of this host. Only this host sends
// requests to the target, so nothing that this host knows explains the excess.
std::uint32_t target_row::unexplained_claim() const
{
    const std::uint32_t observed_peak = std::max(this->peak, this->previous_peak);
    return this->last_report.in_flight > observed_peak ? this->last_report.in_flight - observed_peak
                                                       : 0;
}

// Returns the part of the unexplained claim that fast answers haven't refuted.
std::uint32_t target_row::credible_excess() const
{
    const std::uint32_t excess = this->unexplained_claim();
    const std::uint32_t refuted = this->contradicting_answers / answers_per_refuted_slot;
    return excess > refuted ? excess - refuted : 0;
}

// Returns the limit that follows from the last report, or from the proven attempts in flight if
// there is no recent report. It is at least one, so that answers keep showing the state of the
// target.
std::uint32_t target_row::limit_by_report(time_point now) const
{
    if (!this->has_fresh_report(now)) {
        return std::max({1U, this->proven_in_flight, this->previous_proven_in_flight});
    }
    const std::uint32_t reported_slots =
        this->last_report.slots == 0 ? this->slots : this->last_report.slots;
    const std::uint32_t excess = this->credible_excess();
    return reported_slots > excess + 1 ? reported_slots - excess : 1;
}

void target_row::refresh(time_point now)
{
    this->advance_period(now);
    if (this->health == target_health::ejected && now >= this->ejected_until) {
        this->health = target_health::probing;
    }
    this->carried_over = std::min(this->carried_over, this->in_flight);
    this->expected_duration = this->expected_time(now);
    this->unreliable = this->failure_share >= unreliable_share;
    this->any_request_may_probe = now - this->ejected_until >= any_request_probe_delay;
    if (this->closed || this->last_report.leaving || this->health == target_health::ejected) {
        this->limit = 0;
        return;
    }
    if (this->health == target_health::probing) {
        this->limit = 1;
        return;
    }
    const auto slow_start_slots =
        this->unreliable ? 1U : static_cast<std::uint32_t>(std::floor(this->slow_start_limit));
    this->limit =
        std::min({this->slots, this->connections, slow_start_slots, this->limit_by_report(now)});
}

} // namespace bth::steering::internal
