#include "bth/steering/grant_ledger.h"

#include <algorithm>
#include <cmath>

namespace bth::steering {

namespace {

// Share by which the granter counts a lease longer than the holder, since the rates of their clocks
// may differ.
constexpr double clock_drift = 0.02;
// Minimum lease; a shorter grant isn't worth a message.
constexpr duration min_lease = std::chrono::milliseconds{100};
// Time for which the demand of a holder's latest request counts.
constexpr duration demand_lifetime = std::chrono::milliseconds{1500};
// Bursts in seconds of the rate: of own callers and of all starts together, and of a holder.
constexpr double burst_seconds = 0.02;
constexpr double grant_burst_seconds = 0.05;
// Minimum burst of a holder, in requests.
constexpr double min_grant_burst = 3.0;
// Share of the time for which a granted slot may be busy at the granted rate. A holder that sent
// more would find its slots busy, and its refused requests would also block lower classes.
constexpr double max_slot_utilization = 0.8;
// Lower bound of a service time, in seconds, so that the division by it is safe.
constexpr double min_service_seconds = 1e-6;
// Relative error of the measured rate of own callers; slots are kept free for them accordingly.
constexpr double measurement_error = 0.1;

duration with_drift(duration lease)
{
    return std::chrono::duration_cast<duration>(lease * (1.0 + clock_drift));
}

double burst_for(request_rate rate, double seconds)
{
    return std::max(1.0, rate.value() * seconds);
}

// Returns a burst above that of the holder's own bucket, so that network jitter causes no refusal.
double grant_burst_for(request_rate rate)
{
    return std::max(min_grant_burst, rate.value() * grant_burst_seconds);
}

// Sets `bucket` to pass at most `cap` requests in any second, its burst included.
void set_cap(token_bucket& bucket, request_rate cap, time_point now)
{
    const double burst = std::min(burst_for(cap, burst_seconds), std::max(1.0, cap.value() / 2));
    bucket.set(request_rate{std::max(cap.value() - burst, cap.value() / 2)}, burst, now);
}

void raise_to_maximum(granted_capacity& room, const granted_capacity& other)
{
    room.rate = std::max(room.rate, other.rate);
    room.in_flight = std::max(room.in_flight, other.in_flight);
    room.request_bytes = std::max(room.request_bytes, other.request_bytes);
    room.answer_bytes = std::max(room.answer_bytes, other.answer_bytes);
}

} // namespace

void grant_ledger::apply(std::shared_ptr<const config::model> next, domain_id in,
                         const model_map* change, time_point now)
{
    std::vector<service_row> previous = std::move(this->services);
    this->services.clear();
    this->services.resize(next->services.size());
    for (std::size_t index = 0; change != nullptr && index < previous.size(); ++index) {
        const auto id = change->find(service_id::from_index(index));
        if (!id) {
            continue;
        }
        service_row& row = this->services.at(id->index());
        row.own_in_flight = previous.at(index).own_in_flight;
        row.own_bucket = previous.at(index).own_bucket;
        row.total_bucket = previous.at(index).total_bucket;
        for (auto& [host, holder] : previous.at(index).holders) {
            const auto new_host = change->find(host);
            const auto source = change->find(holder.source);
            if (new_host && source) {
                holder.source = *source;
                for (outstanding_grant& each : holder.grants) {
                    each.room.service = *id;
                }
                row.holders[*new_host] = std::move(holder);
            }
        }
    }
    this->model = std::move(next);
    this->domain = in;
    this->domain_limits = limits{*this->model, in};
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        service_row& row = this->services.at(index);
        row.cap = this->domain_limits.part(service_id::from_index(index));
        set_cap(row.total_bucket, row.cap.rate, now);
    }
    this->tick(now);
}

granted_capacity grant_ledger::outstanding_capacity(const holder_row& row, time_point now)
{
    granted_capacity maximum;
    for (const outstanding_grant& each : row.grants) {
        if (now < each.expires_at) {
            raise_to_maximum(maximum, each.room);
        }
    }
    return maximum;
}

std::uint32_t grant_ledger::reserved_in_flight(const holder_row& row, time_point now)
{
    return std::max(outstanding_capacity(row, now).in_flight, row.in_flight);
}

std::uint32_t grant_ledger::granted_in_flight(const service_row& row, time_point now)
{
    std::uint32_t sum = 0;
    for (const auto& [host, holder] : row.holders) {
        sum += reserved_in_flight(holder, now);
    }
    return sum;
}

