// What entry hosts tell each other about steering, apart from the requests themselves. Names of
// rows, not ids, go over the wire (bth/wire); here ids are those of the receiver's own model.
//
//   peer_message note = heartbeat{...};
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bth::steering {

// A source domain asks for room for a service. The answer is a capacity_grant.
struct grant_request {
    service_id service;
    domain_id source;
    request_rate wanted_rate;
    std::uint32_t wanted_in_flight{};
    // Larger than in every earlier request of this source host and service.
    std::uint64_t sequence{};
};

// Room that the granting domain keeps free for one source domain and service until the lease ends.
// A later grant replaces the earlier one; a grant of zero ends it.
struct capacity_grant {
    service_id service;
    domain_id granter;
    domain_id source;
    request_rate rate;
    std::uint32_t in_flight{};
    // Bytes of requests towards the granter and of answers back, on the link between the regions.
    link_rate request_bytes;
    link_rate answer_bytes;
    // How long the room lasts, counted by the source from when it SENT the request that this
    // answers, and by the granter from when it sent the grant: the source always stops first.
    duration lease{};
    // The sequence of the request that this answers.
    std::uint64_t sequence{};
};

// Sign of life of a host, with what others need to know of it.
struct heartbeat {
    incarnation life;
    revision configuration;
    std::uint64_t digest{};
    bool leaving{};
    // The services whose targets in the sender's own domain it owns now.
    std::vector<service_id> owned;
    // Those of `owned` that can't serve now, for lack of targets or of a dependency.
    std::vector<service_id> unable;
    // Larger than in every earlier heartbeat of this life.
    std::uint64_t sequence{};
};

// Answer to a heartbeat of a host of the same domain: the sender promises not to take over what the
// receiver owns until `promise` has passed since the receiver sent that heartbeat.
struct heartbeat_ack {
    incarnation life;
    std::uint64_t sequence{};
    duration promise{};
};

// The owner of a service's targets hands them over at once, with nothing of them in use by it.
struct handover {
    service_id service;
    incarnation life;
};

// First word that something is leaving, passed on to the hosts of the domain.
struct leaving_notice {
    std::vector<target_id> targets;
    std::vector<host_id> hosts;
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
};

using peer_message = std::variant<grant_request, capacity_grant, heartbeat, heartbeat_ack, handover,
                                  leaving_notice, shift_claim>;

} // namespace bth::steering
