// The messages that entry hosts send each other about steering; forwarded requests are sent
// separately. On the wire (bth/wire), services, hosts, domains and targets are referred to by name;
// in these structs, by the ids of the receiver's own model.
//
//   peer_message message = leaving_notice{.targets = {target}, .hosts = {}};
//   if (const auto* notice = std::get_if<leaving_notice>(&message)) { ... }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bth::steering {

// The load of one service at one priority that a source domain expects to send to one granter.
struct grant_demand {
    priority_level level;
    request_rate rate;
    std::uint32_t in_flight{};
};

// The demand for one service, in descending order of priority.
struct service_demand {
    service_id service;
    std::vector<grant_demand> levels;
};

// Asks one host of another domain for capacity for all services that the sender owns in its own
// domain, the source. Each service in the request is answered by one capacity_grant.
struct grant_request {
    domain_id source;
    // The incarnation of the requesting process. A later incarnation starts without grants.
    incarnation incarnation_number;
    // Larger than in every earlier request of this incarnation.
    std::uint64_t sequence{};
    std::vector<service_demand> services;
};

// Capacity for one service: requests per second, requests in flight, and the byte rates on the
// links between the regions, of requests towards the granter and of answers back. Within one region
// both byte rates are zero and don't limit the load.
struct granted_capacity {
    service_id service;
    request_rate rate;
    std::uint32_t in_flight{};
    link_rate request_bytes;
    link_rate answer_bytes;
};

// A service that the receiver of a grant_request doesn't own. The source asks `owner` instead, if
// it is known.
struct owner_hint {
    service_id service;
    std::optional<host_id> owner;
};

// Capacity that the granting host reserves for one source domain until the lease ends. A later
// grant replaces an earlier one for the services that it contains; a grant of zero ends it.
struct capacity_grant {
    domain_id granter;
    domain_id source;
    // The incarnation and sequence number of the request that this grant answers.
    incarnation incarnation_number;
    std::uint64_t sequence{};
    // How long the capacity is reserved. The source counts the lease from when it SENT the request
    // that this grant answers, the granter from when it sends the grant, so the source always stops
    // using the capacity first.
    duration lease{};
    std::vector<granted_capacity> capacities;
    std::vector<owner_hint> owner_hints;
};

// Liveness signal of a host to another candidate owner in its own domain. It also acknowledges the
// latest heartbeat from the receiver. By acknowledging a heartbeat that lists a service as owned or
// claimed, the sender promises not to own that service until the ownership lease has passed since
// it received that heartbeat, unless it lists the service in `denied`.
struct heartbeat {
    incarnation incarnation_number;
    revision configuration;
    std::uint64_t digest{};
    bool leaving{};
    // Services whose targets in the sender's own domain the sender owns.
    std::vector<service_id> owned;
    // Services of `owned` that can't serve now, because targets or a dependency are unavailable.
    std::vector<service_id> unable;
    // Services that the sender wants to own and asks the other candidates for.
    std::vector<service_id> claimed;
    // Services that the receiver claims and that the sender has promised to another candidate.
    std::vector<service_id> denied;
    // Larger than in every earlier heartbeat of this incarnation.
    std::uint64_t sequence{};
    // The receiver's incarnation and the largest sequence number of a heartbeat that the sender has
    // received from it; zero if none.
    incarnation acked_incarnation_number;
    std::uint64_t acked_sequence{};
};

// A grant that the former owner of a service has issued, and its remaining lease.
struct handed_over_grant {
    domain_id source;
    // The host and incarnation that hold the grant.
    host_id holder;
    incarnation incarnation_number;
    granted_capacity capacity;
    duration remaining{};
};

// The number of slots of a target that requests of the former owner still use.
struct busy_slots {
    target_id target;
    std::uint32_t count{};
};

// Transfers the ownership of a service's targets to the receiver immediately. The former owner
// sends the message again, with a larger sequence number, as its requests in flight end; the last
// such message contains no busy slots.
struct handover {
    service_id service;
    incarnation incarnation_number;
    // Larger than in every earlier handover of this incarnation.
    std::uint64_t sequence{};
    std::vector<handed_over_grant> grants;
    std::vector<busy_slots> busy;
};

// Announces that targets or entry hosts are leaving. A host that learns of it first-hand sends
// the notice to the other hosts of its domain.
struct leaving_notice {
    std::vector<target_id> targets;
    std::vector<host_id> hosts;
};

// Request counts of one slice of a shift window. A shift is a request that runs in another failure
// domain than the recent requests of its service and its caller's domain.
struct shift_slice {
    std::uint32_t served{};
    // Served requests that were not shifts.
    std::uint32_t not_shifted{};
};

// The traffic of another domain's callers that the owner of a service's targets serves as a settled
// part of its load. Sent to the hosts of the callers' home domain, which must not take that traffic
// back faster than the shift cap allows, and to the hosts of the owner's own domain, one of which
// may have to take over from the owner.
struct shift_claim {
    service_id service;
    domain_id home;
    // The request rate that the owner served in every quarter of the last window.
    request_rate settled;
    // The part of it that callers now send to this domain themselves, without the hosts of their
    // home domain.
    request_rate direct;
    // The latest slices, newest first; set only in messages to hosts of the owner's own domain.
    std::vector<shift_slice> history;
};

using peer_message =
    std::variant<grant_request, capacity_grant, heartbeat, handover, leaving_notice, shift_claim>;

} // namespace bth::steering
