// Chooses the target of a request, and decides whether sending the request is worthwhile at all.
//
//   const auto placed = place(registry, request, estimate);
//   if (!placed) { refuse(placed.error()); } else { send_to(placed->target); }
//
// A target is warm for an object that it has handled recently, and cold for any other. This serves
// a load where a cold request takes longer than the latency objective, a warm one takes much less,
// and all hosts together send about as many requests as the slots can hold. A request goes to the
// target with the earliest expected answer: to one that is warm for its object, unless waiting
// there costs more than a cold start elsewhere or than the network delay to another region. It
// starts cold elsewhere only if it can still be in time there: cold requests hold a slot several
// times as long, so an overload that turned into cold requests would reinforce itself. All hosts of
// a region rank the targets for an object alike, so that they make the same targets warm for it
// without communicating.
//
// A target that leaves gets nothing that another one can serve, and its objects move to their next
// affinity targets, which differ from object to object. A target that turned a request away and
// asked for rest has no room until a known time; nothing waits for that here, since the caller can
// wait as well, and then be served by any host.
//
// A target that named a limit has no room for this host until its senders may send again: requests
// go elsewhere, and where all targets are limited, callers hear at once when to come back.
//
// Independently of objects, a target as a whole is cold for a while after its start, when it
// accepts only a low request rate; see target::is_cold().
#pragma once

#include "bth/dispatch/network_delays.h"
#include "bth/dispatch/target_registry.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace bth::dispatch {

struct placement;

// The mean time that targets need for the requests of one service, measured on answers.
struct service_time_estimate {
    // For requests whose target is warm for the object, and for the others.
    fractional_ms warm{150.0};
    fractional_ms cold{300.0};

    // Adds the time `took` that an answered request with the placement `placed` took at its target.
    void add_sample(const placement& placed, fractional_ms took);
    fractional_ms expected(bool is_warm) const { return is_warm ? this->warm : this->cold; }
};

// A request to place, and the state of this host that matters for it.
struct placement_request {
    time_point now;
    std::string_view service;
    object_key key{};
    // Whether the service's targets are faster for an object that they have handled recently.
    bool sticky{};
    // The failure domain and the region of this host.
    std::string_view domain;
    std::string_view region;
    // The measured round-trip times of this host; usual ones are assumed if null.
    const network_delays* delays{};
    // The regions that may serve the request; all regions if null or empty.
    const std::vector<std::string>* allowed_regions{};
    // The targets that this request was already sent to; they aren't chosen again.
    std::vector<const target*> tried;
    // The time until the final answer is due.
    fractional_ms remaining_time{};
    // The time until the latency objective is missed, after which an answer is of less use.
    fractional_ms remaining_objective{};
    // 0 is the most urgent.
    std::uint32_t priority{};
    // Whether the owner of one of the targets declined the request because its queue is too long.
    bool owner_declined{};
    // The share of the objects whose affinity targets are in another region, from 0 to 1.
    double remote_share{};
    // The requests per second that this host may send to a cold target; 0 allows none.
    std::uint32_t cold_allowance{};
    // How long after its word that it leaves a target may serve what no other target can.
    duration leaving_grace{};
};

struct placement {
    target_ptr target;
    // Whether the target is expected to be warm for the object.
    bool warm{};
    // Whether this host itself has sent the object to the target recently.
    bool object_sent_recently{};
    // The expected time at the target without waiting, the expected wait for a slot, and the
    // round-trip time between this host and the target.
    fractional_ms service_time{};
    fractional_ms wait{};
    fractional_ms network_delay{};
    fractional_ms total() const { return this->service_time + this->wait + this->network_delay; }
};

enum class placement_failure : std::uint8_t {
    no_target,         // No target may serve the request.
    deadline_exceeded, // Even the best target is expected to answer after the answer is due.
    overload,          // The best target's queue is too long for a request of this priority.
};

struct placement_error {
    placement_failure reason{};
    // How long the queue needs to shrink before the request can be placed. Where no queue is known,
    // the service time of a warm request.
    fractional_ms retry_after{};
    // How long all targets that may serve the request still rest, or have no room within the limits
    // that they named; 0 if that isn't known of one.
    fractional_ms remaining_rest{};
};

// Returns the placement on one given target, or why it may not be used. A target's owner calls this
// for requests that other hosts forward to it.
tl::expected<placement, placement_error> place_on_target(const target_registry& registry,
                                                         const placement_request& request,
                                                         const target_ptr& target,
                                                         const service_time_estimate& estimate);

// Returns the placement on the best target of the service, or why the request should be refused.
tl::expected<placement, placement_error> place(const target_registry& registry,
                                               const placement_request& request,
                                               const service_time_estimate& estimate);

// Returns after which time a caller should come back whose request was refused because all targets
// rest for `remaining_rest`: the most urgent priority first, and the callers of each one spread by
// `random`, from 0 to 1, so that they don't return together.
fractional_ms return_after_rest(fractional_ms remaining_rest, std::uint32_t priority,
                                double random);

// Returns the affinity of an object for a target: the same on all hosts; targets with a higher rank
// are preferred.
std::uint64_t affinity_rank(object_key key, std::string_view target_id);

// Returns the key of an object of a service: 0 if `object` is empty, else never 0.
object_key make_object_key(std::string_view service, std::string_view object);

} // namespace bth::dispatch
