#include "bth/bench/audit.h"

#include <algorithm>
#include <numeric>

namespace bth::bench {

namespace {

// Rounding of sums of rates.
constexpr double tolerance = 1.0 + 1e-6;
constexpr double buckets_per_second = 10.0;

bool is_lack_of_room(refusal_reason reason)
{
    return reason == refusal_reason::domain_full || reason == refusal_reason::queue_full ||
           reason == refusal_reason::priority || reason == refusal_reason::no_target;
}

} // namespace

std::string_view to_string(rule which)
{
    static constexpr std::array<std::string_view, rule_count> names{
        "in_flight_cap", "rate_cap", "link_cap", "grants",     "slots",      "shift_cap",
        "priority",      "one_run",  "truthful", "one_answer", "own_answer", "leaving"};
    return names.at(static_cast<std::size_t>(which));
}

double audit::second_window::sum() const
{
    return std::accumulate(this->buckets.begin(), this->buckets.end(), 0.0);
}

audit::audit(const config::model& given)
    : model{given}, domains(given.domains.size()), links(given.links.size())
{
    for (const config::service& each : given.services) {
        const double seconds = std::chrono::duration<double>(each.shift.window).count();
        this->shifts.emplace_back(given.domains.size(),
                                  static_cast<std::size_t>(seconds * buckets_per_second));
    }
}

void audit::broken(rule which, time_point now, std::string_view what)
{
    breach& row = this->breaches.at(static_cast<std::size_t>(which));
    if (row.count++ == 0) {
        row.first_at = now;
        row.first = what;
    }
}

bool audit::clean() const
{
    return std::all_of(this->breaches.begin(), this->breaches.end(),
                       [](const breach& each) { return each.count == 0; });
}

void audit::started(domain_id domain, service_id service, domain_id home)
{
    this->domains.at(domain.index()).starts.buckets.at(this->bucket % 10) += 1.0;
    this->shifts.at(service.index()).served(home, domain);
}

double audit::region_in_flight(region_id region) const
{
    double sum = 0;
    for (std::size_t index = 0; index < this->domains.size(); ++index) {
        if (this->model.domains.at(index).region == region) {
            sum += this->domains.at(index).in_flight;
        }
    }
    return sum;
}

void audit::in_flight(domain_id domain, int change, bool own, time_point now)
{
    domain_row& row = this->domains.at(domain.index());
    row.in_flight += change;
    row.own_in_flight += own ? change : 0;
    if (change > 0) {
        this->check_in_flight(domain, now);
        this->check_grants(domain, now);
    }
}

void audit::check_in_flight(domain_id domain, time_point now)
{
    const config::failure_domain& row = this->model.at(domain);
    const config::region& region = this->model.at(row.region);
    const double in_domain =
        this->domains.at(domain.index()).in_flight / static_cast<double>(row.cap.in_flight);
    const double in_region =
        this->region_in_flight(row.region) / static_cast<double>(region.cap.in_flight);
    this->most.domain = std::max(this->most.domain, in_domain);
    this->most.region = std::max(this->most.region, in_region);
    if (in_domain > tolerance || in_region > tolerance) {
        this->broken(rule::in_flight_cap, now, row.name);
    }
}

void audit::check_grants(domain_id domain, time_point now)
{
    double in_flight = this->domains.at(domain.index()).own_in_flight;
    double rate = 0;
    bool any = false;
    for (const auto& [key, row] : this->grants) {
        if (row.granter == domain && row.ends > now) {
            in_flight += row.room.in_flight;
            rate += row.room.rate.value();
            any = any || row.room.in_flight > 0;
        }
    }
    const config::capacity& cap = this->model.at(domain).cap;
    if (any && (in_flight > cap.in_flight || rate > cap.rate.value() * tolerance)) {
        this->broken(rule::grants, now, this->model.at(domain).name);
    }
}

void audit::check_grant_links(time_point now)
{
    std::vector<double> promised(this->model.links.size());
    for (const auto& [key, row] : this->grants) {
        const region_id source = this->model.at(row.source).region;
        const region_id granter = this->model.at(row.granter).region;
        if (row.ends <= now || source == granter) {
            continue;
        }
        promised.at(config::find_link(this->model, source, granter)->index()) +=
            row.room.request_bytes.value();
        promised.at(config::find_link(this->model, granter, source)->index()) +=
            row.room.answer_bytes.value();
    }
    for (std::size_t index = 0; index < promised.size(); ++index) {
        if (promised.at(index) > this->model.links.at(index).cap.value() * tolerance) {
            this->broken(rule::grants, now, "link");
        }
    }
}

void audit::grant(host_id from, host_id to, const steering::capacity_grant& grant, time_point now)
{
    for (const steering::granted_capacity& room : grant.capacities) {
        this->grants[{from, room.service, to}] = {grant.granter, grant.source, room,
                                                  now + grant.lease};
    }
    this->check_grants(grant.granter, now);
    this->check_grant_links(now);
}

void audit::handed_over(host_id from, host_id to, service_id service)
{
    for (auto each = this->grants.begin(); each != this->grants.end();) {
        const auto [granter, kind, holder] = each->first;
        if (granter != from || kind != service) {
            ++each;
            continue;
        }
        this->grants[{to, service, holder}] = each->second;
        each = this->grants.erase(each);
    }
}

void audit::link_bytes(region_id from, region_id to, byte_count bytes)
{
    const auto link = config::find_link(this->model, from, to);
    this->links.at(link->index()).bytes.buckets.at(this->bucket % 10) += static_cast<double>(bytes);
}

void audit::refused(host_id host, service_id service, priority_level level, refusal_reason reason,
                    time_point now)
{
    if (is_lack_of_room(reason)) {
        this->refusals[{host, service, level}] = now;
    }
}

// A request that waited while a higher class was refused for lack of room should have made way.
void audit::admitted(host_id host, service_id service, priority_level level,
                     time_point waiting_since, time_point now)
{
    for (priority_level higher{0}; higher < level;
         higher = priority_level{static_cast<std::uint8_t>(higher.value() + 1)}) {
        const auto found = this->refusals.find({host, service, higher});
        if (found != this->refusals.end() && found->second > waiting_since &&
            found->second <= now) {
            this->broken(rule::priority, now, this->model.at(host).name);
            return;
        }
    }
}

bool audit::sample_capacity(time_point now)
{
    bool over = false;
    std::vector<double> by_region(this->model.regions.size());
    for (std::size_t index = 0; index < this->domains.size(); ++index) {
        const config::failure_domain& row = this->model.domains.at(index);
        const domain_row& seen = this->domains.at(index);
        const double rate = seen.starts.sum() / row.cap.rate.value();
        by_region.at(row.region.index()) += seen.starts.sum();
        this->most.domain = std::max(this->most.domain, rate);
        over = over || rate > tolerance || seen.in_flight > static_cast<int>(row.cap.in_flight);
        if (rate > tolerance) {
            this->broken(rule::rate_cap, now, row.name);
        }
    }
    for (std::size_t index = 0; index < by_region.size(); ++index) {
        const config::region& row = this->model.regions.at(index);
        const double rate = by_region.at(index) / row.cap.rate.value();
        this->most.region = std::max(this->most.region, rate);
        over = over || rate > tolerance;
        if (rate > tolerance) {
            this->broken(rule::rate_cap, now, row.name);
        }
    }
    return over;
}

bool audit::sample_links(time_point now)
{
    bool over = false;
    for (std::size_t index = 0; index < this->links.size(); ++index) {
        const config::link& row = this->model.links.at(index);
        const double part = this->links.at(index).bytes.sum() / row.cap.value();
        this->most.link = std::max(this->most.link, part);
        if (part > tolerance) {
            over = true;
            this->broken(rule::link_cap, now,
                         this->model.at(row.from).name + " to " + this->model.at(row.to).name);
        }
    }
    return over;
}

void audit::sample_shift(time_point now)
{
    for (std::size_t index = 0; index < this->shifts.size(); ++index) {
        const config::service& service = this->model.services.at(index);
        const double used = this->shifts.at(index).sample() / service.shift.part;
        this->most.shift = std::max(this->most.shift, used);
        if (used > tolerance) {
            this->broken(rule::shift_cap, now, service.name);
        }
    }
}

void audit::sample(time_point now)
{
    const bool over_capacity = this->sample_capacity(now);
    const bool over_links = this->sample_links(now);
    this->most.over_cap_samples += over_capacity || over_links ? 1 : 0;
    this->sample_shift(now);
    ++this->bucket;
    for (domain_row& each : this->domains) {
        each.starts.buckets.at(this->bucket % 10) = 0;
    }
    for (link_row& each : this->links) {
        each.bytes.buckets.at(this->bucket % 10) = 0;
    }
}

} // namespace bth::bench
