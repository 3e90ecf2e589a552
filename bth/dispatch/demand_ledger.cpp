#include "bth/dispatch/demand_ledger.h"

#include <algorithm>
#include <cmath>

namespace bth::dispatch {

namespace {

// The most that a customer owes, as the time in which its rate makes up for it. Beyond that, sums
// that are wrong for a while would lock a customer out for as long.
constexpr double max_debt_seconds = 5.0;
// The part of what a window may exceed the limit by that is borne without making up for it.
constexpr double borne_part_of_excess = 0.25;
// Relays are a second apart; after that time one is missing.
constexpr std::chrono::milliseconds control_host_silence{2500};
// Sums and pressures are told early if one differs by this part of its limit.
constexpr double told_difference = 0.1;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void demand_ledger::set_limits(const std::vector<customer_limit>& next_limits)
{
    std::map<customer_key, account> next;
    for (const auto& each : next_limits) {
        const auto known = this->limits.find(each.customer);
        const double balance = known == this->limits.end() ? 0.0 : known->second.balance;
        next[each.customer] = {each.rate, each.burst, std::min(balance, each.burst)};
    }
    this->limits = std::move(next);
}

void demand_ledger::record_host(time_point now, const std::string& host,
                                const std::vector<customer_usage>& usage)
{
    this->hosts[host] = {now, usage};
}

void demand_ledger::record_control_host(time_point now, const std::string& control_host,
                                        const std::vector<heard_host>& entry_hosts,
                                        const std::vector<customer_usage>& totals)
{
    auto& row = this->control_hosts[control_host];
    if (now - row.heard_at > control_host_silence) {
        this->settles_from = now;
    }
    row = {now, {}, totals};
    for (const auto& each : entry_hosts) {
        const auto heard_at = now - each.age;
        row.entry_hosts[each.name] = heard_at;
        const auto own = this->hosts.find(each.name);
        if (own != this->hosts.end() && own->second.heard_at < heard_at) {
            this->hosts.erase(own);
        }
    }
}

void demand_ledger::add(const std::vector<customer_usage>& usage, double weight, rate_table& sums)
{
    for (const auto& each : usage) {
        // Comparing so leaves out what is no number.
        if (each.offered >= 0 && each.admitted >= 0) {
            auto& sum = sums[each.customer];
            sum.offered += weight * each.offered;
            sum.admitted += weight * each.admitted;
        }
    }
}

double demand_ledger::remaining_part(const std::string& name, const control_row& row) const
{
    if (row.entry_hosts.empty()) {
        return 1;
    }
    const auto has_moved = [&](const std::string& host, time_point heard_at) {
        const auto own = this->hosts.find(host);
        if (own != this->hosts.end() && own->second.heard_at > heard_at) {
            return true;
        }
        return std::any_of(
            this->control_hosts.begin(), this->control_hosts.end(), [&](const auto& other) {
                const auto there = other.second.entry_hosts.find(host);
                return other.first != name && there != other.second.entry_hosts.end() &&
                       there->second > heard_at;
            });
    };
    const auto moved =
        std::count_if(row.entry_hosts.begin(), row.entry_hosts.end(),
                      [&](const auto& each) { return has_moved(each.first, each.second); });
    return 1.0 - static_cast<double>(moved) / static_cast<double>(row.entry_hosts.size());
}

void demand_ledger::add_up(time_point now)
{
    this->own_sums.clear();
    for (const auto& [host, row] : this->hosts) {
        add(row.usage, 1, this->own_sums);
    }
    this->all_sums = this->own_sums;
    for (const auto& [name, row] : this->control_hosts) {
        const bool is_silent = now - row.heard_at > control_host_silence;
        add(row.totals, is_silent ? this->remaining_part(name, row) : 1.0, this->all_sums);
    }
}

void demand_ledger::step(time_point now)
{
    if (!this->settles_from) {
        this->settles_from = now;
    }
    if (this->stepped_at && now - *this->stepped_at < step_interval) {
        return;
    }
    const double passed = this->stepped_at ? seconds(now - *this->stepped_at) : 0.0;
    this->stepped_at = now;
    const auto is_forgotten = [&](const auto& each) {
        return now - each.second.heard_at > retention;
    };
    std::erase_if(this->hosts, is_forgotten);
    std::erase_if(this->control_hosts, is_forgotten);
    this->add_up(now);
    for (auto& [customer, each] : this->limits) {
        const auto sum = this->all_sums.find(customer);
        const double admitted = sum == this->all_sums.end() ? 0.0 : sum->second.admitted;
        each.balance = std::clamp(
            each.balance + (each.rate - admitted) * passed,
            -this->terms.excess(each.rate, each.burst) - max_debt_seconds * each.rate, each.burst);
    }
}

std::vector<customer_usage> demand_ledger::own_totals() const
{
    std::vector<customer_usage> out;
    out.reserve(this->own_sums.size());
    for (const auto& [customer, sum] : this->own_sums) {
        out.push_back(
            {customer, static_cast<float>(sum.offered), static_cast<float>(sum.admitted)});
    }
    return out;
}

bool demand_ledger::differs_from_told() const
{
    return std::any_of(this->limits.begin(), this->limits.end(), [this](const auto& each) {
        const auto offered_in = [&](const rate_table& sums) {
            const auto sum = sums.find(each.first);
            return sum == sums.end() ? 0.0 : sum->second.offered;
        };
        return std::abs(offered_in(this->own_sums) - offered_in(this->told)) >
               told_difference * each.second.rate;
    });
}

std::optional<std::vector<customer_pressure>> demand_ledger::pressures(time_point now) const
{
    if (!this->settles_from || now - *this->settles_from < settling_time) {
        return std::nullopt;
    }
    std::vector<customer_pressure> out;
    for (const auto& [customer, each] : this->limits) {
        const auto sum = this->all_sums.find(customer);
        const double demand = sum == this->all_sums.end() ? 0.0 : sum->second.offered / each.rate;
        // A small customer's requests come by chance, and are few against what is borne.
        const double borne = borne_part_of_excess * this->terms.excess(each.rate, each.burst);
        const double debt = std::max(0.0, -each.balance - borne);
        const double usable = std::max(0.0, 1.0 - debt / (each.rate * seconds(repayment_time)));
        if (demand > min_told_demand || usable < 1) {
            out.push_back({customer, static_cast<float>(demand), static_cast<float>(usable)});
        }
    }
    return out;
}

bool differ_much(const std::vector<customer_pressure>& sent,
                 const std::vector<customer_pressure>& current)
{
    return std::any_of(current.begin(), current.end(), [&](const auto& each) {
        const auto before = std::find_if(sent.begin(), sent.end(), [&](const auto& other) {
            return other.customer == each.customer;
        });
        const customer_pressure untold{each.customer, min_told_demand};
        const auto& known = before == sent.end() ? untold : *before;
        return std::abs(each.demand - known.demand) > told_difference ||
               std::abs(each.usable - known.usable) > told_difference;
    });
}

} // namespace bth::dispatch
