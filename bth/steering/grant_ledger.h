// The granting side of capacity grants, at the owner of a service's targets: grants capacity to
// hosts of other failure domains, accounts for it, and limits the domain's own callers to the rest.
//
// Capacity counts as used from when it is granted, not from when requests arrive. At every instant,
// for the service's share of the domain's cap and of each link (limits.h):
//   own load + outstanding grants <= cap
// A grant is outstanding until its lease has passed since it was sent, by this host's clock and a
// margin for clock drift. An earlier grant that was larger stays outstanding beside a later one,
// because the later one may have got lost. Grants end with the ownership lease, so a new owner
// accounts only for grants that were handed over to it. The holder counts its lease from when it
// sent the request, and thus stops using the grant first.
//
//   grant_ledger ledger;
//   ledger.apply(model, domain, nullptr, now);
//   send(host, ledger.answer(host, request, contexts, now));
//   if (!ledger.try_consume(service, host, now)) { refuse(); }
//   if (ledger.try_start(service, holder, now)) { ...; ledger.finish(service, holder); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"
#include "bth/config/model.h"
#include "bth/steering/demand.h"
#include "bth/steering/limits.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"
#include "bth/steering/token_bucket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace bth::steering {

// Lease of a grant, unless the ownership lease ends earlier.
inline constexpr duration grant_lease = std::chrono::seconds{1};

// State of one service that decides about its grants and that the ledger itself doesn't hold.
struct grant_context {
    // The end of this host's ownership unless it is renewed; time_point::min() if this host doesn't
    // own the service's targets.
    time_point owned_until{time_point::min()};
    // The owner as far as known; named to hosts whose requests this host can't answer.
    std::optional<host_id> owner;
    // Slots of the targets that are healthy and not leaving.
    std::uint32_t usable_slots{};
    duration service_time{};
    // The rates that the domain's own callers offer, most urgent level first.
    std::vector<priority_rate> own_demand;
};

// The granted and used capacity of one service, for checks and metrics.
struct ledger_usage {
    service_id service;
    request_capacity cap;
    // The rate at which requests of own callers may start, and their attempts in flight.
    request_rate own_rate;
    std::uint32_t own_in_flight{};
    // Granted to hosts of other domains. For each holder, granted_in_flight counts its granted
    // requests in flight or those that it has in flight, whichever is larger.
    request_rate granted_rate;
    std::uint32_t granted_in_flight{};
    // Granted bytes per second, and their limit, by source region.
    std::vector<link_capacity> granted_link_capacity;
    std::vector<link_capacity> link_cap;
};

class grant_ledger {
public:
    // Switches to the model `next` and the limits of `domain` in it. Keeps the state of services
    // and holders that `change` maps.
    void apply(std::shared_ptr<const config::model> next, domain_id domain, const model_map* change,
               time_point now);

    // Answers a request from the host `from`. `contexts` holds the state of each service in the
    // order of `request.services`. Names the owner of services that this host doesn't own, and
    // skips those of a request that is older than one already answered.
    capacity_grant answer(host_id from, const grant_request& request,
                          const std::vector<grant_context>& contexts, time_point now);

    // Takes a token of the grant of `holder` for a request that it forwarded. Returns false if no
    // grant is outstanding or its rate is used up.
    bool try_consume(service_id service, host_id holder, time_point now);
    // Starts an attempt for `holder`, or for an own caller if it is nullopt. Returns false if that
    // would exceed both the holder's grant and the free capacity, or the allowed rate of starts.
    bool try_start(service_id service, std::optional<host_id> holder, time_point now);
    // Returns whether try_start would succeed.
    bool can_start(service_id service, std::optional<host_id> holder, time_point now) const;
    // Records the end of an attempt for which try_start returned true.
    void finish(service_id service, std::optional<host_id> holder);

    // Drops expired grants and updates the rates left for own callers. To be called on each tick;
    // `answer` calls it too.
    void tick(time_point now);

    // Returns the outstanding grants of a service, for the host that becomes its owner.
    std::vector<handed_over_grant> outstanding_grants(service_id service, time_point now) const;
    // Adds the outstanding grants of the former owner.
    void import_grants(service_id service, const std::vector<handed_over_grant>& grants,
                       time_point now);
    // Sets the number of attempts that the former owner has in flight; they count as own load.
    void set_former_owner_in_flight(service_id service, std::uint32_t count);
    // Forgets the demand of all holders for a service that another host owns now. Outstanding
    // grants stay until they expire, and attempts in flight stay counted.
    void clear_demand(service_id service);

    // Returns the service's share of the domain's cap.
    request_capacity service_cap(service_id service) const
    {
        return this->domain_limits.part(service);
    }
    // Returns the granted and used capacity of each service at `now`.
    std::vector<ledger_usage> usage(time_point now) const;

private:
    struct outstanding_grant {
        granted_capacity room;
        time_point expires_at;
    };
    struct holder_row {
        domain_id source;
        incarnation incarnation_number;
        // The sequence number of the holder's latest grant request.
        std::uint64_t sequence{};
        std::vector<outstanding_grant> grants;
        // The demand in the holder's latest grant request, and when that request arrived.
        std::vector<grant_demand> demand;
        time_point requested_at;
        // Attempts started for the holder.
        std::uint32_t in_flight{};
        // Limits the rate of requests that the holder forwards.
        token_bucket bucket;
    };
    struct service_row {
        request_capacity cap;
        std::map<host_id, holder_row> holders;
        std::uint32_t own_in_flight{};
        std::uint32_t former_owner_in_flight{};
        // Limits the starts for own callers.
        token_bucket own_bucket;
        // Limits all starts together, so that bursts of several buckets don't add up.
        token_bucket total_bucket;
        request_rate own_rate;
    };
    // The capacity that a holder may get for its demand, given that of all holders and own callers.
    struct fair_share {
        double in_flight{};
        double rate{};
    };

    static granted_capacity outstanding_capacity(const holder_row& row, time_point now);
    static std::uint32_t reserved_in_flight(const holder_row& row, time_point now);
    static std::uint32_t granted_in_flight(const service_row& row, time_point now);
    static request_rate granted_rate(const service_row& row, time_point now);
    bool has_free_capacity(const service_row& row, time_point now) const;
    fair_share fair_share_of(const service_row& row, host_id holder, const grant_context& context,
                             time_point now) const;
    granted_capacity make_grant(service_id service, host_id holder, const grant_context& context,
                                time_point now);
    request_rate limit_by_links(service_id service, host_id holder, request_rate rate,
                                time_point now) const;
    link_capacity granted_link_capacity(service_id service, region_id region,
                                        std::optional<host_id> excluded, time_point now) const;
    void set_own_rate(service_row& row, time_point now);

    std::shared_ptr<const config::model> model;
    domain_id domain;
    limits domain_limits;
    std::vector<service_row> services;
};

} // namespace bth::steering
