#include "bth/dispatch/target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bth::dispatch {

namespace {

// A report of others' requests fades towards their mean: a request lasts about this long.
constexpr fractional_ms report_fades{300.0};
// The weight of a new observation in the running means: some ten observations count.
constexpr double observation_weight = 0.1;
// The objects that a target is thought to remember; the platform's targets keep about as many.
constexpr std::size_t remembered_objects = 24;
// Failures in a row after which a target is left alone: one may be chance, two seldom are.
constexpr std::uint32_t failures_before_ejection = 2;
// How long a target is left alone at first, and at most.
constexpr std::chrono::milliseconds first_ejection{500};
constexpr std::chrono::milliseconds longest_ejection{4000};
// For how long others are preferred to a target that failed and is left alone no longer. Without
// an end, a target of a service whose work is short would never get another request.
constexpr std::chrono::milliseconds suspicion{5000};
// Bounds of the slowness of a target, so that one odd answer doesn't rule it out.
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 8.0;

void move_mean(double& mean, double value)
{
    mean += observation_weight * (value - mean);
}

} // namespace

void target::update(time_point now, target_facts facts)
{
    if (facts.cold_left > duration{}) {
        this->assume_cold(now + facts.cold_left);
    }
    this->known = std::move(facts);
}

void target::assume_cold(time_point until)
{
    this->cold_until = std::max(this->cold_until, until);
}

void target::begin(time_point now, object_key key)
{
    ++this->own;
    this->sends.push_back(now);
    if (key != 0) {
        std::erase(this->objects, key);
        this->objects.push_front(key);
        if (this->objects.size() > remembered_objects) {
            this->objects.pop_back();
        }
    }
}

void target::end(time_point now, send_outcome outcome, fractional_ms took, fractional_ms expected,
                 std::optional<load_report> load)
{
    if (load) {
        // The report counts the request that it came with while that was running.
        this->take_occupancy(now, load->running + load->waiting);
    }
    this->own -= std::min<std::uint32_t>(this->own, 1);
    switch (outcome) {
    case send_outcome::answered:
        this->failures_in_row = 0;
        this->ejected_until = {};
        move_mean(this->sheds, 0.0);
        if (expected.count() > 0) {
            const double ratio = std::clamp(took / expected, least_slowness, most_slowness);
            move_mean(this->pace, ratio);
        }
        break;
    case send_outcome::shed:
        move_mean(this->sheds, 1.0);
        break;
    case send_outcome::misdirected:
    case send_outcome::not_reached:
    case send_outcome::broken:
    case send_outcome::failed:
    case send_outcome::timed_out:
        this->note_failure(now);
        break;
    case send_outcome::abandoned:
        break;
    }
}

void target::note_failure(time_point now)
{
    ++this->failures_in_row;
    this->suspect_until = now + suspicion;
    if (this->failures_in_row < failures_before_ejection) {
        return;
    }
    const auto doublings = std::min(this->failures_in_row - failures_before_ejection, 3U);
    const duration length =
        std::min<duration>(first_ejection * (1U << doublings), longest_ejection);
    this->ejected_until = now + length;
    this->suspect_until = this->ejected_until + suspicion;
}

void target::take_occupancy(time_point now, std::uint32_t requests)
{
    this->others_reported =
        std::max(0.0, static_cast<double>(requests) - static_cast<double>(this->own));
    move_mean(this->others_mean, this->others_reported);
    this->reported_at = now;
}

double target::occupancy(time_point now) const
{
    const fractional_ms age = now - this->reported_at;
    const double fresh = std::exp(-age / report_fades);
    const double others = this->others_mean + (this->others_reported - this->others_mean) * fresh;
    return static_cast<double>(this->own) + others;
}

std::size_t target::sent_lately(time_point now)
{
    while (!this->sends.empty() && this->sends.front() + std::chrono::seconds{1} <= now) {
        this->sends.pop_front();
    }
    return this->sends.size();
}

bool target::knows(object_key key) const
{
    return std::find(this->objects.begin(), this->objects.end(), key) != this->objects.end();
}

} // namespace bth::dispatch
