#include "bth/steering/internal/target_row.h"

#include <algorithm>
#include <cmath>

namespace bth::steering::internal {

namespace {

// A report older than this is unknown.
constexpr duration report_limit = std::chrono::seconds{3};
// How long peaks and proofs count, and how often an unknown target without new proof shrinks.
constexpr duration period = std::chrono::seconds{5};

// What one good answer adds to the ramp; a slow one adds a quarter of it.
constexpr double ramp_step = 0.125;
constexpr double slow_ramp_step = ramp_step / 4;
constexpr int slow_factor = 2;
constexpr double cold_ramp = 1.0;

// The weight of a new sample in the mean time: 1 / this.
constexpr int mean_weight = 8;
// Half of the excess of the mean time over the usual time is forgotten in this time without
// samples.
constexpr duration forget_half = std::chrono::seconds{2};
constexpr int most_halvings = 16;

constexpr std::uint32_t bad_failures_in_row = 8;
// A target that fails this share of its tries takes one at a time.
constexpr double unreliable_share = 0.25;
constexpr double failure_weight = 1.0 / 16;
// What a failed try costs, in tries.
constexpr double failure_cost = 8;
constexpr std::uint32_t bad_connect_failures_in_row = 2;
constexpr duration failure_memory = std::chrono::seconds{3};
// After this time any request may probe an ejected target.
constexpr duration probe_wait = std::chrono::seconds{5};
constexpr duration first_ejection = std::chrono::seconds{1};
constexpr std::uint32_t most_doublings = 5;

// So many good answers against a target's claim give back one slot.
constexpr std::uint32_t answers_per_contradiction = 16;

} // namespace

target_row::target_row(target_id row_id, const config::target& from, duration usual)
    : id{row_id}, service{from.service}, slots{from.slots}, connections{from.connections},
      usual_time{usual}, ramp{cold_ramp}, mean_time{usual}
{}

void target_row::begin(time_point now)
{
    this->move_period(now);
    ++this->in_flight;
    this->peak = std::max(this->peak, this->in_flight);
}

void target_row::end_good(duration took, time_point now)
{
    this->move_period(now);
    this->proven = std::max(this->proven, this->in_flight);
    --this->in_flight;
    this->failures_in_row = 0;
    this->failure_share -= this->failure_share * failure_weight;
    this->connect_failures_in_row = 0;
    const bool slow = took > this->usual_time * slow_factor;
    this->ramp = std::min<double>(this->slots, this->ramp + (slow ? slow_ramp_step : ramp_step));
    this->mean_time = this->expected_time(now);
    this->mean_time += (took - this->mean_time) / mean_weight;
    this->mean_at = now;
    this->contradictions = slow || this->unseen_claim() == 0 ? 0 : this->contradictions + 1;
    if (this->standing == target_standing::probing) {
        this->standing = target_standing::in_service;
        this->ramp = cold_ramp;
    }
}

void target_row::end_bad(const try_result& result, time_point now)
{
    this->move_period(now);
    --this->in_flight;
    this->contradictions = 0;
    ++this->failures_in_row;
    this->last_failure = now;
    this->failure_share += (1 - this->failure_share) * failure_weight;
    if (result.outcome == try_outcome::connect_failed) {
        ++this->connect_failures_in_row;
    }
    if (result.outcome == try_outcome::timed_out || result.outcome == try_outcome::not_run ||
        result.shed) {
        this->ramp = std::max(cold_ramp, this->ramp - 1);
    }
    if (this->standing == target_standing::probing) {
        this->eject(now);
    }
}

void target_row::hear(const load_report& report, time_point now)
{
    if (this->word.leaving && !report.leaving) {
        this->start_cold();
    }
    this->word = {true, now, report.in_flight, report.slots, report.leaving};
}

void target_row::eject(time_point now)
{
    this->standing = target_standing::ejected;
    this->failure_share = 0;
    this->ejected_until = now + first_ejection * (1U << std::min(this->ejections, most_doublings));
    ++this->ejections;
}

void target_row::start_cold()
{
    this->ramp = cold_ramp;
    this->proven = 0;
    this->last_proven = 0;
}

bool target_row::looks_bad() const
{
    return this->failures_in_row >= bad_failures_in_row ||
           this->connect_failures_in_row >= bad_connect_failures_in_row;
}

bool target_row::failing(time_point now) const
{
    return this->looks_bad() && now - this->last_failure < failure_memory;
}

bool target_row::is_known(time_point now) const
{
    return this->word.known && now - this->word.at <= report_limit;
}

duration target_row::expected_time(time_point now) const
{
    const duration excess = this->mean_time - this->usual_time;
    const auto halvings =
        std::min<duration::rep>((now - this->mean_at) / forget_half, most_halvings);
    if (excess <= duration{}) {
        return this->mean_time;
    }
    return this->usual_time + excess / (duration::rep{1} << halvings);
}

duration target_row::score() const
{
    const duration crowded =
        this->expected + this->expected * this->in_flight / std::max<std::uint32_t>(this->limit, 1);
    const double factor = 1 + failure_cost * this->failure_share;
    return duration{static_cast<duration::rep>(static_cast<double>(crowded.count()) * factor)};
}

void target_row::move_period(time_point now)
{
    if (now - this->period_began < period) {
        return;
    }
    this->period_began = now;
    this->last_peak = this->peak;
    this->peak = this->in_flight;
    const std::uint32_t shrunk = this->last_proven == 0 ? 0 : this->last_proven - 1;
    this->last_proven = std::max(this->proven, shrunk);
    this->proven = 0;
}

// How much fuller the target claims to be than this host, which alone sends to it, can have made
// it.
std::uint32_t target_row::unseen_claim() const
{
    const std::uint32_t seen = std::max(this->peak, this->last_peak);
    return this->word.in_flight > seen ? this->word.in_flight - seen : 0;
}

// The part of that claim against which no quick answers speak.
std::uint32_t target_row::claimed_excess() const
{
    const std::uint32_t excess = this->unseen_claim();
    const std::uint32_t refuted = this->contradictions / answers_per_contradiction;
    return excess > refuted ? excess - refuted : 0;
}

// What the target's own word leaves: one try at the least, so that its answers go on telling.
std::uint32_t target_row::limit_by_word(time_point now) const
{
    if (!this->is_known(now)) {
        return std::max({1U, this->proven, this->last_proven});
    }
    const std::uint32_t stated = this->word.slots == 0 ? this->slots : this->word.slots;
    const std::uint32_t excess = this->claimed_excess();
    return stated > excess + 1 ? stated - excess : 1;
}

void target_row::refresh(time_point now)
{
    this->move_period(now);
    if (this->standing == target_standing::ejected && now >= this->ejected_until) {
        this->standing = target_standing::probing;
    }
    this->grandfathered = std::min(this->grandfathered, this->in_flight);
    this->expected = this->expected_time(now);
    this->probed_by_any = now - this->ejected_until >= probe_wait;
    if (this->closed || this->word.leaving || this->standing == target_standing::ejected) {
        this->limit = 0;
        return;
    }
    if (this->standing == target_standing::probing) {
        this->limit = 1;
        return;
    }
    const bool unreliable = this->failure_share >= unreliable_share;
    const auto ramped = unreliable ? 1U : static_cast<std::uint32_t>(std::floor(this->ramp));
    this->limit = std::min({this->slots, this->connections, ramped, this->limit_by_word(now)});
}

} // namespace bth::steering::internal
