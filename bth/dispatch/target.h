// The state of one target: its entry in the platform's target list, and what this host observes in
// its own requests to it.
//
//   target state{info};
//   state.begin_request(now, key);
//   state.end_request(now, outcome, took, expected, load);
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"
#include "bth/dispatch/shared_rate.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace bth::dispatch {

using fractional_ms = std::chrono::duration<double, std::milli>;

// A hash of the object that a request concerns and of its service; 0 if the request names none.
using object_key = std::uint64_t;

// One target's entry in the platform's target list.
struct target_info {
    std::string id;
    std::string service;
    endpoint target_endpoint;
    std::string domain;
    std::uint32_t slots{1};
    bool draining{};
    // The time until the target stops being cold, 0 if it isn't. A target is cold for a while after
    // its start and accepts only a low request rate then.
    duration remaining_cold_time{};
    friend bool operator==(const target_info&, const target_info&) = default;
};

// The load that a target reports with an answer: numbers of requests, and its slots.
struct load_report {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

// The outcome of sending a request to a target, as far as it concerns the target.
enum class send_outcome : std::uint8_t {
    answered,    // The request ran, and its answer was received completely.
    shed,        // The target reported that it did not run the request.
    misdirected, // Another target has the address.
    not_reached, // No connection was made; no byte was sent.
    broken,      // The connection ended early, or the received bytes were no valid answer.
    failed,      // The answer reports a failure of the target itself.
    timed_out,   // No answer was received in time.
    abandoned,   // The caller disconnected before the answer.
    withheld,    // Nothing was sent, since the target accepts no further request now.
};

class target {
public:
    explicit target(target_info info) : listed_info{std::move(info)} {}

    const target_info& info() const { return this->listed_info; }
    // Replaces the target's entry by that of a newer list.
    void update(time_point now, target_info info);
    // Marks the target as no longer listed.
    void mark_removed() { this->removed = true; }
    bool is_removed() const { return this->removed; }

    // Records that a request is sent to the target, directly or through its owner.
    void begin_request(time_point now, object_key key);
    // Records the end of a request that took `took`. `expected` is the duration that was expected;
    // with 0 the request doesn't change slowdown(). `load` is the target's report, if one came.
    void end_request(time_point now, send_outcome outcome, fractional_ms took,
                     fractional_ms expected, std::optional<load_report> load);

    // Records how many requests of all hosts, this one included, were at the target at `at`, as the
    // target, its owner or another host reports. Earlier reports than the last one are ignored.
    void record_occupancy(time_point at, std::uint32_t requests);
    // Ejects the target at least until `until`, because its owner doesn't send to it either.
    void eject(time_point until) { this->ejected_until = std::max(this->ejected_until, until); }

    // Records that the target said in an answer that it leaves. Returns whether this is news. No
    // list takes it back, since the list may be older than the answer.
    bool record_leaving(time_point now);
    // Returns when the target first said in an answer that it leaves.
    const std::optional<time_point>& leaving_since() const { return this->first_leaving_answer; }

    // Records that the target turned a request away and wants no others for `length`, of which
    // max_rest counts. Afterwards this host's requests in flight at the target may grow from one,
    // by doubling with each answer, so that the load comes back in steps.
    void record_rest(time_point now, duration length);
    // Records that the target asked for a rest that can't be understood. Returns whether that is
    // the first time.
    bool record_unreadable_rest() { return !std::exchange(this->had_unreadable_rest, true); }
    // Returns how long the target still wants no requests; 0 if it doesn't rest.
    duration remaining_rest(time_point now) const;
    // Returns whether the target accepts another request of this host, as far as its rests matter.
    bool has_rested(time_point now) const
    {
        return now >= this->rests_until &&
               (this->recovery_limit == 0 || this->own_in_flight < this->recovery_limit);
    }

    // Records that the target named in an answer how many requests per second it accepts from all
    // hosts together. Returns whether this differs from before.
    bool record_limit(time_point now, double per_second);
    // Records that the target answered without naming a limit. Returns whether there was one.
    bool lift_limit();
    // Records that the target named a limit that can't be understood. Returns whether that is the
    // first time.
    bool record_unreadable_limit() { return !std::exchange(this->had_unreadable_limit, true); }
    // Returns the requests per second of all hosts that the target accepts; nullopt without limit.
    const std::optional<double>& limit() const { return this->rate.per_second(); }
    // Returns how long the target accepts no request of this host because of its limit.
    duration wait_for_limit(time_point now) const
    {
        return this->limit() ? std::max<duration>(this->rate.wait(now), this->postponed_until - now)
                             : duration{};
    }
    // Records when this host, which is in another region, may try the target again although it
    // named a limit; see limit_probe_delay().
    void set_limit_probe(time_point at) { this->limit_probe_at = at; }
    bool is_limit_probe_due(time_point now) const { return now >= this->limit_probe_at; }
    // Records that a sender of the target has no room for `length`.
    void postpone(time_point now, duration length)
    {
        this->postponed_until = std::max(this->postponed_until, now + length);
    }
    // Returns whether the target accepts only few requests of all hosts together, so that those to
    // it go through its senders.
    bool is_shared_out(time_point now) const { return this->is_cold(now) || this->limit(); }

