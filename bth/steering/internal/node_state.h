// The state of a node and its decision steps. node.cpp handles the events, flow.cpp decides about
// an arrival by the steps in the order declared here, placement.cpp places admitted requests, and
// completion.cpp handles the end of an attempt.
#pragma once

#include "bth/steering/admission.h"
#include "bth/steering/availability.h"
#include "bth/steering/demand.h"
#include "bth/steering/dependencies.h"
#include "bth/steering/grant_holder.h"
#include "bth/steering/grant_ledger.h"
#include "bth/steering/lookup_policy.h"
#include "bth/steering/node.h"
#include "bth/steering/ownership.h"
#include "bth/steering/priority_audit.h"
#include "bth/steering/request_table.h"
#include "bth/steering/retry_budget.h"
#include "bth/steering/shift_limiter.h"
#include "bth/steering/target_table.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace bth::steering {

inline constexpr duration default_retry_after = std::chrono::seconds{1};
// How long a host that is shutting down or drained serves callers that cache an older look-up: two
// seconds until the leave announcement has reached every host that answers look-ups, then until the
// last answer of those hosts has expired.
inline constexpr duration shutdown_serving_time =
    std::chrono::seconds{2} + lookup_policy::longest_max_age;

// The reason for which a step refuses a request, and the delay after which the caller may retry.
struct refusal {
    refusal_reason reason{refusal_reason::no_target};
    duration retry_after{default_retry_after};
};

// A service that this host has handed over to `to`, and the slots in use of which it last notified
// the new owner.
struct handed_over_service {
    service_id service;
    host_id to;
    std::vector<busy_slots> notified;
};

// The former owner of a service, and the incarnation and sequence number of its latest handover.
struct former_owner {
    host_id host;
    incarnation incarnation_number;
    std::uint64_t sequence{};
};

struct node::state {
    explicit state(node_settings given)
        : settings{std::move(given)}, owners{this->settings.incarnation_number},
          book{this->settings.incarnation_number}
    {}

    // Decides about a new request.
    void arrive(const arrival& request, time_point now, actions& out);
    // Handles the end of an attempt. (completion.cpp)
    void finish(const attempt_result& result, time_point now, actions& out);
    // Cancels all requests that `peer` has forwarded to this host.
    void cancel_forwarded_by(host_id peer, time_point now, actions& out);

    // The decision steps of an arrival, in order. Each step refuses the request, handles it or
    // leaves it to the next one.
    // Returns a refusal if this host has no configuration or the request doesn't fit it.
    std::optional<refusal> check_ready(const arrival& request) const;
    // Returns a refusal if this host accepts no new requests, because it is shutting down or
    // drained.
    std::optional<refusal> check_available(const arrival& request, time_point now) const;
    // Forwards a request that came directly from its caller to the owner of the service's targets.
    // Returns false if this host has to decide itself.
    bool forward_to_owner(request_row& row, time_point now, actions& out);
    std::optional<host_id> other_owner(const arrival& request, time_point now) const;
    std::optional<refusal> check_origin(request_row& row, time_point now);
    std::optional<refusal> reserve_domain_capacity(request_row& row, time_point now);

