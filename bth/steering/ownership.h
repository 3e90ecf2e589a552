// Which entry host owns the targets of a service in its failure domain: one at a time.
//
// Candidates are the few hosts of the domain with the highest rendezvous hash (Thaler and
// Ravishankar 1998) of host and service name. A candidate that wants to own a service claims it in
// its heartbeats; it owns the service once every other candidate that is alive has acknowledged
// such a heartbeat, and for one lease from when it SENT the latest one that they acknowledged
// (leases after Gray and Cheriton 1989). Who acknowledges promises not to own the service, nor to
// acknowledge another's claim, for a lease and a margin for clock drift from when it RECEIVED the
// heartbeat. So the owner always stops before another one may begin.
//
// What is assumed about partitions inside one failure domain:
// - Three or more candidates: nothing. A majority must acknowledge, so a cut-off owner stops.
//   Two of three candidates dead at once leave the service without an owner in this domain.
// - Two candidates: a message of at least one direction gets through between two running hosts
//   within one lease. A silent partner is taken for dead, since the domain must outlive it.
// - One candidate: it owns everything once its start-up wait is over.
// Partitions between failure domains don't matter here.
//
//   ownership own{incarnation{7}};
//   own.apply(model, revision{1}, host, now);
//   send(own.tick(now));
//   if (own.owns(service, now)) { serve(); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"
#include "bth/steering/messages.h"
#include "bth/steering/model_map.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bth::steering {

// How many hosts of a domain may come to own one service.
inline constexpr std::size_t most_candidates = 3;

struct ownership_settings {
    duration heartbeat_interval{std::chrono::milliseconds{250}};
    // How long an acknowledged heartbeat lets its sender own a service.
    duration lease{std::chrono::seconds{1}};
    // By how much the rates of two hosts' clocks may differ, as a share.
    double drift{0.02};
    // A candidate not heard for so long no longer shortens the owner's lease.
    duration gone_after{std::chrono::milliseconds{600}};
    // A candidate that was never heard in this life is taken for dead after so long: it may hold an
    // older configuration that doesn't name this host.
    duration first_contact{std::chrono::seconds{3}};
    // A candidate of higher rank gets the service back after it was heard for so long.
    duration rebalance_after{std::chrono::seconds{5}};
    // Time between two calls counts as at most this much of being awake.
    duration longest_step{std::chrono::milliseconds{100}};
    // A candidate waits this much longer for each one that ranks before it.
    duration rank_delay{std::chrono::milliseconds{100}};
};

// The candidate owners of `service` in `domain`, best first.
std::vector<host_id> owner_candidates(const config::model& in, domain_id domain,
                                      service_id service);

// A service that should be handed to another candidate now.
struct due_handover {
    service_id service;
    host_id to;
};

class ownership {
public:
    using outgoing = std::vector<send_message>;

    explicit ownership(incarnation life, ownership_settings settings = {});

    // Takes a configuration into force; `self` is this host in it.
    void apply(std::shared_ptr<const config::model> next, revision number, host_id self,
               time_point now);

    // Looks at the time and sends what is due. To be called before anything else after a wait.
    outgoing tick(time_point now);
    outgoing receive(host_id from, const heartbeat& message, time_point now);
    // The former owner gives a service up for this host, which claims it at once.
    outgoing accept(host_id from, const handover& message, time_point now);

    // Owned services to hand over now: because this host leaves, isn't a candidate any more, or a
    // candidate of higher rank has come back.
    std::vector<due_handover> due(time_point now) const;
    // Gives a service up. The caller sends the handover message.
    outgoing give_up(service_id service, time_point now);

    // The connection to a host broke. Until it is heard again it is taken for gone when requests
    // are routed; leases don't change by it.
    void peer_lost(host_id peer);

    // Whether this host owns the service at `now`. Exact at any `now`, also after a freeze.
    bool owns(service_id service, time_point now) const;
    // When the ownership ends unless it is renewed; no promise to others may last longer.
    time_point owned_until(service_id service, time_point now) const;
    // The host of this domain to ask for the service: the owner as far as it is known, else the
    // best candidate that isn't known to be gone. Nothing if the service has no targets here.
    std::optional<host_id> owner(service_id service, time_point now) const;

    // What heartbeats say beside ownership.
    void set_leaving(bool leaving) { this->leaving = leaving; }
    void set_unable(std::vector<service_id> services) { this->unable = std::move(services); }
    void set_digest(std::uint64_t digest) { this->digest = digest; }

    // Heartbeats sent so far.
    std::uint64_t sent() const { return this->sequence; }

private:
    enum class phase : std::uint8_t { idle, claiming, owned };

    struct candidate_row {
        host_id host;
        // When the latest heartbeat was sent that this candidate acknowledged for the service.
        std::optional<time_point> consent;
    };
    struct group_row {
        bool present{};
        std::vector<candidate_row> candidates;
        phase now_in{phase::idle};
        // The first heartbeat that named the claim.
        std::uint64_t claim_sequence{};
        // This host claims nothing before.
        time_point own_wait;
        // To whom this host has promised the service, and until when.
        std::optional<host_id> promised_to;
        time_point promised_until;
        // Who said last that it owns the service.
        std::optional<host_id> known_owner;
    };
    struct sent_row {
        std::uint64_t sequence{};
        time_point at;
    };
    struct peer_row {
        // This life's heartbeats not yet acknowledged.
        std::deque<sent_row> sent;
        time_point last_sent;
        time_point next_due;
        // Awake time when the peer was heard, and first heard in its present life.
        std::optional<duration> heard;
        duration first_heard{};
        heartbeat latest;
        // What `latest` owns or claims and this host didn't promise when it came.
        std::vector<service_id> unpromised;
        bool regular{};
        // Whether the connection broke since the peer was heard.
        bool lost{};
    };

    duration awake_at(time_point now) const;
    void look_at(time_point now);
    duration promise() const;
    std::optional<std::size_t> rank_of(const group_row& group, host_id host) const;
    bool unheard_for(host_id host, duration limit, time_point now) const;
    bool silent(host_id host, time_point now) const;
    bool gone(host_id host, time_point now) const;
    bool reachable(host_id host, time_point now) const;
    time_point lease_end(const group_row& group, time_point now) const;
    bool claim_granted(const group_row& group, time_point now) const;
    void withdraw(group_row& group, time_point now) const;
    void consider(group_row& group, host_id from, bool owned, time_point now) const;
    void take_consents(host_id from, const heartbeat& message, std::optional<time_point> sent_at);
    void take_claims(host_id from, peer_row& peer, time_point now);
    void system_leases(time_point now);
    bool system_claims(time_point now);
    heartbeat compose(host_id to, peer_row& peer, time_point now);
    void send(host_id to, time_point now, outgoing& out);
    void send_all(time_point now, outgoing& out);
    void carry_over(const std::vector<group_row>& before, std::map<host_id, peer_row>& known,
                    const model_map& change);
    void carry_over(const group_row& old, group_row& group, const model_map& change) const;
    void plan_peers(time_point now);

    incarnation life;
    ownership_settings settings;
    std::shared_ptr<const config::model> model;
    revision configuration;
    host_id self;
    bool leaving{};
    std::vector<service_id> unable;
    std::uint64_t digest{};
    std::uint64_t sequence{};
    // Time that this process was awake, and when that was last counted.
    duration awake{};
    std::optional<time_point> last_call;
    std::vector<group_row> groups;
    std::map<host_id, peer_row> peers;
};

} // namespace bth::steering
