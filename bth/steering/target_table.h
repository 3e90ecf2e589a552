// The targets of an entry host's own failure domain: what each one carries, what it may carry, and
// which one takes the next request.
//
//   target_table targets;
//   targets.apply(model, own_domain, nullptr, now);
//   if (auto id = targets.choose({.service = service})) { targets.begin(*id, now); }
//   targets.end(*id, result, took, now);
//
// A target may carry the least of: its slots and connections; what its ramp allows, which starts at
// one and grows with each good answer; what its own report leaves, less what the report claims
// beyond the tries that this host knows of; and, while its reports are missing, what it has proved
// lately by good answers, less one for each period in which it didn't. Sheds, broken connections
// and timeouts cut the ramp; several in a row eject the target for a while, though never more than
// half of a service's targets. An ejected target comes back by one real request at a time.
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

// What a request asks of a target.
struct target_query {
    service_id service;
    // Targets that have failed the request.
    const std::vector<target_id>* avoid{};
    // Whether the request may go to an ejected target to find out whether it works again.
    bool may_probe{};
    // How long the request would wait for another slot: a slower target is worth less than that.
    duration patience{};
};

class target_table {
public:
    // Takes the targets of `domain` in `model`. What is known of a target stays if `change` maps it
    // to a new row; `change` is nullptr for the first model.
    void apply(const config::model& model, domain_id domain, const model_map* change,
               time_point now);

    // The best target with a free slot, or nothing.
    std::optional<target_id> choose(const target_query& query) const;

    // After apply, once for each try that still runs: apply itself counts none.
    void adopt(target_id target, time_point now);
    // A try at `target` begins or ends. Targets of other domains are passed over.
    void begin(target_id target, time_point now);
    void end(target_id target, const try_result& result, duration took, time_point now);

    // The tries that the former owner of the target still runs there.
    void set_handed(target_id target, std::uint32_t count);
    void report(const load_report& report, time_point now);
    // Closes a target to new work, or opens it again. An opened one starts cold.
    void set_closed(target_id target, bool closed, time_point now);
    // Refreshes what every target may carry.
    void tick(time_point now);

    // The slots of a service that may be used now, and the mean time that a try holds one.
    service_capacity capacity(service_id service) const;
    // Whether any target of the service may take work and hasn't failed all of its latest tries.
    bool can_serve(service_id service, time_point now) const;

    // Whether any target that isn't in `avoid` may take work, now or once a slot is free.
    bool can_serve(service_id service, const std::vector<target_id>& avoid) const;
    bool has(target_id target) const { return this->find(target) != nullptr; }
    std::uint32_t in_flight(target_id target) const;
    // The tries that `target` may carry now.
    std::uint32_t limit(target_id target) const;
    // The slots of all targets of the service, usable or not.
    std::uint32_t configured_slots(service_id service) const;

    void check(violations& found) const;

private:
    struct service_rows {
        std::vector<std::size_t> rows;
        // The time that the fastest target in service takes.
        duration fastest{};
        // Whether some target in service isn't unreliable.
        bool has_reliable{};
    };

    internal::target_row* find(target_id target);
    const internal::target_row* find(target_id target) const;
    service_rows& group_of(const internal::target_row& row);
    void refresh(internal::target_row& row, time_point now);
    void refresh_fastest(service_rows& group) const;
    void eject_if_bad(internal::target_row& row, time_point now);
    bool may_eject(const service_rows& group) const;

    std::vector<internal::target_row> rows;
    std::vector<service_rows> by_service;
    // Row numbers by target; no_row for targets of other domains.
    std::vector<std::size_t> by_target;
};

} // namespace bth::steering