    // Finds a place for an admitted request: a target, the queue or a fallback domain. Refuses it
    // if there is none. (placement.cpp)
    void place(request_row& row, time_point now, actions& out);
    // Sends the request to a target. Returns false if no target can take it now, this host doesn't
    // own the service, or the grant ledger refuses it: the service's part of the domain's cap is
    // used up or, for a request forwarded under a grant, that grant is used up.
    bool place_at_target(request_row& row, time_point now, actions& out);
    // Forwards the request to a fallback domain whose round-trip time is at most `max_round_trip`.
    // Returns false if there is none.
    bool place_at_fallback(request_row& row, duration max_round_trip, time_point now, actions& out);
    // Forwards the request to a fallback domain, or refuses it, if this host doesn't own the
    // targets of the service. Returns false if it owns them.
    bool reroute_if_not_owner(request_row& row, time_point now, actions& out);
    // Does the same if a service that the request's service depends on can't serve here. Returns
    // false if all of them can.
    bool reroute_if_dependency_unavailable(request_row& row, time_point now, actions& out);
    // Queues the request. Forwards it to a fallback domain or refuses it if it can't be queued, and
    // does the same with the requests that the queue drops in its favour.
    void place_in_queue(request_row& row, time_point now, actions& out);
    // Returns the owner of the service's targets in a fallback domain that has granted capacity,
    // and takes one request out of the grant; nothing if there is none.
    std::optional<host_id> choose_fallback(const request_row& row, duration max_round_trip,
                                           time_point now);
    // Returns the network round-trip time to another domain.
    duration round_trip_to(domain_id other) const;
    // Forwards the request to another entry host.
    void forward(request_row& row, host_id peer, time_point now, actions& out);
    // Sends queued requests to targets while slots are free, and refuses those that can no longer
    // be served before their deadlines.
    void serve_queue(service_id service, time_point now, actions& out);
    // Forwards or refuses all queued requests of a service that can't be served here now.
    void clear_queue(service_id service, time_point now, actions& out);
    void serve_queues(time_point now, actions& out);
    // Counts the refusal and refuses the request, with a retry_after that follows from the load of
    // the service.
    void refuse_with_retry_after(request_row& row, refusal_reason reason, time_point now,
                                 actions& out);

    // Retries the request after a failed attempt, or refuses it. (completion.cpp)
    void retry_or_give_up(request_row& row, const attempt_result& result, time_point now,
                          actions& out);
    // Returns why the request must not be retried, or nothing.
    std::optional<refusal_reason> check_retry(const request_row& row, const attempt_result& result,
                                              time_point now);
    // Releases the domain capacity and the grant that the current attempt uses, and clears its
    // target and peer. The slot at the target is freed by target_table::end_attempt.
    void release_resources(request_row& row, time_point now);
    // Ends the request with a refusal.
    void give_up(request_row& row, const refusal& why, actions& out);

    // Counts a request that this domain is about to serve against the shift cap. Returns a refusal
    // if it exceeds the cap. A request over the cap that is settled in another domain isn't refused
    // here, but may only be forwarded to that domain. Does nothing if this host doesn't own the
    // service. (shift_steps.cpp)
    std::optional<refusal> check_shift(request_row& row, time_point now);
    // Subtracts the request from the shift cap's counts again, since it isn't sent to a target
    // here.
    void withdraw_shift(request_row& row, time_point now);
    // Informs the shift limiter about gained and lost ownership, and sends the claims that are due.
    void update_shift_limiter(time_point now, actions& out);
    // Records until when the peer's domain refuses shifts, if it refused the attempt for its cap.
    void record_shift_refusal(const request_row& row, const attempt_result& result, time_point now);
    // Returns whether a fallback domain must not get the request: the request may only be forwarded
    // to another domain, the domain is drained, or it recently refused shifts of this priority.
    bool must_skip_domain(const request_row& row, domain_id other, time_point now) const;

    // Tracks which targets, hosts and domains are leaving, silent or starting, closes targets, and
    // updates what look-up answers name. (node_availability.cpp)
    void apply_availability(const model_map* change, clock_reading now);
    void refresh_availability(time_point now, actions& out);
    void report_availability(const load_report& report, time_point now, actions& out);
    void close_leaving_targets(time_point now);
    void relay_leaving_notice(time_point now, actions& out);
    void receive_availability(host_id from, const peer_message& message, time_point now);
    void refresh_lookups(time_point now);
    lookup_host listing_of(host_id host, time_point now) const;
    domain_service_state place_of(domain_id domain, service_id service, time_point now) const;
    void send_to_domain(domain_id domain, const peer_message& message, actions& out) const;
    // Returns why this host refuses all new requests, or nullopt if it accepts some.
    std::optional<refusal_reason> refuse_all_reason(time_point now) const;

    // Returns whether a host of another failure domain forwarded the request.
    bool is_foreign(const arrival& request) const;
    // Returns the query by which the request chooses its target.
    target_query target_query_for(const request_row& row) const;
    service_capacity capacity_of(const request_row& row) const
    {
        return this->targets.capacity(row.request.service);
    }
    // Counts the first attempt of a request in the retry budget, once. `forwards` tells whether
    // this host forwards the request to another entry host.
    void count_first_attempt(request_row& row, bool forwards, time_point now);

