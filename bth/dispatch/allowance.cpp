#include "bth/dispatch/allowance.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace bth::dispatch {

namespace {

// The part of an allowance that is handed out evenly, so that a host without recent demand has a
// token: this part of what isn't demanded, within the bounds.
constexpr double even_part_of_spare = 0.5;
constexpr double min_even_part = 0.05;
constexpr double max_even_part = 0.5;
// The part of what a window may exceed the limit by that is handed out as tokens. The rest is for
// what the control hosts learn late.
constexpr double used_part_of_excess = 0.5;
// A bucket holds at least the tokens of this time.
constexpr double bucket_seconds = 1.0;
// And at least a few, fewer on more hosts: a caller of a small customer who sends twice shouldn't
// be refused.
constexpr double min_bucket_tokens = 1.0;
constexpr double usual_bucket_tokens = 3.0;
// What all hosts hold may be spent before the control hosts learn of it. So they hold this multiple
// of the burst and the excess together, and so many of them hold a token without recent demand; a
// jump of demand doesn't reach all of them at once.
constexpr double held_multiple = 2.75;
constexpr double idle_holder_multiple = 5.5;
// The multiple of its limit to which a customer's demand may jump, and the time until the hosts
// hear of it, by a report, a relay and an update that are sent early. What is admitted meanwhile is
// borne for customers that are small enough, and all hosts may hold tokens of them.
constexpr double jump_in_limits = 6.0;
constexpr std::chrono::milliseconds feedback_time{1000};
// Rates below this are reported as none: a request in two and a half minutes.
constexpr double min_reported_rate = 0.007;
// Bounds the time after which a caller should come back.
constexpr double min_refill_rate = 1e-3;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double allowance_terms::excess(double rate, double burst) const
{
    return this->overshoot * (rate * seconds(this->window) + burst) + this->slack;
}

customer_key make_customer_key(std::string_view name)
{
    return customer_key{XXH64(name.data(), name.size(), 0)};
}

double decaying_rate::value(time_point now) const
{
    return this->rate * std::exp(-seconds(std::max<duration>(now - this->at, {})) /
                                 seconds(this->time_constant));
}

void decaying_rate::count(time_point now, double events)
{
    this->rate = std::max(0.0, this->value(now) + events / seconds(this->time_constant));
    this->at = now;
}

void allowance_table::set_limits(const std::vector<customer_limit>& limits)
{
    std::map<customer_key, row> next;
    for (const auto& each : limits) {
        const auto known = this->rows.find(each.customer);
        auto& entry = next[each.customer];
        if (known != this->rows.end()) {
            entry = std::move(known->second);
        }
        entry.rate = each.rate;
        entry.burst = each.burst;
    }
    this->rows = std::move(next);
}

double allowance_table::known_offered(time_point now, const row& entry) const
{
    if (!this->last_sums || now - *this->last_sums > sums_validity) {
        return entry.offered_in_demand;
    }
    const auto known =
        std::find_if(entry.reported.rbegin(), entry.reported.rend(),
                     [now](const auto& each) { return now - each.at >= settling_time; });
    return known == entry.reported.rend() ? 0.0 : known->offered;
}

double allowance_table::least_offered(time_point now, const row& entry)
{
    if (entry.reported.empty() || now - entry.reported.front().at < late_settling_time) {
        return 0;
    }
    return std::min_element(entry.reported.begin(), entry.reported.end(),
                            [](const auto& a, const auto& b) { return a.offered < b.offered; })
        ->offered;
}

std::uint32_t allowance_table::idle_holders(const row& entry) const
{
    const double borne = entry.burst + this->terms.excess(entry.rate, entry.burst);
    const bool is_jump_borne = jump_in_limits * entry.rate * seconds(feedback_time) <= borne;
    const double held = is_jump_borne ? this->host_count : idle_holder_multiple * borne;
    return static_cast<std::uint32_t>(std::clamp(held, 1.0, static_cast<double>(this->host_count)));
}

bool allowance_table::is_idle_holder(customer_key customer, const row& entry) const
{
    return (customer.value() + this->rank) % this->host_count < this->idle_holders(entry);
}

double allowance_table::refill_rate(time_point now, customer_key customer, const row& entry) const
{
    const double even_rate = this->is_idle_holder(customer, entry)
                                 ? entry.rate / static_cast<double>(this->idle_holders(entry))
                                 : 0.0;
    const bool was_heard = this->last_contact.has_value();
    if (was_heard && now - *this->last_contact > isolated_validity) {
        return even_rate * min_even_part;
    }
    const double demand = std::max(entry.demand, min_told_demand);
    const double even_part =
        std::clamp((1.0 - demand) * even_part_of_spare, min_even_part, max_even_part);
    const double offered = this->known_offered(now, entry);
    if (was_heard && !this->is_in_contact(now)) {
        // The control hosts count on what this host reported, and hand out the rest to others.
        return entry.usable * std::min(offered / std::max<double>(entry.demand, 1.0), entry.rate);
    }
    const double own_part = std::min(1.0, offered / (entry.rate * demand));
    return entry.usable * (entry.rate * (1.0 - even_part) * own_part + even_rate * even_part);
}

double allowance_table::depth(const row& entry, double refill) const
{
    const double excess = this->terms.excess(entry.rate, entry.burst);
    const double hosts = this->host_count;
    const double part = (entry.burst + used_part_of_excess * excess) / hosts;
    const double least = std::clamp(held_multiple * (entry.burst + excess) / hosts,
                                    min_bucket_tokens, usual_bucket_tokens);
    return entry.usable * std::max({least, part, refill * bucket_seconds});
}

double allowance_table::refill(time_point now, customer_key customer, row& entry) const
{
    const double rate = this->refill_rate(now, customer, entry);
    const bool is_holder = this->is_idle_holder(customer, entry);
    const double gained = entry.refilled_at
                              ? rate * seconds(std::max<duration>(now - *entry.refilled_at, {}))
                              : (is_holder ? this->depth(entry, rate) : 0.0);
    if (!is_holder && entry.offered.value(now) < min_reported_rate) {
        entry.tokens = 0;
    }
    entry.tokens = std::min(this->depth(entry, rate), entry.tokens + gained);
    entry.refilled_at = now;
    return rate;
}

std::optional<allowance_table::refusal> allowance_table::admit(time_point now,
                                                               customer_key customer)
{
    const auto found = this->rows.find(customer);
    if (found == this->rows.end()) {
        return std::nullopt;
    }
    auto& entry = found->second;
    entry.offered.count(now);
    const double refill_rate = this->refill(now, customer, entry);
    if (entry.tokens >= 1) {
        entry.tokens -= 1;
        entry.admitted.count(now);
        return std::nullopt;
    }
    const std::chrono::duration<double> wait{(1.0 - entry.tokens) /
                                             std::max(refill_rate, min_refill_rate)};
    return refusal{std::chrono::duration_cast<duration>(wait),
                   entry.demand < 1.0F && entry.usable >= 1.0F, entry.demand, refill_rate};
}

void allowance_table::refund(time_point now, customer_key customer)
{
    const auto found = this->rows.find(customer);
    if (found != this->rows.end()) {
        // The next admission limits the tokens to what the bucket holds.
        found->second.tokens += 1;
        found->second.admitted.count(now, -1);
    }
}

std::vector<customer_usage> allowance_table::usage(time_point now)
{
    std::vector<customer_usage> out;
    const bool reaches_control_hosts = this->is_in_contact(now);
    for (auto& [customer, entry] : this->rows) {
        // The rate at which the bucket is refilled decays with the demand.
        this->refill(now, customer, entry);
        const double offered = entry.offered.value(now);
        if (offered < min_reported_rate) {
            entry.reported.clear();
            entry.offered_in_demand = 0;
            continue;
        }
        out.push_back(
            {customer, static_cast<float>(offered), static_cast<float>(entry.admitted.value(now))});
        // A host out of contact goes on with what the control hosts may know of it.
        if (reaches_control_hosts) {
            entry.reported.push_back({now, offered});
            while (entry.reported.size() > 1 && now - entry.reported[1].at >= late_settling_time) {
                entry.reported.pop_front();
            }
        }
    }
    return out;
}

void allowance_table::apply(time_point now,
                            const std::optional<std::vector<customer_pressure>>& pressures)
{
    this->last_contact = now;
    if (!pressures) {
        return;
    }
    this->last_sums = now;
    for (auto& [customer, entry] : this->rows) {
        entry.offered_in_demand = least_offered(now, entry);
        entry.demand = min_told_demand;
        entry.usable = 1;
    }
    for (const auto& each : *pressures) {
        const auto found = this->rows.find(each.customer);
        if (found != this->rows.end() && each.demand >= 0 && each.usable >= 0) {
            found->second.demand = each.demand;
            found->second.usable = std::min(each.usable, 1.0F);
        }
    }
}

} // namespace bth::dispatch
