// The granting side of capacity grants, at the owner of a service's targets: what it has promised
// to hosts of other failure domains, and what its own callers may use beside that.
//
// Room is counted when it is promised, not when it is used. At every instant, for the service's
// part of the domain's cap and of each link (limits.h):
//   own load + outstanding grants <= cap
// A grant is outstanding until its lease has passed since it was sent, by this host's clock and a
// margin for drift; an earlier grant that was larger stays outstanding beside a later one, which
// may have got lost. Grants end with the ownership lease, so a new owner has none to wait for
// but those handed over to it. The holder counts its lease from when it sent the request.
//
//   grant_ledger ledger;
//   ledger.apply(model, domain, nullptr, now);
//   send(host, ledger.answer(host, request, context, now));
//   if (!ledger.draw(service, host, now)) { refuse(); }
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

// How long a grant lasts unless the ownership lease ends before.
inline constexpr duration grant_lease = std::chrono::seconds{1};

// What the granter knows of one service besides its ledger.
struct granting_state {
    // When this host's ownership ends unless renewed; time_point::min() if it owns nothing.
    time_point owned_until{time_point::min()};
    // The owner as far as it is known, for requests that this host can't answer.
    std::optional<host_id> owner;
    // Slots that may be used now: those of targets that are well and not leaving.
    std::uint32_t usable_slots{};
    duration service_time{};
    // What the domain's own callers ask, most urgent level first.
    std::vector<level_rate> own_demand;
};

// What one service has promised and carries, for checks and metrics.
struct ledger_use {
    service_id service;
    request_capacity cap;
    // What own callers may start per second, and have in flight.
    request_rate own_rate;
    std::uint32_t own_in_flight{};
    // Promised to others; in flight counts what they have in flight where that is more.
    request_rate granted_rate;
    std::uint32_t granted_in_flight{};
    // Promised bytes by source region.
    std::vector<link_capacity> granted_bytes;
    std::vector<link_capacity> link_cap;
};

class grant_ledger {
public:
    // Takes the limits of `domain` in `model`; rows stay where `change` maps them.
    void apply(std::shared_ptr<const config::model> next, domain_id domain, const model_map* change,
               time_point now);

    // Answers a request of `from`. `about` gives the state of each service in the order of
    // `request.services`.
    capacity_grant answer(host_id from, const grant_request& request,
                          const std::vector<granting_state>& about, time_point now);

    // A request forwarded by `holder` draws on its grant. False if none is outstanding or its rate
    // is used up.
    bool draw(service_id service, host_id holder, time_point now);
    // Starts a try for `holder`, or for an own caller if there is none. False if that would exceed
    // what is promised or left.
    bool try_start(service_id service, std::optional<host_id> holder, time_point now);
    // Whether try_start would succeed.
    bool may_start(service_id service, std::optional<host_id> holder, time_point now) const;
    // A started try ended.
    void finish(service_id service, std::optional<host_id> holder);

    // Drops what has run out and sets the rates of own callers. Called each tick and after answer.
    void tick(time_point now);

    // The outstanding grants of a service, for the host that takes it over, and their acceptance.
    std::vector<handed_over_grant> outstanding(service_id service, time_point now) const;
    void take_over(service_id service, const std::vector<handed_over_grant>& grants,
                   time_point now);
    // Tries that the former owner still runs; they count as own load.
    void set_handed(service_id service, std::uint32_t count);
    // Forgets what was asked for a service that another host owns now. What was granted runs out,
    // and tries in flight stay counted.
    void release(service_id service);

    // The part of the domain's cap that belongs to the service.
    request_capacity part(service_id service) const { return this->parts.part(service); }
    std::vector<ledger_use> use(time_point now) const;

private:
    struct promise_row {
        granted_capacity room;
        time_point ends;
    };
    struct holder_row {
        domain_id source;
        incarnation life;
        std::uint64_t sequence{};
        std::vector<promise_row> promises;
        std::vector<grant_demand> demand;
        time_point asked;
        std::uint32_t in_flight{};
        token_bucket bucket;
    };
    struct service_row {
        request_capacity cap;
        std::map<host_id, holder_row> holders;
        std::uint32_t own_in_flight{};
        std::uint32_t handed_in_flight{};
        token_bucket own;
        // Bounds all starts together, so that bursts of several buckets don't add up.
        token_bucket all;
        request_rate own_rate;
    };
    // What a holder may get by its demand, all holders and own callers considered.
    struct claim {
        double in_flight{};
        double rate{};
    };

    static granted_capacity outstanding_room(const holder_row& row, time_point now);
    static std::uint32_t held_in_flight(const holder_row& row, time_point now);
    static std::uint32_t granted_in_flight(const service_row& row, time_point now);
    static request_rate granted_rate(const service_row& row, time_point now);
    bool has_room(const service_row& row, time_point now) const;
    claim fair_claim(const service_row& row, host_id holder, const granting_state& about,
                     time_point now) const;
    granted_capacity grant(service_id service, host_id holder, const granting_state& about,
                           time_point now);
    request_rate link_limited(service_id service, host_id holder, request_rate rate,
                              time_point now) const;
    link_capacity granted_bytes(service_id service, region_id region, std::optional<host_id> except,
                                time_point now) const;
    void set_own_rate(service_row& row, time_point now);

    std::shared_ptr<const config::model> model;
    domain_id domain;
    limits parts;
    std::vector<service_row> services;
};

} // namespace bth::steering
