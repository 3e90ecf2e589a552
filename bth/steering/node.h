// The steering core of one entry host, which makes every decision about requests, grants, drains
// and look-ups.
//
// The core does no I/O, reads no clock and uses no randomness except its seeded generator, so the
// same calls return the same actions. Its state is held in tables; this class passes each event to
// them in a fixed order.
//
//   node core{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
//   perform(core.apply(model, revision{1}, {now, wall_time}));
//   perform(core.arrive(request, now));
//   perform(core.tick({now, wall_time}));
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"
#include "bth/steering/grant_holder.h"
#include "bth/steering/grant_ledger.h"
#include "bth/steering/invariants.h"
#include "bth/steering/messages.h"

#include <memory>
#include <string>

namespace bth::steering {

struct node_settings {
    // The name of this host in the configuration.
    std::string host_name;
    incarnation incarnation_number;
    std::uint64_t seed{};
};

// The capacity grants that one host has issued, and those that it holds.
struct grant_view {
    std::vector<ledger_usage> granted;
    std::vector<held_grant> held;
};

class node {
public:
    explicit node(node_settings settings);
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    ~node();

    // Applies a configuration, unless its revision is lower than that of the present one. Ids in
    // later events refer to the applied model.
    actions apply(std::shared_ptr<const config::model> next, revision number, clock_reading now);

    // Decides immediately about a new request. The actions concern it and possibly other requests.
    actions arrive(const arrival& request, time_point now);
    // Handles the end of an attempt.
    actions finished(const attempt_result& result, time_point now);
    // Handles a message from another entry host.
    actions receive(host_id from, const peer_message& message, time_point now);
    // Handles a broken connection to another entry host. Cancels the requests that `peer` has
    // forwarded to this host.
    actions peer_lost(host_id peer, time_point now);
    // Handles a load report of a target.
    actions report(const load_report& report, time_point now);
    // Handles a new list of live and leaving instances from the platform.
    actions platform(const platform_list& list, time_point now);
    // Begins a graceful shutdown. Look-ups stop naming this host immediately; new requests are
    // refused once callers can no longer hold an older look-up answer.
    actions begin_shutdown(time_point now);
    // Refreshes every table. To be called every tick_interval.
    actions tick(clock_reading now);

    // Returns the entry hosts that a caller should use. The answer names no host while the
    // configuration doesn't contain this host, or before the first configuration.
    lookup_answer lookup(const lookup_query& query, time_point now);

    // Returns whether the process may exit during a graceful shutdown: no request is in flight and
    // cached look-up answers have expired.
    bool may_exit(time_point now) const;
    // Returns the number of requests that are queued or have an attempt in flight.
    std::size_t in_flight() const;

    // Returns the invariants that are violated as of the last event; empty in a correct run.
    violations check_invariants() const;
    // Returns the capacity that this host has granted of the services that it owns at `now`, and
    // the grants of other hosts that it holds. Summed over all hosts, own load and held grants
    // never exceed the caps.
    grant_view grants(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> self;
};

// The interval at which the shell (bth/shell) calls node::tick.
inline constexpr duration tick_interval = std::chrono::milliseconds{50};

} // namespace bth::steering