request_rate grant_ledger::granted_rate(const service_row& row, time_point now)
{
    request_rate sum;
    for (const auto& [host, holder] : row.holders) {
        sum += outstanding_capacity(holder, now).rate;
    }
    return sum;
}

link_capacity grant_ledger::granted_link_capacity(service_id service, region_id region,
                                                  std::optional<host_id> excluded,
                                                  time_point now) const
{
    link_capacity sum;
    for (const auto& [host, holder] : this->services.at(service.index()).holders) {
        if (host == excluded || this->model->at(holder.source).region != region) {
            continue;
        }
        const granted_capacity room = outstanding_capacity(holder, now);
        sum.request_bytes += room.request_bytes;
        sum.answer_bytes += room.answer_bytes;
    }
    return sum;
}

// Distributes slots and rate level by level, most urgent first: at each level first to own callers,
// then to all holders in proportion to their demand.
grant_ledger::fair_share grant_ledger::fair_share_of(const service_row& row, host_id holder,
                                                     const grant_context& context,
                                                     time_point now) const
{
    fair_share holder_share;
    double slots = std::min(row.cap.in_flight, context.usable_slots);
    double own_rate = 0.0;
    double own_slots = 0.0;
    std::size_t next_own = 0;
    const auto serve_own = [&](priority_level until) {
        while (next_own < context.own_demand.size() &&
               context.own_demand.at(next_own).level <= until) {
            own_rate += context.own_demand.at(next_own).rate.value() * (1.0 + measurement_error);
            ++next_own;
            const double needed = required_slots(request_rate{own_rate}, context.service_time);
            slots -= needed - own_slots;
            own_slots = needed;
        }
    };
    std::map<priority_level, fair_share> demand_by_level;
    for (const auto& [host, each] : row.holders) {
        if (now - each.requested_at > demand_lifetime) {
            continue;
        }
        for (const grant_demand& level : each.demand) {
            fair_share& sum = demand_by_level[level.level];
            sum.in_flight += level.in_flight;
            sum.rate += level.rate.value();
        }
    }
    double granted_rates = 0.0;
    for (const auto& [level, sum] : demand_by_level) {
        serve_own(level);
        const double free_slots = std::max(0.0, slots);
        const double free_rate = std::max(0.0, row.cap.rate.value() - own_rate - granted_rates);
        const double slot_share = sum.in_flight > free_slots ? free_slots / sum.in_flight : 1.0;
        const double rate_share = sum.rate > free_rate ? free_rate / sum.rate : 1.0;
        for (const grant_demand& each : row.holders.at(holder).demand) {
            if (each.level == level) {
                holder_share.in_flight += each.in_flight * slot_share;
                holder_share.rate += each.rate.value() * rate_share;
            }
        }
        slots -= sum.in_flight * slot_share;
        granted_rates += sum.rate * rate_share;
    }
    return holder_share;
}

// Returns the part of `rate` whose bytes still fit on the links to and from the holder's region.
request_rate grant_ledger::limit_by_links(service_id service, host_id holder, request_rate rate,
                                          time_point now) const
{
    const holder_row& row = this->services.at(service.index()).holders.at(holder);
    const region_id region = this->model->at(row.source).region;
    if (this->domain_limits.is_local(region)) {
        return rate;
    }
    const config::service& sizes = this->model->at(service);
    const link_capacity cap = this->domain_limits.link(service, region);
    const link_capacity used = this->granted_link_capacity(service, region, holder, now);
    const auto limited = [](request_rate unlimited, link_rate available, byte_count size) {
        const double bytes = std::max(0.0, available.value());
        return size == 0 ? unlimited
                         : std::min(unlimited, request_rate{bytes / static_cast<double>(size)});
    };
    rate = limited(rate, cap.request_bytes - used.request_bytes, sizes.request_bytes);
    return limited(rate, cap.answer_bytes - used.answer_bytes, sizes.answer_bytes);
}

