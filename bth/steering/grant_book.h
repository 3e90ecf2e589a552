// The holding side of capacity grants, at the host that decides for a service's callers in its
// domain: which room other domains have granted, and what to ask of whom.
//
// It asks the fallback domains of its own domain for what its callers need beyond their own
// targets, nearest first and several at once, ahead of need, and all services of one granter in one
// message. Only pairs with a demand exchange messages. A grant is used while its lease lives,
// counted from when the request was SENT, within its rate and its requests in flight; the granter
// has counted the bytes on links into the rate.
//
//   grant_book book{life};
//   book.apply(model, own_domain, nullptr, now);
//   send(book.tick(demands, now));
//   book.receive(host, grant, now);
//   if (auto host = book.draw(service, usable, now)) { forward(*host); }
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

// A grant that is held now.
struct held_grant {
    service_id service;
    domain_id granter;
    host_id host;
    granted_capacity room;
    std::uint32_t in_flight{};
    time_point ends;
};

class grant_book {
public:
    using outgoing = std::vector<send_message>;

    explicit grant_book(incarnation life) : life{life} {}

    void apply(std::shared_ptr<const config::model> next, domain_id domain, const model_map* change,
               time_point now);

    // Sends the requests that are due. `demands` holds the services that this host decides for and
    // that need room elsewhere.
    outgoing tick(const std::vector<service_demand>& demands, time_point now);
    void receive(host_id from, const capacity_grant& grant, time_point now);
    // What this host held from `peer` is gone.
    void peer_lost(host_id peer);

    // Takes room for one request at the nearest granter for which `usable` holds. The host to
    // forward to, or nothing.
    std::optional<host_id>
    draw(service_id service, const std::function<bool(domain_id, host_id)>& usable, time_point now);
    // The request that drew on a grant of `host` has ended.
    void finish(service_id service, host_id host);

    // Grants that live at `now`.
    std::vector<held_grant> held(time_point now) const;
    // Requests sent so far.
    std::uint64_t sent() const { return this->sequence; }

private:
    struct grant_row {
        domain_id granter;
        std::vector<host_id> candidates;
        // Which candidate is asked.
        std::size_t asked{};
        // The host whose grant is held.
        host_id host;
        granted_capacity room;
        time_point ends;
        std::uint64_t sequence{};
        std::uint32_t in_flight{};
        token_bucket bucket;
        // What the latest request asked for.
        std::vector<grant_demand> wanted;
        duration round_trip{};
    };
    struct sent_row {
        std::uint64_t sequence{};
        time_point at;
    };
    struct granter_row {
        std::deque<sent_row> sent;
        time_point last_sent;
        std::optional<time_point> unanswered_since;
        std::uint32_t rotations{};
    };

    static host_id host_of(const grant_row& row);
    std::vector<grant_row> make_rows(const config::model& in, domain_id domain,
                                     service_id service) const;
    void plan(const service_demand& demand, time_point now,
              std::map<host_id, std::vector<service_demand>>& plans);
    bool due(host_id host, const std::vector<service_demand>& plan, time_point now) const;
    void rotate_silent(time_point now);
    void take_hint(const owner_hint& hint, host_id from);

    incarnation life;
    std::shared_ptr<const config::model> model;
    domain_id domain;
    std::uint64_t sequence{};
    // By service, nearest granter first.
    std::vector<std::vector<grant_row>> services;
    std::map<host_id, granter_row> granters;
};

} // namespace bth::steering
