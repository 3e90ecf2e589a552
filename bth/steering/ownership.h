// Determines which entry host owns the targets of a service in its failure domain. At most one host
// of the domain owns them at a time.
//
// Candidates are the few hosts of the domain with the highest rendezvous hash (Thaler and
// Ravishankar 1998) of host and service name. A candidate that wants to own a service claims it in
// its heartbeats. It owns the service once every other candidate that is alive has acknowledged
// such a heartbeat, for one lease from when it SENT the latest heartbeat that they acknowledged
// (leases after Gray and Cheriton 1989). A candidate that acknowledges promises not to own the
// service, nor to acknowledge another candidate's claim, for a lease and a margin for clock drift
// from when it RECEIVED the heartbeat. So the owner always stops before another one may start.
//
// Assumptions about partitions inside one failure domain:
// - Three or more candidates: none. A majority must acknowledge, so an isolated owner stops.
//   If two of three candidates are down at the same time, the service has no owner in this domain.
// - Two candidates: messages in at least one direction get through between two running hosts
//   within one lease. A silent candidate is presumed dead, since the domain must survive its
//   failure.
// - One candidate: it owns everything after its start-up delay.
// Partitions between failure domains don't matter here.
//
//   ownership owners{incarnation{7}};
//   owners.apply(model, revision{1}, host, now);
//   send(owners.tick(now));
//   if (owners.owns(service, now)) { serve(); }
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

// The maximum number of hosts of a domain that are candidates for the ownership of one service.
inline constexpr std::size_t max_owner_candidates = 3;

struct ownership_settings {
    duration heartbeat_interval{std::chrono::milliseconds{250}};
    // How long an acknowledged heartbeat lets its sender own a service, from when it was sent.
    duration lease{std::chrono::seconds{1}};
    // The maximum difference between the rates of two hosts' clocks, as a fraction.
    double clock_drift{0.02};
    // The owner's lease doesn't need acknowledgements of a candidate from which no heartbeat has
    // come for so long.
    duration overdue_after{std::chrono::milliseconds{600}};
    // A candidate from which this process has never received a heartbeat doesn't count as overdue
    // or dead before so long, since it may have an older configuration that doesn't name this host.
    duration first_contact_timeout{std::chrono::seconds{3}};
    // A candidate of higher rank gets the service back after its heartbeats have come for so long.
    duration rebalance_after{std::chrono::seconds{5}};
    // The time between two calls counts as awake time of this process up to this limit.
    duration max_awake_step{std::chrono::milliseconds{100}};
    // A candidate delays its claim by this much for each candidate that ranks before it.
    duration rank_delay{std::chrono::milliseconds{100}};
};

// Returns the candidate owners of `service` in `domain`, highest rank first.
std::vector<host_id> owner_candidates(const config::model& in, domain_id domain,
                                      service_id service);

// A service to hand over to another candidate now.
struct due_handover {
    service_id service;
    host_id to;
};

class ownership {
public:
    using outgoing = std::vector<send_message>;

    explicit ownership(incarnation incarnation_number, ownership_settings settings = {});

    // Applies a configuration; `self` is this host in it.
    void apply(std::shared_ptr<const config::model> next, revision number, host_id self,
               time_point now);

    // Updates leases and claims for the time `now`, and returns the heartbeats that are due. To be
    // called before anything else after a wait.
    outgoing tick(time_point now);
    // Handles a heartbeat of another host, and returns the heartbeats to send in response.
    outgoing receive(host_id from, const heartbeat& message, time_point now);
    // Handles the handover of a service to this host by its former owner; this host claims the
    // service immediately. Ignored if this host leaves, isn't a candidate for the service, or
    // already owns or claims it.
    outgoing accept_handover(host_id from, const handover& message, time_point now);

    // Returns the owned services to hand over now, because this host leaves or is no longer a
    // candidate, or because a candidate of higher rank is back.
    std::vector<due_handover> due_handovers(time_point now) const;
    // Ends the ownership of a service, and returns the heartbeats that announce it. The calling
    // code sends the handover message.
    outgoing give_up(service_id service, time_point now);

    // Records that the connection to a host broke. Until the next heartbeat from it, owner() avoids
    // the host; leases don't change.
    void peer_lost(host_id peer);

