// Adds up what all entry hosts report of the customers' requests, on a control host, and tells
// which customers press against their allowance.
//
//   demand_ledger ledger{terms};
//   ledger.set_limits(limits_of_the_configuration);
//   ledger.record_host(now, entry_host, usage);
//   ledger.record_control_host(now, control_host, its_entry_hosts, totals);
//   ledger.step(now);                              // regularly
//   send(ledger.own_totals()); send(ledger.pressures(now));
//
// All control hosts reckon the same from the same reports, so that the loss of one loses nothing. A
// host that falls silent may live on behind a cut and use its part of the allowances, so what it
// reported last counts until it has stopped doing so by itself; see
// allowance_table::isolated_validity. A host that reports to another control host counts there
// only.
#pragma once

#include "bth/dispatch/allowance.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bth::dispatch {

class demand_ledger {
public:
    // How long the last report of a silent host counts.
    static constexpr std::chrono::seconds retention{20};
    // A control host has heard the others, as far as they run, that long after its start: relays
    // are a second apart.
    static constexpr std::chrono::milliseconds settling_time{1500};
    static constexpr std::chrono::milliseconds step_interval{100};
    // The time over which admissions beyond the limit are made up for.
    static constexpr std::chrono::seconds repayment_time{1};

    explicit demand_ledger(allowance_terms terms) : terms{terms} {}

    // Replaces the limits of all customers.
    void set_limits(const std::vector<customer_limit>& limits);
    bool empty() const { return this->limits.empty(); }

    // Records the report of an attached entry host.
    void record_host(time_point now, const std::string& host,
                     const std::vector<customer_usage>& usage);
    // A host that another control host has heard, as it says.
    struct heard_host {
        std::string name;
        duration age{};
    };
    // Records the totals of another control host, and the entry hosts that they are of.
    void record_control_host(time_point now, const std::string& control_host,
                             const std::vector<heard_host>& entry_hosts,
                             const std::vector<customer_usage>& totals);

    // Adds up the reports, and adds what was admitted since the last step to what the customers
    // have used. Does nothing within step_interval of the last step.
    void step(time_point now);

    // Returns the sums of the attached hosts at the last step, for the other control hosts.
    std::vector<customer_usage> own_totals() const;
    // Returns whether these differ much from those at the last call of mark_told().
    bool differs_from_told() const;
    void mark_told() { this->told = this->own_sums; }

    // Returns the customers that demand more than min_told_demand of their limit or have used more
    // than it; nothing until all sums are known.
    std::optional<std::vector<customer_pressure>> pressures(time_point now) const;

private:
    struct rates {
        double offered{};
        double admitted{};
    };
    using rate_table = std::map<customer_key, rates>;
    struct host_row {
        time_point heard_at;
        std::vector<customer_usage> usage;
    };
    struct control_row {
        time_point heard_at;
        // When each of its entry hosts was heard.
        std::map<std::string, time_point> entry_hosts;
        std::vector<customer_usage> totals;
    };
    struct account {
        double rate{};
        double burst{};
        // What may be used beyond the rate; below 0 after more was admitted than is allowed.
        double balance{};
    };

    static void add(const std::vector<customer_usage>& usage, double weight, rate_table& sums);
    // Returns the part of a control host's entry hosts that haven't appeared elsewhere since.
    double remaining_part(const std::string& name, const control_row& row) const;
    void add_up(time_point now);

    allowance_terms terms;
    std::map<customer_key, account> limits;
    std::map<std::string, host_row> hosts;
    std::map<std::string, control_row> control_hosts;
    // Of the attached hosts, and of all.
    rate_table own_sums;
    rate_table all_sums;
    rate_table told;
    // When the first step was made, or the last control host appeared.
    std::optional<time_point> settles_from;
    std::optional<time_point> stepped_at;
};

// Returns whether pressures differ so much from those that were sent that they should be sent soon,
// and not with the next regular message.
bool differ_much(const std::vector<customer_pressure>& sent,
                 const std::vector<customer_pressure>& current);

} // namespace bth::dispatch
