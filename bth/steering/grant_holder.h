// The holding side of capacity grants: requests capacity from the fallback domains of its own
// domain, and admits requests to the capacity that they granted. Runs at the host that decides
// about a service's callers in its domain, usually the owner of the service's targets.
//
// Requests what the callers need beyond the domain's own targets from several fallback domains at
// the same time, nearest first and ahead of need, with all services that one host is asked for in
// one message. Hosts exchange grant messages only while there is a demand. A grant may be used
// until its lease expires, counted from when the request for it was SENT, and within its limits on
// the request rate and on requests in flight. Bytes on links need no check here: the granter limits
// the rate to what the links carry.
//
//   grant_holder holder{incarnation_number};
//   holder.apply(model, own_domain, nullptr, now);
//   send(holder.tick(demands, now));
//   holder.receive(host, grant, now);
//   if (auto host = holder.try_acquire(service, usable, now)) {
//       forward(*host);
//       ...
//       holder.finish(service, *host);
//   }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"
#include "bth/steering/token_bucket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bth::steering {

// A grant that hasn't expired.
struct held_grant {
    service_id service;
    domain_id granter;
    // The host of `granter` that gave the grant or, after a change of owner, answers for it.
    host_id host;
    granted_capacity room;
    // Requests in flight that use the grant.
    std::uint32_t in_flight{};
    time_point expires_at;
};

class grant_holder {
public:
    using outgoing = std::vector<send_message>;

    explicit grant_holder(incarnation number) : incarnation_number{number} {}

    // Switches to the model `next`, in which `domain` is the own domain. Keeps the grants whose
    // service, granter and hosts `change` maps.
    void apply(std::shared_ptr<const config::model> next, domain_id domain, const model_map* change,
               time_point now);

    // Returns the grant requests that are due. `demands` lists the services that this host decides
    // about and that need capacity in other domains.
    outgoing tick(const std::vector<service_demand>& demands, time_point now);
    // Stores the granted capacity and asks the owners that the answer names for the rest. Ignores
    // answers to another incarnation, to requests that this host doesn't remember, and to requests
    // older than the one last answered.
    void receive(host_id from, const capacity_grant& grant, time_point now);
    // The connection to `peer` broke: drops the grants held from it and asks other candidates.
    void peer_lost(host_id peer);

    // Reserves capacity for one request at the nearest granter with free capacity for which
    // `usable` returns true. Returns the host to forward the request to, or nullopt if there is
    // none.
    std::optional<host_id> try_acquire(service_id service,
                                       const std::function<bool(domain_id, host_id)>& usable,
                                       time_point now);
    // Frees the capacity of a request for which try_acquire returned `host`.
    void finish(service_id service, host_id host);

    // Returns the grants that haven't expired at `now`.
    std::vector<held_grant> held(time_point now) const;
    // Returns the number of grant requests sent so far.
    std::uint64_t requests_sent() const { return this->sequence; }

private:
    // The grant of one fallback domain for one service, if any, and whom to ask for it.
    struct grant_row {
        domain_id granter;
        // The hosts of `granter` that may own the service's targets, best first.
        std::vector<host_id> candidates;
        // Selects the candidate to ask, modulo their number.
        std::size_t candidate_index{};
        // The host whose grant is held.
        host_id granting_host;
        granted_capacity room;
        time_point expires_at;
        // The sequence of the request that the grant answers.
        std::uint64_t sequence{};
        std::uint32_t in_flight{};
        token_bucket bucket;
        // The demand last planned for this granter.
        std::vector<grant_demand> requested;
        duration round_trip{};
    };
    struct sent_request {
        std::uint64_t sequence{};
        time_point time;
    };
    // The exchange of messages with one host of another domain.
    struct granter_host {
        // The latest grant requests, oldest first.
        std::deque<sent_request> sent_requests;
        time_point last_sent;
        std::optional<time_point> unanswered_since;
        // How often another candidate was chosen because this host didn't answer.
        std::uint32_t rotations{};
    };

    static host_id asked_host(const grant_row& row);
    std::vector<grant_row> make_rows(const config::model& in, domain_id domain,
                                     service_id service) const;
    void plan_requests(const service_demand& demand, time_point now,
                       std::map<host_id, std::vector<service_demand>>& plans);
    bool is_due(host_id host, const std::vector<service_demand>& plan, time_point now) const;
    void rotate_unresponsive(time_point now);
    void apply_owner_hint(const owner_hint& hint, host_id from);

    incarnation incarnation_number;
    std::shared_ptr<const config::model> model;
    domain_id domain;
    std::uint64_t sequence{};
    // By service, nearest granter first.
    std::vector<std::vector<grant_row>> services;
    std::map<host_id, granter_host> granter_hosts;
};

} // namespace bth::steering