    // Applies a model to every table. (node.cpp)
    void apply(std::shared_ptr<const config::model> next, revision number, clock_reading clock,
               actions& out);
    // Refreshes every table and serves the queues.
    void tick(time_point now, actions& out);
    // Returns whether this host owns the service's targets in its domain.
    bool owns(service_id service, time_point now) const;
    // Determines which owned services can serve, for the services that depend on them and for this
    // host's heartbeats.
    void refresh_dependencies(time_point now);
    // Applies the availability of another owner's services. Entries for services that this host
    // owns are ignored, because its own state is more accurate.
    void apply_dependency_heartbeat(const heartbeat& message, time_point now);

    // Handles ownership of targets and capacity grants between failure domains. (granting.cpp)
    void apply_grants(const model_map* change, time_point now, actions& out);
    void tick_grants(time_point now, actions& out);
    void receive_grants(host_id from, const peer_message& message, time_point now, actions& out);
    // Returns whether this host decides about requests of the service in its domain: it owns the
    // service's targets, or knows no other owner. Without owning them it only forwards requests to
    // other domains.
    bool decides_for(service_id service, time_point now) const;
    // Returns the host of another domain that forwarded the request and whose grant it uses, or
    // nullopt if the request comes from this domain.
    std::optional<host_id> holder_of(const request_row& row) const;
    grant_context grant_context_of(service_id service, time_point now) const;
    std::vector<service_demand> demands_for_other_domains(time_point now) const;
    void send_due_handovers(time_point now, actions& out);
    void send_handover_updates(time_point now, actions& out);
    std::vector<busy_slots> busy_slots_of(service_id service) const;
    void accept_handover(host_id from, const handover& message, time_point now, actions& out);
    void set_former_owner_slots(service_id service, const std::vector<busy_slots>& busy);
    void drop_former_owner_slots(host_id disconnected);
    void forward_queue_to_owner(service_id service, time_point now, actions& out);
    void check_grants(violations& found) const;

    // Checks the invariants and appends their violations to `found`. (node_check.cpp)
    void check(violations& found) const;
    void check_attempt_counts(const std::vector<std::uint64_t>& attempts, violations& found) const;
    void check_queues(const std::vector<std::uint64_t>& queued, violations& found) const;
    void check_priority_order(const std::vector<std::optional<priority_level>>& most_urgent,
                              violations& found) const;
    // Returns whether the first queued request could have started when the queue was last served.
    bool could_start_next(service_id service) const;

    bool ready() const { return this->model != nullptr && this->host.has_value(); }
    domain_id domain() const { return this->model->at(*this->host).domain; }

    node_settings settings;
    std::shared_ptr<const config::model> model;
    revision configuration;
    std::optional<host_id> host;
    request_table requests;
    target_table targets;
    admission queues;
    retry_budget retries;
    priority_audit audit;
    availability availability_state;
    lookup_policy lookups;
    shift_limiter shifts;
    // By service and domain: the priority whose shifts the domain refused, and until when this host
    // assumes that the domain refuses them.
    std::map<std::pair<service_id, domain_id>, std::pair<priority_level, time_point>> shift_closed;
    // By service: whether the shift limiter counts it, because this host owns its targets.
    std::vector<bool> shift_started;
    time_point started;
    // When an operators' drain of this host took effect; empty if there is none.
    std::optional<time_point> drained_since;
    dependencies dependency_states;
    demand_meter offered_load;
    ownership owners;
    grant_ledger ledger;
    grant_holder book;
    // Services that this host has handed over while its attempts still use slots.
    std::vector<handed_over_service> handed_over;
    std::uint64_t handover_sequence{};
    // The former owner of each service, to accept its later handovers, which update the slots in
    // use.
    std::map<service_id, former_owner> former_owners;
    // The time of the last event.
    time_point latest;
    // By service: when its queue was last served.
    std::vector<time_point> queue_served_at;
    bool stopping{};
    time_point shutdown_started;
};

} // namespace bth::steering