granted_capacity grant_ledger::make_grant(service_id service, host_id holder,
                                          const grant_context& context, time_point now)
{
    service_row& row = this->services.at(service.index());
    const fair_share fair = this->fair_share_of(row, holder, context, now);
    std::uint32_t other_in_flight = row.own_in_flight + row.former_owner_in_flight;
    request_rate other_rates;
    for (const auto& [host, each] : row.holders) {
        if (host != holder) {
            other_in_flight += reserved_in_flight(each, now);
            other_rates += outstanding_capacity(each, now).rate;
        }
    }
    granted_capacity room;
    room.service = service;
    const std::uint32_t free_in_flight =
        row.cap.in_flight - std::min(row.cap.in_flight, other_in_flight);
    room.in_flight =
        std::min(free_in_flight, static_cast<std::uint32_t>(std::lround(fair.in_flight)));
    const double seconds = std::chrono::duration<double>(context.service_time).count();
    const request_rate slot_rate{max_slot_utilization * room.in_flight /
                                 std::max(seconds, min_service_seconds)};
    const request_rate free_rate = std::max(request_rate{}, row.cap.rate - other_rates);
    room.rate = this->limit_by_links(
        service, holder, std::min({free_rate, request_rate{fair.rate}, slot_rate}), now);
    if (room.in_flight == 0 || room.rate.value() < 1.0) {
        room.in_flight = 0;
        room.rate = {};
    }
    const config::service& sizes = this->model->at(service);
    if (!this->domain_limits.is_local(this->model->at(row.holders.at(holder).source).region)) {
        room.request_bytes =
            link_rate{room.rate.value() * static_cast<double>(sizes.request_bytes)};
        room.answer_bytes = link_rate{room.rate.value() * static_cast<double>(sizes.answer_bytes)};
    }
    return room;
}

capacity_grant grant_ledger::answer(host_id from, const grant_request& request,
                                    const std::vector<grant_context>& contexts, time_point now)
{
    capacity_grant reply;
    reply.granter = this->domain;
    reply.source = request.source;
    reply.incarnation_number = request.incarnation_number;
    reply.sequence = request.sequence;
    reply.lease = grant_lease;
    for (const grant_context& each : contexts) {
        const duration remaining_ownership = each.owned_until - std::max(now, time_point{});
        if (each.owned_until > now && remaining_ownership > min_lease) {
            const auto max_lease = remaining_ownership / (1.0 + clock_drift);
            reply.lease = std::min(reply.lease, std::chrono::duration_cast<duration>(max_lease));
        }
    }
    for (std::size_t index = 0; index < request.services.size(); ++index) {
        const service_demand& demand = request.services.at(index);
        const grant_context& context = contexts.at(index);
        if (demand.service.index() >= this->services.size()) {
            continue;
        }
        if (context.owned_until <= now + min_lease) {
            reply.owner_hints.push_back({demand.service, context.owner});
            continue;
        }
        holder_row& holder = this->services.at(demand.service.index()).holders[from];
        const bool is_outdated = request.incarnation_number < holder.incarnation_number ||
                                 (request.incarnation_number == holder.incarnation_number &&
                                  request.sequence <= holder.sequence);
        if (is_outdated) {
            continue;
        }
        if (request.incarnation_number != holder.incarnation_number) {
            // The previous incarnation can't use its grants any more.
            holder.grants.clear();
        }
        holder.source = request.source;
        holder.incarnation_number = request.incarnation_number;
        holder.sequence = request.sequence;
        holder.demand = demand.levels;
        holder.requested_at = now;
        const granted_capacity room = this->make_grant(demand.service, from, context, now);
        holder.grants.push_back({room, now + with_drift(reply.lease)});
        const granted_capacity outstanding = outstanding_capacity(holder, now);
        holder.bucket.set(outstanding.rate, grant_burst_for(outstanding.rate), now);
        reply.capacities.push_back(room);
    }
    this->tick(now);
    return reply;
}

bool grant_ledger::try_consume(service_id service, host_id holder, time_point now)
{
    auto& holders = this->services.at(service.index()).holders;
    const auto found = holders.find(holder);
    if (found == holders.end() || outstanding_capacity(found->second, now).in_flight == 0) {
        return false;
    }
    return found->second.bucket.try_take(now);
}

bool grant_ledger::has_free_capacity(const service_row& row, time_point now) const
{
    const std::uint32_t own = row.own_in_flight + row.former_owner_in_flight;
    return own + granted_in_flight(row, now) < row.cap.in_flight;
}

bool grant_ledger::can_start(service_id service, std::optional<host_id> holder,
                             time_point now) const
{
    const service_row& row = this->services.at(service.index());
    if (!row.total_bucket.has_token(now)) {
        return false;
    }
    if (!holder) {
        return this->has_free_capacity(row, now) && row.own_bucket.has_token(now);
    }
    const auto found = row.holders.find(*holder);
    if (found == row.holders.end()) {
        return false;
    }
    const bool within_grant =
        found->second.in_flight < outstanding_capacity(found->second, now).in_flight;
    return within_grant || this->has_free_capacity(row, now);
}