    // Returns how many requests of this host are in flight at the target.
    std::uint32_t in_flight() const { return this->own_in_flight; }
    // Estimates how many requests of all hosts are at the target.
    double occupancy(time_point now) const;
    // The same if the target is as busy as it was when last seen, which may be long ago. It tells
    // which of several targets is likely to be better, but not that a target is full now: if all of
    // them were full some time ago, requests that were refused for that would find them idle.
    double usual_occupancy(time_point now) const;
    std::uint32_t slots() const { return this->listed_info.slots; }

    // Returns whether the target is cold, by the list or as it was assumed to be.
    bool is_cold(time_point now) const { return this->remaining_cold_time(now) > duration{}; }
    // Returns how long the target stays cold; 0 if it isn't.
    duration remaining_cold_time(time_point now) const
    {
        return std::max<duration>(std::max(this->cold_until, this->cold_after_outage_until) - now,
                                  {});
    }
    // Treats the target as cold at least until `until`, whatever the list says.
    void assume_cold(time_point until);
    // The same for a target that could not be reached, which may have been restarted.
    void assume_cold_after_outage(time_point until)
    {
        this->cold_after_outage_until = std::max(this->cold_after_outage_until, until);
    }
    // Forgets the failures of the target, and that it may be cold after them: this host couldn't
    // reach any target.
    void forget_failures();
    // Returns how many requests this host sent in the last second.
    std::size_t sends_in_last_second(time_point now);

    // Records that a request is written to the target. It may have waited for its connection since
    // begin_request(), so that requests that began in different seconds are written together.
    // Counts against the target's limit, if it named one.
    void record_write(time_point now);
    // Returns how many requests this host wrote in the last second. The second is taken a little
    // longer, since the target's clock may run differently.
    std::size_t writes_in_last_second(time_point now);

    // Returns whether the target is ejected: it has failed so often that it should get no requests
    // for now.
    bool is_ejected(time_point now) const { return now < this->ejected_until; }
    // Returns whether the target failed recently and has answered nothing since. Other targets are
    // then preferred.
    bool is_penalized(time_point now) const
    {
        return this->consecutive_failure_count > 0 && now < this->penalized_until;
    }
    std::uint32_t consecutive_failures() const { return this->consecutive_failure_count; }
    // Returns the share of recent sends that the target shed, from 0 to 1; 0 if it shed none for
    // some seconds, so that a target that others are preferred to is tried again.
    double shed_share(time_point now) const;
    // Returns the mean ratio of actual to expected duration: 1 is as expected, 2 twice as long.
    double slowdown() const { return this->mean_slowdown; }

    // Returns whether this host has sent the object to the target recently.
    bool has_recent_object(object_key key) const;

    // Longer rests are cut off here, so that no word takes a target out for good.
    static constexpr std::chrono::hours max_rest{1};

private:
    void record_failure(time_point now);
    // Raises the limit of requests in flight after a rest, and ends it, by the answer to a request
    // that was sent at `begun`.
    void recover_from_rest(time_point begun);

    target_info listed_info;
    bool removed{};
    std::uint32_t own_in_flight{};
    // The number of other hosts' requests at the target: as last reported, and the running mean of
    // the reports. `reported_at` is the time of the last report.
    double others_reported{};
    double others_mean{};
    // The mean over time of the reports; see usual_occupancy().
    double remembered_load{};
    time_point reported_at;
    time_point cold_until;
    time_point cold_after_outage_until;
    time_point ejected_until;
    time_point penalized_until;
    std::uint32_t consecutive_failure_count{};
    std::optional<time_point> first_leaving_answer;
    time_point rests_until;
    // The limit of own requests in flight after a rest; 0 if there is none.
    std::uint32_t recovery_limit{};
    bool had_unreadable_rest{};
    shared_rate rate;
    time_point postponed_until;
    time_point limit_probe_at;
    bool had_unreadable_limit{};
    double mean_shed_share{};
    time_point last_shed_at;
    double mean_slowdown{1.0};
    // The objects of recent requests, latest first.
    std::deque<object_key> recent_objects;
    // The times of recent sends and writes, earliest first.
    std::deque<time_point> recent_sends;
    std::deque<time_point> recent_writes;
};

} // namespace bth::dispatch