    // Returns whether this host owns the service at `now`. The result is exact at any `now`, also
    // right after the process was suspended.
    bool owns(service_id service, time_point now) const;
    // Returns when the ownership ends unless it is renewed; time_point::min() if this host doesn't
    // own the service. Nothing that is granted to other hosts may last longer.
    time_point owned_until(service_id service, time_point now) const;
    // Returns the host of this domain to ask for the service: the owner as far as it is known,
    // otherwise the highest-ranking candidate that seems reachable, otherwise the first candidate.
    // Nothing if the service has no targets here.
    std::optional<host_id> owner(service_id service, time_point now) const;

    // Set what the heartbeats contain besides ownership.
    void set_leaving(bool leaving) { this->leaving = leaving; }
    void set_unable(std::vector<service_id> services) { this->unable = std::move(services); }
    void set_digest(std::uint64_t digest) { this->digest = digest; }

    // Returns the number of heartbeats sent since the start.
    std::uint64_t heartbeats_sent() const { return this->sequence; }

private:
    enum class claim_phase : std::uint8_t { idle, claiming, owned };

    struct candidate_row {
        host_id host;
        // When the latest heartbeat was sent that this candidate acknowledged for the service.
        std::optional<time_point> acked_send_time;
    };
    // The state of one service in this domain.
    struct candidate_group {
        bool has_targets{};
        // Highest rank first.
        std::vector<candidate_row> candidates;
        claim_phase phase{claim_phase::idle};
        // The sequence number of the first heartbeat that named the claim.
        std::uint64_t claim_sequence{};
        // The earliest time at which this host may claim the service; time_point::min() after a
        // handover.
        time_point claim_not_before;
        // The candidate to which this host has promised the service, and until when.
        std::optional<host_id> promised_to;
        time_point promised_until;
        // The host that last announced that it owns the service.
        std::optional<host_id> known_owner;
    };
    struct sent_heartbeat {
        std::uint64_t sequence{};
        time_point at;
    };
    struct peer_state {
        // Heartbeats of this process that the peer hasn't acknowledged yet.
        std::deque<sent_heartbeat> sent;
        time_point last_sent;
        time_point next_due;
        // Awake time of this process when the latest heartbeat came from the peer, and the first
        // one of the peer's current incarnation.
        std::optional<duration> last_seen;
        duration first_seen{};
        heartbeat latest;
        // Services that `latest` owns or claims and that this host hadn't promised to the peer when
        // it came.
        std::vector<service_id> unpromised;
        // Whether this host sends heartbeats to the peer periodically.
        bool periodic{};
        // Whether the connection broke since the latest heartbeat from the peer.
        bool disconnected{};
    };

    duration awake_at(time_point now) const;
    void update_awake_time(time_point now);
    duration promise_duration() const;
    std::optional<std::size_t> rank_of(const candidate_group& group, host_id host) const;
    bool unseen_for(host_id host, duration limit, time_point now) const;
    bool presumed_dead(host_id host, time_point now) const;
    bool heartbeat_overdue(host_id host, time_point now) const;
    bool reachable(host_id host, time_point now) const;
    time_point lease_end(const candidate_group& group, time_point now) const;
    bool claim_granted(const candidate_group& group, time_point now) const;
    void withdraw(candidate_group& group, time_point now) const;
    void consider_claim(candidate_group& group, host_id from, bool owned, time_point now) const;
    void record_acknowledgements(host_id from, const heartbeat& message,
                                 std::optional<time_point> sent_at);
    void process_claims(host_id from, peer_state& peer, time_point now);
    void expire_leases(time_point now);
    bool advance_claims(time_point now);
    heartbeat compose(host_id to, peer_state& peer, time_point now);
    void send(host_id to, time_point now, outgoing& out);
    void send_all(time_point now, outgoing& out);
    void carry_over(const std::vector<candidate_group>& before,
                    std::map<host_id, peer_state>& known, const model_map& change);
    void carry_over(const candidate_group& old, candidate_group& group,
                    const model_map& change) const;
    void update_periodic_peers(time_point now);

    incarnation incarnation_number;
    ownership_settings settings;
    std::shared_ptr<const config::model> model;
    revision configuration;
    host_id self;
    bool leaving{};
    std::vector<service_id> unable;
    std::uint64_t digest{};
    std::uint64_t sequence{};
    // Time for which this process was awake, and when it was last updated.
    duration awake{};
    std::optional<time_point> last_update;
    std::vector<candidate_group> groups;
    std::map<host_id, peer_state> peers;
};

} // namespace bth::steering
