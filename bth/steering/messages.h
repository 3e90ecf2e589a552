// What entry hosts tell each other about steering, apart from the requests themselves. Names of
// rows, not ids, go over the wire (bth/wire); here ids are those of the receiver's own model.
//
//   peer_message note = heartbeat{...};
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bth::steering {

// What a source expects to send to one granter for one service, of callers of one priority.
struct grant_demand {
    priority_level level;
    request_rate rate;
    std::uint32_t in_flight{};
};

// The demand for one service, most urgent level first.
struct service_demand {
    service_id service;
    std::vector<grant_demand> levels;
};

// The owner of services in a source domain asks one host of another domain for room for all of them
// together. Each service asked for is answered by one capacity_grant.
struct grant_request {
    domain_id source;
    // The life of the asking process: a later life starts without grants.
    incarnation life;
    // Larger than in every earlier request of this life.
    std::uint64_t sequence{};
    std::vector<service_demand> services;
};

// Room for one service: requests per second, requests in flight, and bytes of requests towards the
// granter and of answers back on the links between the regions. Within one region both byte rates
// are zero and don't limit.
struct granted_room {
    service_id service;
    request_rate rate;
    std::uint32_t in_flight{};
    link_rate request_bytes;
    link_rate answer_bytes;
};

// A service that the asked host doesn't own; the source asks the owner, if one is known, instead.
struct owner_hint {
    service_id service;
    std::optional<host_id> owner;
};

// Room that the granting host keeps free for one source domain until the lease ends. A later grant
// replaces the earlier one for the services that it names; a grant of zero ends it.
struct capacity_grant {
    domain_id granter;
    domain_id source;
    // The life and sequence of the request that this answers.
    incarnation life;
    std::uint64_t sequence{};
    // How long the room lasts, counted by the source from when it SENT the request that this
    // answers, and by the granter from when it sent the grant: the source always stops first.
    duration lease{};
    std::vector<granted_room> rooms;
    std::vector<owner_hint> elsewhere;
};

// Sign of life of a host towards another candidate owner in its own domain, with the
// acknowledgement of the receiver's latest heartbeat riding along. By acknowledging a heartbeat
// that names a held service, the sender has promised not to own it until the ownership lease has
// passed since it received that heartbeat.
struct heartbeat {
    incarnation life;
    revision configuration;
    std::uint64_t digest{};
    bool leaving{};
    // Services whose targets in the sender's own domain it owns.
    std::vector<service_id> owned;
    // Those of `owned` that can't serve now, for lack of targets or of a dependency.
    std::vector<service_id> unable;
    // Services that it wants to own and is asking the other candidates for.
    std::vector<service_id> claimed;
    // Services that the receiver claims and the sender has promised to another candidate.
    std::vector<service_id> denied;
    // Larger than in every earlier heartbeat of this life.
    std::uint64_t sequence{};
    // The receiver's life and its largest sequence that the sender has seen; zero if none.
    incarnation acked_life;
    std::uint64_t acked_sequence{};
};

// A grant that the former owner had given, and how long it lasts yet.
struct handed_grant {
    domain_id source;
    // The host and life that hold it.
    host_id holder;
    incarnation life;
    granted_room room;
    duration remaining{};
};

// Slots of a target that requests of the former owner still use.
struct busy_slots {
    target_id target;
    std::uint32_t count{};
};

// The owner of a service's targets hands them over at once. Sent again, with a larger sequence, as
// the requests that it still has in flight end; the last one has no busy slots.
struct handover {
    service_id service;
    incarnation life;
    // Larger than in every earlier handover of this life.
    std::uint64_t sequence{};
    std::vector<handed_grant> grants;
    std::vector<busy_slots> busy;
};

// First word that something is leaving, passed on to the hosts of the domain.
struct leaving_notice {
    std::vector<target_id> targets;
    std::vector<host_id> hosts;
};

// Requests of one slice of a shift window.
struct shift_slice {
    std::uint32_t served{};
    // Those of them that were no shifts.
    std::uint32_t kept{};
};

// What the owner of a service's targets has settled of the traffic of another domain's callers.
// Sent to the hosts of the callers' home, which must not take that traffic back faster than the
// shift cap allows, and to the hosts of its own domain, one of which may have to take over.
struct shift_claim {
    service_id service;
    domain_id home;
    // Served in every quarter of the last window.
    request_rate settled;
    // The part of it that callers bring by themselves now, past their home's hosts.
    request_rate direct;
    // The latest slices, newest first; only for the hosts of its own domain.
    std::vector<shift_slice> history;
};

using peer_message =
    std::variant<grant_request, capacity_grant, heartbeat, handover, leaving_notice, shift_claim>;

} // namespace bth::steering
