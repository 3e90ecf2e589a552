#include "bth/dispatch/target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bth::dispatch {

namespace {

// The time constant with which the estimated number of other hosts' requests decays from the last
// reported number to the running mean of the reports; a request lasts about this long.
constexpr fractional_ms report_decay_time{300.0};
// The weight of a new observation in the running means, which thus cover about ten observations.
constexpr double observation_weight = 0.1;
// The number of recent objects that a target is assumed to be warm for; the platform's targets keep
// about as many.
constexpr std::size_t max_recent_objects = 24;
// Consecutive failures that eject a target: one may be a coincidence, two rarely are.
constexpr std::uint32_t failures_before_ejection = 2;
constexpr std::chrono::milliseconds min_ejection_time{500};
constexpr std::chrono::milliseconds max_ejection_time{4000};
// How long other targets are preferred to one that failed or shed a request, counted from then or
// from the end of the ejection. Without this limit, a target of a service whose requests are short
// would never get another request.
constexpr std::chrono::milliseconds penalty_time{5000};
// Bounds of a single slowdown, so that one unusual answer doesn't rule out a target.
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 8.0;

// The time over which the mean of the reported load is taken where reports are rare. One of
// hundreds of hosts sees a target once in many seconds.
constexpr fractional_ms load_mean_time{5000.0};
// The time constant with which a mean is forgotten. A target that seems crowded gets no requests
// and so makes no reports; without this it would be avoided forever.
constexpr fractional_ms load_forget_time{20000.0};

void update_mean(double& mean, double observation)
{
    mean += observation_weight * (observation - mean);
}

// Removes the times up to `oldest`, and returns how many are left.
std::size_t count_since(std::deque<time_point>& times, time_point oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
    return times.size();
}

} // namespace

void target::update(time_point now, target_info info)
{
    if (info.remaining_cold_time > duration{}) {
        this->assume_cold(now + info.remaining_cold_time);
    }
    this->listed_info = std::move(info);
}

void target::assume_cold(time_point until)
{
    this->cold_until = std::max(this->cold_until, until);
}

void target::forget_failures()
{
    this->cold_after_outage_until = {};
    this->ejected_until = {};
    this->penalized_until = {};
    this->consecutive_failure_count = 0;
}

void target::begin_request(time_point now, object_key key)
{
    ++this->own_in_flight;
    this->sends_in_last_second(now);
    this->recent_sends.push_back(now);
    if (key != 0) {
        std::erase(this->recent_objects, key);
        this->recent_objects.push_front(key);
        if (this->recent_objects.size() > max_recent_objects) {
            this->recent_objects.pop_back();
        }
    }
}

void target::end_request(time_point now, send_outcome outcome, fractional_ms took,
                         fractional_ms expected, std::optional<load_report> load)
{
    if (load) {
        // The report arrives with the end of this request and still counts it, so it is recorded
        // before the request is subtracted from own_in_flight.
        this->record_occupancy(now, load->running + load->waiting);
    }
    this->own_in_flight -= std::min<std::uint32_t>(this->own_in_flight, 1);
    switch (outcome) {
    case send_outcome::answered:
        this->consecutive_failure_count = 0;
        this->ejected_until = {};
        this->recover_from_rest(now - std::chrono::duration_cast<duration>(took));
        update_mean(this->mean_shed_share, 0.0);
        if (expected.count() > 0) {
            const double slowdown = std::clamp(took / expected, min_slowdown, max_slowdown);
            update_mean(this->mean_slowdown, slowdown);
        }
        break;
    case send_outcome::shed:
        update_mean(this->mean_shed_share, 1.0);
        this->last_shed_at = now;
        break;
    case send_outcome::misdirected:
    case send_outcome::not_reached:
    case send_outcome::broken:
    case send_outcome::failed:
    case send_outcome::timed_out:
        this->record_failure(now);
        break;
    case send_outcome::abandoned:
    case send_outcome::withheld:
        break;
    }
}

void target::record_failure(time_point now)
{
    ++this->consecutive_failure_count;
    this->penalized_until = now + penalty_time;
    if (this->consecutive_failure_count < failures_before_ejection) {
        return;
    }
    const auto doublings = std::min(this->consecutive_failure_count - failures_before_ejection, 3U);
    const duration ejection_time =
        std::min<duration>(min_ejection_time * (1U << doublings), max_ejection_time);
    this->ejected_until = now + ejection_time;
    this->penalized_until = this->ejected_until + penalty_time;
}

bool target::record_leaving(time_point now)
{
    if (this->first_leaving_answer) {
        return false;
    }
    this->first_leaving_answer = now;
    return true;
}

void target::record_rest(time_point now, duration length)
{
    this->rests_until = std::max(this->rests_until, now + std::min<duration>(length, max_rest));
    this->recovery_limit = 1;
}

duration target::remaining_rest(time_point now) const
{
    return std::max<duration>(this->rests_until - now, {});
}

bool target::record_limit(time_point now, double per_second)
{
    const auto before = this->limit();
    this->rate.set(now, per_second);
    return this->limit() != before;
}

bool target::lift_limit()
{
    const bool was_limited = this->limit().has_value();
    this->rate.lift();
    this->postponed_until = {};
    return was_limited;
}

void target::recover_from_rest(time_point begun)
{
    // Answers to requests from before the end of the rest don't show that it is over.
    if (this->recovery_limit == 0 || begun < this->rests_until) {
        return;
    }
    this->recovery_limit *= 2;
    if (this->recovery_limit > this->slots()) {
        this->recovery_limit = 0;
    }
}

void target::record_occupancy(time_point at, std::uint32_t requests)
{
    if (at < this->reported_at) {
        return;
    }
    this->others_reported =
        std::max(0.0, static_cast<double>(requests) - static_cast<double>(this->own_in_flight));
    update_mean(this->others_mean, this->others_reported);
    // The longer ago the last report, the less it says of the present.
    const fractional_ms gap = at - this->reported_at;
    const double weight = std::max(observation_weight, 1.0 - std::exp(-gap / load_mean_time));
    this->remembered_load += weight * (this->others_reported - this->remembered_load);
    this->reported_at = at;
}

double target::occupancy(time_point now) const
{
    const fractional_ms age = now - this->reported_at;
    const double report_weight = std::exp(-age / report_decay_time);
    const double others =
        this->others_mean + (this->others_reported - this->others_mean) * report_weight;
    return static_cast<double>(this->own_in_flight) + others;
}

double target::usual_occupancy(time_point now) const
{
    const fractional_ms age = now - this->reported_at;
    const double remembered = this->remembered_load * std::exp(-age / load_forget_time);
    return std::max(this->occupancy(now), static_cast<double>(this->own_in_flight) + remembered);
}

double target::shed_share(time_point now) const
{
    return now - this->last_shed_at <= penalty_time ? this->mean_shed_share : 0.0;
}

std::size_t target::sends_in_last_second(time_point now)
{
    return count_since(this->recent_sends, now - std::chrono::seconds{1});
}

void target::record_write(time_point now)
{
    this->writes_in_last_second(now);
    this->recent_writes.push_back(now);
    this->rate.count(now);
}

std::size_t target::writes_in_last_second(time_point now)
{
    constexpr std::chrono::milliseconds second_and_drift{1020};
    return count_since(this->recent_writes, now - second_and_drift);
}

bool target::has_recent_object(object_key key) const
{
    return std::find(this->recent_objects.begin(), this->recent_objects.end(), key) !=
           this->recent_objects.end();
}

} // namespace bth::dispatch
