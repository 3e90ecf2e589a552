// Holds the share of a service's traffic that changes its serving failure domain to the operators'
// cap, without agreement between failure domains.
//
// Every request is run by the owner of its service's targets in one failure domain, whatever way it
// came: forwarded by its home under a grant, forced by a drain, or brought by a caller who went
// elsewhere by itself. That owner counts it. What counts as a shift, per service and caller's home:
//
// - A request of another domain's caller is a shift, unless it lies within the settled part of the
//   assignment: per quarter of a window, as many as this domain served of that home in every one
//   of the last five quarters.
// - A request of an own caller is a shift (a move back) if it belongs to the part of this domain's
//   traffic that is settled elsewhere, as the other domains claim it by shift_claim.
//
// Each domain lets at most `part` of its own callers' traffic of the window move to it. Every
// caller has one home, so the domains' parts sum to `part` of the service's traffic, whichever of
// them are alive. The window slides in slices and a slice counts until all of it is older than the
// window. A new owner knows nothing of what its predecessor let move: it lets nothing move for one
// window, and takes the settled part from the claims that its predecessor sent. A cap of 1 limits
// nothing.
//
//   shift_limiter limiter;
//   limiter.configure(model, own_domain);
//   limiter.begin(service, now);                       // on gaining the targets
//   const shift_verdict verdict = limiter.decide(query, now);
//   if (verdict.decision == shift_decision::kept) { limiter.admitted(query, verdict, now); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bth::steering {

// A request that is about to be run in the limiter's own domain.
struct shift_query {
    service_id service;
    domain_id home;
    priority_level priority;
    // Whether the caller came to this domain by itself, rather than through its home's hosts.
    bool direct{};
};

enum class shift_decision : std::uint8_t {
    kept,      // Not a shift.
    moved,     // A shift within the cap.
    elsewhere, // An own caller's request that is settled at `at`: forward it, or refuse.
    refused,   // A shift over the cap.
};

struct shift_verdict {
    shift_decision decision{shift_decision::kept};
    // Where the request belongs; set with `elsewhere`.
    std::optional<domain_id> at;
    // When to come back; set with `elsewhere` and `refused`.
    duration retry_after{};
};

// What the limiter counts for one service, for metrics and invariant checks.
struct shift_account {
    // Shifts in the window that ends now.
    std::uint64_t moved{};
    // The most that the window may hold.
    std::uint64_t limit{};
};

// A claim and the domain whose hosts must get it.
struct addressed_claim {
    domain_id to;
    shift_claim claim;
};

class shift_limiter {
public:
    static constexpr std::size_t slices_per_window = 20;

    // Takes a configuration into force. Counts are kept by name over a change of ids; a service
    // whose window changed starts anew, with nothing allowed to move for one window.
    void configure(std::shared_ptr<const config::model> next, domain_id own, time_point now);

    // The host gained, or gave up, the targets of a service in its domain.
    void begin(service_id service, time_point now);
    void end(service_id service);

    // Judges a request; counts it only if it is refused.
    shift_verdict decide(const shift_query& query, time_point now);
    // Counts a request that `decide` judged and that now goes to a target.
    void admitted(const shift_query& query, const shift_verdict& verdict, time_point now);
    // Takes back what was counted at `counted`: the request went to no target here after all.
    void withdraw(const shift_query& query, const shift_verdict& verdict, time_point counted,
                  time_point now);

    // Takes a claim of the owner in `from`.
    void receive(domain_id from, const shift_claim& claim, time_point now);
    // The claims that are due, in a fixed order. Called every tick.
    std::vector<addressed_claim> tick(time_point now);

    shift_account account(service_id service, time_point now);
    // The settled requests per second of callers of `home` that this domain serves.
    request_rate settled(service_id service, domain_id home, time_point now);

private:
    // One slice more than a window, so that a window is covered at every instant.
    static constexpr std::size_t covering_slices = slices_per_window + 1;
    // The current slice and five quarters: what grew within the window doesn't look settled.
    static constexpr std::size_t settling_quarters = 5;
    static constexpr std::size_t ring_size = 1 + settling_quarters * slices_per_window / 4;
    using ring = std::array<std::uint32_t, ring_size>;

    struct home_row {
        ring served{};
        // Those of them that were no shifts.
        ring kept{};
        ring direct{};
        // When a claim last named something settled.
        std::optional<time_point> claimed;
    };
    struct claim_row {
        shift_claim claim;
        time_point at;
    };
    // Callers of this domain whose requests are settled in another one.
    struct debt_row {
        claim_row last;
        double owed{};
    };
    struct service_row {
        bool owned{};
        duration window{};
        duration slice{};
        std::int64_t current{};
        time_point blocked_until;
        time_point claims_sent;
        time_point owed_at;
        ring moved{};
        std::vector<ring> refused_by_priority;
        std::map<domain_id, home_row> homes;
        std::map<domain_id, debt_row> debts;
        // What the owner in this domain claimed last, by home.
        std::map<domain_id, claim_row> inherited;
    };

    service_row& row_at(service_id service, time_point now);
    static void reset(service_row& row, const config::service& settings);
    static void inherit(service_row& row, domain_id home, const claim_row& heard);
    static void advance(service_row& row, time_point now);
    static std::uint64_t recent(const service_row& row, const ring& counts, std::size_t first,
                                std::size_t count);
    static std::uint64_t settled_per_quarter(const service_row& row, const home_row& home);
    static bool is_settled(const service_row& row, const home_row& home);
    void accrue_debts(service_row& row, time_point now) const;
    static std::optional<domain_id> owed_to(const service_row& row);
    std::uint64_t limit_of(const service_row& row, service_id service, time_point now) const;
    // Nothing if a shift of this priority is within the cap; else when to come back.
    std::optional<duration> wait_for_budget(const service_row& row, const shift_query& query,
                                            time_point now) const;
    bool is_own(service_id service, domain_id home) const;
    static std::vector<shift_slice> history_of(const service_row& row, const home_row& home);
    void collect_claims(service_id service, service_row& row, time_point now,
                        std::vector<addressed_claim>& due) const;

    std::shared_ptr<const config::model> model;
    domain_id own;
    std::vector<service_row> services;
    // The domain that serves each (service, home) by the text alone.
    std::vector<domain_id> assigned;
};

} // namespace bth::steering
