// The targets of an entry host's own failure domain. Counts the attempts in flight at each target,
// limits them, and chooses the target of the next attempt.
//
//   target_table targets;
//   targets.apply(model, own_domain, nullptr, now);
//   if (auto id = targets.choose({.service = service})) {
//       targets.begin_attempt(*id, now);
//       ...
//       targets.end_attempt(*id, result, took, now);
//   }
//
// The limit of a target is the minimum of:
// - its slots and its connections;
// - its slow-start limit, which starts at one and grows with each good answer;
// - while its load reports are recent, the reported slots, less the reported load that the attempts
//   of this host don't explain;
// - while its load reports are missing, the highest number of attempts in flight at which it gave a
//   good answer recently, less one for each period without such a proof.
// A shed request, a timeout or an attempt that was not run lowers the slow-start limit. Several
// failures in a row eject the target for some time, but ejection never removes more than half of a
// service's targets. An ejected target returns after a probe: one real request at a time until one
// succeeds.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/admission.h"
#include "bth/steering/events.h"
#include "bth/steering/internal/target_row.h"
#include "bth/steering/invariants.h"
#include "bth/steering/model_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bth::steering {

// The requirements of a request on its target.
struct target_query {
    service_id service;
    // Targets at which an attempt of the request has failed; they aren't chosen again.
    const std::vector<target_id>* avoid{};
    // Whether the request may probe an ejected target or use an unreliable one.
    bool may_probe{};
    // The expected wait of the request for another slot. A slow target is chosen only if it delays
    // the request by less than this.
    duration queue_wait{};
};

class target_table {
public:
    // Replaces the targets by those of `domain` in `model`. The state of a target is kept if
    // `change` maps it to a target of `model`, except for its attempts in flight: restore_attempt
    // adds them again. `change` is nullptr for the first model.
    void apply(const config::model& model, domain_id domain, const model_map* change,
               time_point now);

    // Returns the best target with a free slot, or nothing.
    std::optional<target_id> choose(const target_query& query) const;

    // Counts an attempt that was in flight before apply. Must be called after apply once for each
    // such attempt, because apply resets the counts.
    void restore_attempt(target_id target, time_point now);
    // Record the start and the end of an attempt at `target`, which took `took`. Targets of other
    // domains are ignored.
    void begin_attempt(target_id target, time_point now);
    void end_attempt(target_id target, const attempt_result& result, duration took, time_point now);

    // Sets the number of attempts that the former owner of the target still has in flight there.
    void set_former_owner_attempts(target_id target, std::uint32_t count);
    // Records a load report that the target sent.
    void report(const load_report& report, time_point now);
    // Stops new attempts at a target, or allows them again. A target that is opened again starts
    // cold: its slow-start limit is one, and no number of attempts in flight is proven.
    void set_closed(target_id target, bool closed, time_point now);
    // Recomputes the limits of all targets. Must be called regularly, because they depend on time.
    void tick(time_point now);

    // Returns the sum of the current concurrency limits of the service's targets, and the mean
    // duration of an attempt, weighted by these limits.
    service_capacity capacity(service_id service) const;
    // Returns whether a target of the service accepts attempts and isn't failing. A target is
    // failing after several failures in a row of which the last is recent.
    bool can_serve(service_id service, time_point now) const;

    // Returns whether a target that isn't in `avoid` accepts attempts, now or once a slot is free.
    bool can_serve(service_id service, const std::vector<target_id>& avoid) const;
    // Returns whether the target belongs to the domain of this table.
    bool has(target_id target) const { return this->find(target) != nullptr; }
    // Returns the number of attempts of this host in flight at `target`.
    std::uint32_t in_flight(target_id target) const;
    // Returns the maximum number of attempts in flight at `target` now.
    std::uint32_t limit(target_id target) const;
    // Returns the configured slots of all targets of the service, usable or not.
    std::uint32_t configured_slots(service_id service) const;

    // Adds a violation for every target with more attempts than its slots or connections.
    void check(violations& found) const;

private:
    struct service_rows {
        std::vector<std::size_t> rows;
        // The mean time of an attempt at the fastest target in service.
        duration fastest_time{};
        // Whether at least one target in service isn't marked unreliable.
        bool has_reliable{};
    };

    internal::target_row* find(target_id target);
    const internal::target_row* find(target_id target) const;
    service_rows& group_of(const internal::target_row& row);
    void refresh(internal::target_row& row, time_point now);
    void refresh_fastest(service_rows& group) const;
    void eject_if_unhealthy(internal::target_row& row, time_point now);
    bool may_eject(const service_rows& group) const;

    std::vector<internal::target_row> rows;
    std::vector<service_rows> by_service;
    // Indexes into `rows` by target; no_row for targets of other domains.
    std::vector<std::size_t> by_target;
};

} // namespace bth::steering
