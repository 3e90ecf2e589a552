// The steering core of one entry host: every decision about requests, grants, drains and look-ups.
//
// It does no I/O, reads no clock and has no randomness but its seeded generator: the same calls
// give the same actions. The parts are tables with systems that run over them; this class only
// passes events to them in a fixed order.
//
//   node core{{.self = host, .life = incarnation{1}, .seed = 7}};
//   core.apply(model, revision{1}, now);
//   perform(core.arrive(request, now));
//   perform(core.tick(now));
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
    incarnation life;
    std::uint64_t seed{};
};

// Both sides of the capacity grants of one host.
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

    // Takes a configuration into force. A lower revision than the present one is ignored. Ids in
    // later events are those of this model.
    actions apply(std::shared_ptr<const config::model> next, revision number, clock_reading now);

    // Decides a new request at once; the actions concern it and possibly others.
    actions arrive(const arrival& request, time_point now);
    // Takes the end of a try.
    actions finished(const try_result& result, time_point now);
    // Takes a message of another entry host.
    actions receive(host_id from, const peer_message& message, time_point now);
    // The connection to another entry host broke; what it had forwarded here is cancelled.
    actions peer_lost(host_id peer, time_point now);
    actions report(const load_report& report, time_point now);
    actions platform(const platform_list& list, time_point now);
    // Begins a graceful stop: look-ups leave this host out; new work is refused after the longest
    // max-age has passed.
    actions begin_shutdown(time_point now);
    // Refreshes every table; called every tick_interval.
    actions tick(clock_reading now);

    lookup_answer lookup(const lookup_query& query, time_point now);

    // Whether a graceful stop may end the process: nothing is in flight and cached look-ups are
    // old.
    bool may_exit(time_point now) const;
    std::size_t in_flight() const;

    // What must hold and doesn't, as of the last event. Empty in every run that is right.
    violations check_invariants() const;
    // What this host has granted of the services that it owns at `now`, and what it holds of
    // others. Over all hosts together, own load and grants held never exceed the caps.
    grant_view grants(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> self;
};

// How often the shell calls tick.
inline constexpr duration tick_interval = std::chrono::milliseconds{50};

} // namespace bth::steering