bool grant_ledger::try_start(service_id service, std::optional<host_id> holder, time_point now)
{
    if (!this->can_start(service, holder, now)) {
        return false;
    }
    service_row& row = this->services.at(service.index());
    row.total_bucket.try_take(now);
    if (holder) {
        ++row.holders.at(*holder).in_flight;
        return true;
    }
    row.own_bucket.try_take(now);
    ++row.own_in_flight;
    return true;
}

void grant_ledger::finish(service_id service, std::optional<host_id> holder)
{
    service_row& row = this->services.at(service.index());
    if (!holder) {
        row.own_in_flight -= std::min(row.own_in_flight, 1U);
        return;
    }
    const auto found = row.holders.find(*holder);
    if (found != row.holders.end()) {
        found->second.in_flight -= std::min(found->second.in_flight, 1U);
    }
}

void grant_ledger::set_own_rate(service_row& row, time_point now)
{
    row.own_rate = std::max(request_rate{}, row.cap.rate - granted_rate(row, now));
    row.own_bucket.set(row.own_rate, burst_for(row.own_rate, burst_seconds), now);
}

void grant_ledger::tick(time_point now)
{
    for (service_row& row : this->services) {
        for (auto& [host, holder] : row.holders) {
            std::erase_if(holder.grants,
                          [now](const outstanding_grant& each) { return now >= each.expires_at; });
        }
        std::erase_if(row.holders, [now](const auto& each) {
            const holder_row& holder = each.second;
            const bool demand_expired = now - holder.requested_at > demand_lifetime;
            return holder.grants.empty() && holder.in_flight == 0 && demand_expired;
        });
        this->set_own_rate(row, now);
    }
}

std::vector<handed_over_grant> grant_ledger::outstanding_grants(service_id service,
                                                                time_point now) const
{
    std::vector<handed_over_grant> grants;
    for (const auto& [host, holder] : this->services.at(service.index()).holders) {
        for (const outstanding_grant& each : holder.grants) {
            if (now < each.expires_at && each.room.in_flight > 0) {
                grants.push_back({holder.source, host, holder.incarnation_number, each.room,
                                  each.expires_at - now});
            }
        }
    }
    return grants;
}

void grant_ledger::import_grants(service_id service, const std::vector<handed_over_grant>& grants,
                                 time_point now)
{
    service_row& row = this->services.at(service.index());
    for (const handed_over_grant& each : grants) {
        holder_row& holder = row.holders[each.holder];
        holder.source = each.source;
        holder.incarnation_number = std::max(holder.incarnation_number, each.incarnation_number);
        holder.grants.push_back({each.capacity, now + with_drift(each.remaining)});
        const granted_capacity outstanding = outstanding_capacity(holder, now);
        holder.bucket.set(outstanding.rate, grant_burst_for(outstanding.rate), now);
    }
    this->set_own_rate(row, now);
}

void grant_ledger::set_former_owner_in_flight(service_id service, std::uint32_t count)
{
    this->services.at(service.index()).former_owner_in_flight = count;
}

void grant_ledger::clear_demand(service_id service)
{
    for (auto& [host, holder] : this->services.at(service.index()).holders) {
        holder.demand.clear();
    }
}

std::vector<ledger_usage> grant_ledger::usage(time_point now) const
{
    std::vector<ledger_usage> all;
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        const service_row& row = this->services.at(index);
        const auto service = service_id::from_index(index);
        ledger_usage each;
        each.service = service;
        each.cap = row.cap;
        each.own_rate = row.own_rate;
        each.own_in_flight = row.own_in_flight + row.former_owner_in_flight;
        each.granted_rate = granted_rate(row, now);
        each.granted_in_flight = granted_in_flight(row, now);
        for (std::size_t at = 0; at < this->model->regions.size(); ++at) {
            const auto region = region_id::from_index(at);
            const bool local = this->domain_limits.is_local(region);
            each.granted_link_capacity.push_back(
                local ? link_capacity{}
                      : this->granted_link_capacity(service, region, std::nullopt, now));
            each.link_cap.push_back(local ? link_capacity{}
                                          : this->domain_limits.link(service, region));
        }
        all.push_back(std::move(each));
    }
    return all;
}

} // namespace bth::steering
