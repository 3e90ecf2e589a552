// One entry host's part of the requests per second that a customer may send through all entry hosts
// together.
//
//   allowance_table table{terms};
//   table.set_limits(limits_of_the_configuration);
//   table.set_place(entry_hosts, rank_of_this_host);
//   if (auto refused = table.admit(now, customer)) { refuse_until(refused->retry_after); }
//   send(table.usage(now));                        // with each report to the control host
//   table.apply(now, pressures_from_the_control_host);
//
// This answers customers of very different size, whose requests come through all hosts or few, and
// one that suddenly sends ten times its usual through all hosts at once. Each host admits by a
// token bucket of its own, so that a request asks no other host. Hosts that follow this together
// refill at most at the customer's rate: each has the part of it that it had of the customer's
// demand some time ago, when its report had time to reach the control hosts, which add up all
// reports; see demand_ledger.h. A jump of the demand at all hosts thus raises no host's part before
// the sum has followed.
#pragma once

#include "bth/base/strong_id.h"
#include "bth/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace bth::dispatch {

// A hash of the customer's name, the same on all hosts.
using customer_key = strong_id<struct customer_key_tag, std::uint64_t>;

customer_key make_customer_key(std::string_view name);

struct customer_limit {
    customer_key customer;
    // Requests per second, above 0, and the burst beyond them.
    double rate{};
    double burst{};
};

// How far the platform lets the requests of a customer exceed its limit in any window:
// (rate * window + burst) * (1 + overshoot) + slack.
struct allowance_terms {
    duration window{};
    double overshoot{};
    double slack{};

    // Returns the number of requests by which a customer may exceed its limit in a window.
    double excess(double rate, double burst) const;
};

// The requests per second of a customer that arrived at one host or several, and those of them that
// were admitted; both averaged with exponentially decreasing weights.
struct customer_usage {
    customer_key customer;
    float offered{};
    float admitted{};
    friend bool operator==(const customer_usage&, const customer_usage&) = default;
};

// How much of its allowance a customer demands at all hosts together.
struct customer_pressure {
    customer_key customer;
    // The demand, as a multiple of the limit.
    float demand{};
    // The part of the limit that may be used now: less than 1 after more was admitted than the
    // limit allows.
    float usable{1};
    friend bool operator==(const customer_pressure&, const customer_pressure&) = default;
};

// The demand above which a customer's pressure is told to the hosts, as a part of its limit.
inline constexpr float min_told_demand = 0.7F;

// An average of events per second, in which an event counts less the older it is.
class decaying_rate {
public:
    // `time_constant` is the age at which an event counts 1/e.
    explicit decaying_rate(duration time_constant) : time_constant{time_constant} {}

    void count(time_point now, double events = 1);
    double value(time_point now) const;

private:
    duration time_constant;
    double rate{};
    time_point at;
};

class allowance_table {
public:
    // Over which time demand is averaged: long enough that a host which gets a request in some
    // seconds has a part, and short against the minutes in which callers move between regions.
    static constexpr std::chrono::milliseconds demand_time_constant{1200};
    // The same for what was admitted. The control hosts add it up, which evens it out.
    static constexpr std::chrono::milliseconds admission_time_constant{250};
    // Until then a report of this host has reached the control hosts, and what they made of it this
    // host: a report is due every 400 ms, a relay between control hosts 300 ms after a change, an
    // update after 400 ms.
    static constexpr std::chrono::milliseconds settling_time{600};
    // The same beside load, where each message may be late by some 300 ms. What is admitted by sums
    // that lack a report is made up for while control hosts are heard, but not after that.
    static constexpr std::chrono::milliseconds late_settling_time{1200};
    // After the last word of a control host, what this host reported still counts there for longer
    // than this.
    static constexpr std::chrono::seconds isolated_validity{18};
    // This host is out of contact after that time without a word of a control host, of which two
    // are missing then.
    static constexpr std::chrono::seconds contact_validity{1};
    // The sums of the control hosts are out of date after that time without word of them, of which
    // one is missing then.
    static constexpr std::chrono::milliseconds sums_validity{500};

    explicit allowance_table(allowance_terms terms) : terms{terms} {}

    // Sets the number of all entry hosts, and the place of this one among them, from 0.
    void set_place(std::uint32_t hosts, std::uint32_t own_rank)
    {
        this->host_count = std::max(hosts, 1U);
        this->rank = own_rank;
    }
    // Replaces the limits of all customers. Those without a limit are left out.
    void set_limits(const std::vector<customer_limit>& limits);

    struct refusal {
        // When this host has room again.
        duration retry_after{};
        // Whether the customer as a whole demands less than its limit, so that another host may
        // have room at once.
        bool has_room_elsewhere{};
        // The customer's demand at all hosts as a multiple of its limit, and this host's refill.
        double demand{};
        double refill_rate{};
    };
    // Counts a request, and returns nothing if the customer may send it.
    std::optional<refusal> admit(time_point now, customer_key customer);
    // Takes back that a request was admitted, since it was sent to no target.
    void refund(time_point now, customer_key customer);

    // Returns what this host reports, and remembers it as reported.
    std::vector<customer_usage> usage(time_point now);
    // Records word of a control host that hears all others. `pressures` are of the customers above
    // min_told_demand; nothing if the control host doesn't know all of them.
    void apply(time_point now, const std::optional<std::vector<customer_pressure>>& pressures);

private:
    struct reported_rate {
        time_point at;
        double offered{};
    };
    struct row {
        double rate{};
        double burst{};
        decaying_rate offered{demand_time_constant};
        decaying_rate admitted{admission_time_constant};
        double tokens{};
        // Nothing until the bucket is first used.
        std::optional<time_point> refilled_at;
        std::deque<reported_rate> reported;
        // The least that `demand` holds of the demand at this host.
        double offered_in_demand{};
        float demand{min_told_demand};
        float usable{1};
    };

    bool is_in_contact(time_point now) const
    {
        return this->last_contact && now - *this->last_contact <= contact_validity;
    }
    // Returns the demand at this host as the control hosts know it. While they tell no sums, this
    // is what they knew when they last did: newer demand here, as a part of older sums, would let
    // all hosts together refill at more than the limit.
    double known_offered(time_point now, const row& entry) const;
    // Returns the least demand at this host that the control hosts may have counted in sums that
    // they tell now.
    static double least_offered(time_point now, const row& entry);
    double refill_rate(time_point now, customer_key customer, const row& entry) const;
    // Returns how many hosts may hold tokens of a customer without recent demand. What they hold
    // may be spent at all of them before the control hosts learn of it.
    std::uint32_t idle_holders(const row& entry) const;
    bool is_idle_holder(customer_key customer, const row& entry) const;
    // Returns how many tokens the bucket holds, which is refilled at `refill` per second.
    double depth(const row& entry, double refill) const;
    // Adds the tokens since the last refill. Returns the rate.
    double refill(time_point now, customer_key customer, row& entry) const;

    allowance_terms terms;
    std::uint32_t host_count{1};
    std::uint32_t rank{};
    std::map<customer_key, row> rows;
    std::optional<time_point> last_contact;
    // The last word that held sums.
    std::optional<time_point> last_sums;
};

} // namespace bth::dispatch
