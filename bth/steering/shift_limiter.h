// Limits the share of a service's traffic that changes its serving failure domain to the operators'
// cap, without coordination between failure domains.
//
// Every request is served through the owner of its service's targets in one failure domain, however
// it reached that domain: forwarded by its home under a grant, forced by a drain, or sent there by
// the caller directly. That owner counts it. A request counts as a shift by these rules, per
// service and caller's home:
//
// - A request of another domain's caller is a shift, unless it lies within the settled traffic of
//   that home: per quarter of a window, the smallest number of requests of that home that this
//   domain served in any of the last five quarters.
// - A request of a caller of this domain is a shift (a move back) if it belongs to the part of this
//   domain's traffic that is settled in another domain, according to that domain's shift_claim.
//
// Each domain admits shifts up to the share `part` of its own callers' traffic in the window. Every
// caller has one home, so the domains' limits sum to the share `part` of the service's traffic,
// whichever of them are alive. The window slides in slices, and a slice counts until all of it is
// older than the window. A new owner doesn't know the shifts that its predecessor admitted: it
// admits none for one window, and takes the settled traffic from the claims that its predecessor
// sent. A cap of 1 limits nothing.
//
//   shift_limiter limiter;
//   limiter.configure(model, own_domain, now);
//   limiter.start_ownership(service, now);             // when this host becomes the owner
//   const shift_verdict verdict = limiter.decide(query, now);
//   if (verdict.decision == shift_decision::not_a_shift ||
//       verdict.decision == shift_decision::allowed_shift) {
//       limiter.record_admitted(query, verdict, now);
//   }
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

// A request that is about to be served in the limiter's own domain.
struct shift_query {
    service_id service;
    domain_id home;
    priority_level priority;
    // Whether the request came directly from the caller; otherwise a host of the caller's home
    // forwarded it.
    bool direct{};
};

enum class shift_decision : std::uint8_t {
    not_a_shift,
    allowed_shift, // A shift within the cap.
    // A request of a caller of this domain, over the cap, that is settled in another domain:
    // forward it to `settled_domain`, or refuse it.
    settled_elsewhere,
    refused, // A shift over the cap.
};

struct shift_verdict {
    shift_decision decision{shift_decision::not_a_shift};
    // The domain in which the request is settled; set with `settled_elsewhere`, and with
    // `allowed_shift` for a move back to this domain.
    std::optional<domain_id> settled_domain;
    // When the caller may retry; set with `settled_elsewhere` and `refused`.
    duration retry_after{};
};

// How much of the shift cap a service uses, for metrics and invariant checks.
struct shift_cap_usage {
    // Shifts in the window that ends now.
    std::uint64_t shifts{};
    // The maximum number of shifts in the window.
    std::uint64_t limit{};
};

// A claim and the domain to whose hosts it must be sent.
struct addressed_claim {
    domain_id to;
    shift_claim claim;
};

class shift_limiter {
public:
    static constexpr std::size_t slices_per_window = 20;

    // Applies a configuration. Counts follow the names of services and domains when ids change. A
    // service whose window changed starts with empty counts, and admits no shifts for one window.
    void configure(std::shared_ptr<const config::model> next, domain_id own, time_point now);

    // Starts or ends the counts for a service: this host became, or no longer is, the owner of its
    // targets in this domain.
    void start_ownership(service_id service, time_point now);
    void end_ownership(service_id service);

    // Decides whether a request is a shift, and whether the cap allows it. Counts the request only
    // if it is refused. Calls start_ownership first if this host doesn't count as the owner of the
    // service yet.
    shift_verdict decide(const shift_query& query, time_point now);
    // Counts a request that `decide` allowed and that is now sent to a target.
    void record_admitted(const shift_query& query, const shift_verdict& verdict, time_point now);
    // Subtracts a request that was counted at `counted` and then was sent to no target here.
    void withdraw(const shift_query& query, const shift_verdict& verdict, time_point counted,
                  time_point now);

    // Stores a claim of the owner in `from`.
    void receive(domain_id from, const shift_claim& claim, time_point now);
    // Returns the claims to send now, in a fixed order. To be called every tick.
    std::vector<addressed_claim> tick(time_point now);

    shift_cap_usage cap_usage(service_id service, time_point now);
    // Returns the settled traffic of callers of `home` that this domain serves, in requests per
    // second.
    request_rate settled_rate(service_id service, domain_id home, time_point now);

private:
    // One slice more than a window, so that a window is covered at every instant.
    static constexpr std::size_t covering_slices = slices_per_window + 1;
    // The ring holds the current slice and five quarters, more than one window, so that traffic
    // that grew within the window doesn't count as settled.
    static constexpr std::size_t settling_quarters = 5;
    static constexpr std::size_t ring_size = 1 + settling_quarters * slices_per_window / 4;
    using ring = std::array<std::uint32_t, ring_size>;

    struct home_counts {
        ring served{};
        // The served requests that were no shifts.
        ring kept{};
        // The served requests that callers sent to this domain directly.
        ring direct{};
        // When a claim of more than zero was last sent.
        std::optional<time_point> last_nonzero_claim;
    };
    struct received_claim {
        shift_claim claim;
        time_point received_at;
    };
    // Token bucket of the requests of this domain's callers that are settled in another domain. It
    // is refilled at the rate that follows from that domain's latest claim.
    struct claim_bucket {
        received_claim last;
        double tokens{};
    };
    struct service_row {
        bool owned{};
        duration window{};
        duration slice{};
        // Number of the current slice, counted from the epoch.
        std::int64_t current{};
        // No shift is admitted before this time.
        time_point blocked_until;
        time_point claims_sent;
        // When the claim buckets were last refilled.
        time_point refilled_at;
        ring shifted{};
        std::vector<ring> refused_by_priority;
        std::map<domain_id, home_counts> homes;
        // By the claiming domain.
        std::map<domain_id, claim_bucket> claim_buckets;
        // The latest claims of the owner in this domain, by home. A new owner restores its counts
        // from them.
        std::map<domain_id, received_claim> own_claims;
    };

    service_row& row_at(service_id service, time_point now);
    static void reset(service_row& row, const config::service& settings);
    static void restore_history(service_row& row, domain_id home, const received_claim& latest);
    static void advance(service_row& row, time_point now);
    static std::uint64_t sum_slices(const service_row& row, const ring& counts, std::size_t first,
                                    std::size_t count);
    static std::uint64_t settled_per_quarter(const service_row& row, const home_counts& home);
    static bool is_settled(const service_row& row, const home_counts& home);
    void refill_claim_buckets(service_row& row, time_point now) const;
    static std::optional<domain_id> domain_with_token(const service_row& row);
    std::uint64_t window_limit(const service_row& row, service_id service, time_point now) const;
    // Returns nothing if a shift of this priority is within the cap, otherwise the time to wait
    // before a retry.
    std::optional<duration> wait_for_budget(const service_row& row, const shift_query& query,
                                            time_point now) const;
    bool is_assigned_here(service_id service, domain_id home) const;
    static std::vector<shift_slice> history_of(const service_row& row, const home_counts& home);
    void collect_claims(service_id service, service_row& row, time_point now,
                        std::vector<addressed_claim>& due) const;

    std::shared_ptr<const config::model> model;
    domain_id own;
    std::vector<service_row> services;
    // The domain that serves each (service, home) according to the configuration alone.
    std::vector<domain_id> assigned;
};

} // namespace bth::steering
