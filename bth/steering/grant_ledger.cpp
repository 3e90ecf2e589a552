#include "bth/steering/grant_ledger.h"

#include <algorithm>
#include <cmath>

namespace bth::steering {

namespace {

// The granter's lease is longer than the holder's by this share, for clocks of different rates.
constexpr double drift = 0.02;
// Grants shorter than this aren't worth their message.
constexpr duration least_lease = std::chrono::milliseconds{100};
// What a holder asked for counts for so long.
constexpr duration demand_lifetime = std::chrono::milliseconds{1500};
// Bursts, as seconds of the rate.
constexpr double burst_seconds = 0.02;
constexpr double grant_burst_seconds = 0.05;
constexpr double least_grant_burst = 3.0;
// The share of its time that a granted slot may be busy: a holder that sends more would find it
// taken, and its refused requests would keep lower classes out as well.
constexpr double slot_use = 0.8;
constexpr double least_seconds = 1e-6;
// By how much the rate of own callers may be wrong.
constexpr double measurement_error = 0.1;

duration with_drift(duration lease)
{
    return std::chrono::duration_cast<duration>(lease * (1.0 + drift));
}

double burst_of(request_rate rate, double seconds)
{
    return std::max(1.0, rate.value() * seconds);
}

// Wider than the holder's own bucket, so that jitter on the way costs no request.
double grant_burst(request_rate rate)
{
    return std::max(least_grant_burst, rate.value() * grant_burst_seconds);
}

// A bucket that passes at most `cap` in any second, its burst included.
void bound(token_bucket& bucket, request_rate cap, time_point now)
{
    const double burst = std::min(burst_of(cap, burst_seconds), std::max(1.0, cap.value() / 2));
    bucket.set(request_rate{std::max(cap.value() - burst, cap.value() / 2)}, burst, now);
}

void widen(granted_capacity& room, const granted_capacity& other)
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
    std::vector<service_row> before = std::move(this->services);
    this->services.clear();
    this->services.resize(next->services.size());
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        const auto id = change->find(service_id::from_index(index));
        if (!id) {
            continue;
        }
        service_row& row = this->services.at(id->index());
        row.own_in_flight = before.at(index).own_in_flight;
        row.own = before.at(index).own;
        row.all = before.at(index).all;
        for (auto& [host, holder] : before.at(index).holders) {
            const auto new_host = change->find(host);
            const auto source = change->find(holder.source);
            if (new_host && source) {
                holder.source = *source;
                for (promise_row& each : holder.promises) {
                    each.room.service = *id;
                }
                row.holders[*new_host] = std::move(holder);
            }
        }
    }
    this->model = std::move(next);
    this->domain = in;
    this->parts = limits{*this->model, in};
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        service_row& row = this->services.at(index);
        row.cap = this->parts.part(service_id::from_index(index));
        bound(row.all, row.cap.rate, now);
    }
    this->tick(now);
}

granted_capacity grant_ledger::outstanding_room(const holder_row& row, time_point now)
{
    granted_capacity most;
    for (const promise_row& each : row.promises) {
        if (now < each.ends) {
            widen(most, each.room);
        }
    }
    return most;
}

std::uint32_t grant_ledger::held_in_flight(const holder_row& row, time_point now)
{
    return std::max(outstanding_room(row, now).in_flight, row.in_flight);
}

std::uint32_t grant_ledger::granted_in_flight(const service_row& row, time_point now)
{
    std::uint32_t sum = 0;
    for (const auto& [host, holder] : row.holders) {
        sum += held_in_flight(holder, now);
    }
    return sum;
}

request_rate grant_ledger::granted_rate(const service_row& row, time_point now)
{
    request_rate sum;
    for (const auto& [host, holder] : row.holders) {
        sum += outstanding_room(holder, now).rate;
    }
    return sum;
}

link_capacity grant_ledger::granted_bytes(service_id service, region_id region,
                                          std::optional<host_id> except, time_point now) const
{
    link_capacity sum;
    for (const auto& [host, holder] : this->services.at(service.index()).holders) {
        if (host == except || this->model->at(holder.source).region != region) {
            continue;
        }
        const granted_capacity room = outstanding_room(holder, now);
        sum.request_bytes += room.request_bytes;
        sum.answer_bytes += room.answer_bytes;
    }
    return sum;
}

// Levels in their order: own callers of a level first, then all holders of it by equal shares of
// what they ask.
grant_ledger::claim grant_ledger::fair_claim(const service_row& row, host_id holder,
                                             const granting_state& about, time_point now) const
{
    claim mine;
    double slots = std::min(row.cap.in_flight, about.usable_slots);
    double own_rate = 0.0;
    double own_slots = 0.0;
    std::size_t next_own = 0;
    const auto serve_own = [&](priority_level until) {
        while (next_own < about.own_demand.size() && about.own_demand.at(next_own).level <= until) {
            own_rate += about.own_demand.at(next_own).rate.value() * (1.0 + measurement_error);
            ++next_own;
            const double needed = slots_needed(request_rate{own_rate}, about.service_time);
            slots -= needed - own_slots;
            own_slots = needed;
        }
    };
    std::map<priority_level, claim> asked;
    for (const auto& [host, each] : row.holders) {
        if (now - each.asked > demand_lifetime) {
            continue;
        }
        for (const grant_demand& level : each.demand) {
            claim& sum = asked[level.level];
            sum.in_flight += level.in_flight;
            sum.rate += level.rate.value();
        }
    }
    double granted_rates = 0.0;
    for (const auto& [level, sum] : asked) {
        serve_own(level);
        const double free_slots = std::max(0.0, slots);
        const double free_rate = std::max(0.0, row.cap.rate.value() - own_rate - granted_rates);
        const double slot_share = sum.in_flight > free_slots ? free_slots / sum.in_flight : 1.0;
        const double rate_share = sum.rate > free_rate ? free_rate / sum.rate : 1.0;
        for (const grant_demand& each : row.holders.at(holder).demand) {
            if (each.level == level) {
                mine.in_flight += each.in_flight * slot_share;
                mine.rate += each.rate.value() * rate_share;
            }
        }
        slots -= sum.in_flight * slot_share;
        granted_rates += sum.rate * rate_share;
    }
    return mine;
}

// The most of `rate` whose bytes the links of the holder's region still carry.
request_rate grant_ledger::link_limited(service_id service, host_id holder, request_rate rate,
                                        time_point now) const
{
    const holder_row& row = this->services.at(service.index()).holders.at(holder);
    const region_id region = this->model->at(row.source).region;
    if (this->parts.is_local(region)) {
        return rate;
    }
    const config::service& about = this->model->at(service);
    const link_capacity cap = this->parts.link(service, region);
    const link_capacity used = this->granted_bytes(service, region, holder, now);
    const auto limited = [](request_rate most, link_rate left, byte_count size) {
        const double bytes = std::max(0.0, left.value());
        return size == 0 ? most : std::min(most, request_rate{bytes / static_cast<double>(size)});
    };
    rate = limited(rate, cap.request_bytes - used.request_bytes, about.request_bytes);
    return limited(rate, cap.answer_bytes - used.answer_bytes, about.answer_bytes);
}

granted_capacity grant_ledger::grant(service_id service, host_id holder,
                                     const granting_state& about, time_point now)
{
    service_row& row = this->services.at(service.index());
    const claim fair = this->fair_claim(row, holder, about, now);
    std::uint32_t others = row.own_in_flight + row.handed_in_flight;
    request_rate other_rates;
    for (const auto& [host, each] : row.holders) {
        if (host != holder) {
            others += held_in_flight(each, now);
            other_rates += outstanding_room(each, now).rate;
        }
    }
    granted_capacity room;
    room.service = service;
    const std::uint32_t left = row.cap.in_flight - std::min(row.cap.in_flight, others);
    room.in_flight = std::min(left, static_cast<std::uint32_t>(std::lround(fair.in_flight)));
    const double seconds = std::chrono::duration<double>(about.service_time).count();
    const request_rate slot_rate{slot_use * room.in_flight / std::max(seconds, least_seconds)};
    const request_rate rate_left = std::max(request_rate{}, row.cap.rate - other_rates);
    room.rate = this->link_limited(service, holder,
                                   std::min({rate_left, request_rate{fair.rate}, slot_rate}), now);
    if (room.in_flight == 0 || room.rate.value() < 1.0) {
        room.in_flight = 0;
        room.rate = {};
    }
    const config::service& sizes = this->model->at(service);
    if (!this->parts.is_local(this->model->at(row.holders.at(holder).source).region)) {
        room.request_bytes =
            link_rate{room.rate.value() * static_cast<double>(sizes.request_bytes)};
        room.answer_bytes = link_rate{room.rate.value() * static_cast<double>(sizes.answer_bytes)};
    }
    return room;
}

capacity_grant grant_ledger::answer(host_id from, const grant_request& request,
                                    const std::vector<granting_state>& about, time_point now)
{
    capacity_grant out;
    out.granter = this->domain;
    out.source = request.source;
    out.incarnation_number = request.incarnation_number;
    out.sequence = request.sequence;
    out.lease = grant_lease;
    for (const granting_state& each : about) {
        const duration owned = each.owned_until - std::max(now, time_point{});
        if (each.owned_until > now && owned > least_lease) {
            const auto bounded = owned / (1.0 + drift);
            out.lease = std::min(out.lease, std::chrono::duration_cast<duration>(bounded));
        }
    }
    for (std::size_t index = 0; index < request.services.size(); ++index) {
        const service_demand& asked = request.services.at(index);
        const granting_state& state = about.at(index);
        if (asked.service.index() >= this->services.size()) {
            continue;
        }
        if (state.owned_until <= now + least_lease) {
            out.owner_hints.push_back({asked.service, state.owner});
            continue;
        }
        holder_row& holder = this->services.at(asked.service.index()).holders[from];
        const bool older =
            request.incarnation_number < holder.life ||
            (request.incarnation_number == holder.life && request.sequence <= holder.sequence);
        if (older) {
            continue;
        }
        if (request.incarnation_number != holder.life) {
            // The earlier life can't use its grants any more.
            holder.promises.clear();
        }
        holder.source = request.source;
        holder.life = request.incarnation_number;
        holder.sequence = request.sequence;
        holder.demand = asked.levels;
        holder.asked = now;
        const granted_capacity room = this->grant(asked.service, from, state, now);
        holder.promises.push_back({room, now + with_drift(out.lease)});
        const granted_capacity most = outstanding_room(holder, now);
        holder.bucket.set(most.rate, grant_burst(most.rate), now);
        out.capacities.push_back(room);
    }
    this->tick(now);
    return out;
}

bool grant_ledger::draw(service_id service, host_id holder, time_point now)
{
    auto& holders = this->services.at(service.index()).holders;
    const auto found = holders.find(holder);
    if (found == holders.end() || outstanding_room(found->second, now).in_flight == 0) {
        return false;
    }
    return found->second.bucket.try_take(now);
}

bool grant_ledger::has_room(const service_row& row, time_point now) const
{
    const std::uint32_t own = row.own_in_flight + row.handed_in_flight;
    return own + granted_in_flight(row, now) < row.cap.in_flight;
}

bool grant_ledger::may_start(service_id service, std::optional<host_id> holder,
                             time_point now) const
{
    const service_row& row = this->services.at(service.index());
    if (!row.all.has_token(now)) {
        return false;
    }
    if (!holder) {
        return this->has_room(row, now) && row.own.has_token(now);
    }
    const auto found = row.holders.find(*holder);
    if (found == row.holders.end()) {
        return false;
    }
    const bool promised = found->second.in_flight < outstanding_room(found->second, now).in_flight;
    return promised || this->has_room(row, now);
}

bool grant_ledger::try_start(service_id service, std::optional<host_id> holder, time_point now)
{
    if (!this->may_start(service, holder, now)) {
        return false;
    }
    service_row& row = this->services.at(service.index());
    row.all.try_take(now);
    if (holder) {
        ++row.holders.at(*holder).in_flight;
        return true;
    }
    row.own.try_take(now);
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
    row.own.set(row.own_rate, burst_of(row.own_rate, burst_seconds), now);
}

void grant_ledger::tick(time_point now)
{
    for (service_row& row : this->services) {
        for (auto& [host, holder] : row.holders) {
            std::erase_if(holder.promises,
                          [now](const promise_row& each) { return now >= each.ends; });
        }
        std::erase_if(row.holders, [now](const auto& each) {
            const holder_row& holder = each.second;
            const bool forgotten = now - holder.asked > demand_lifetime;
            return holder.promises.empty() && holder.in_flight == 0 && forgotten;
        });
        this->set_own_rate(row, now);
    }
}

std::vector<handed_over_grant> grant_ledger::outstanding(service_id service, time_point now) const
{
    std::vector<handed_over_grant> all;
    for (const auto& [host, holder] : this->services.at(service.index()).holders) {
        for (const promise_row& each : holder.promises) {
            if (now < each.ends && each.room.in_flight > 0) {
                all.push_back({holder.source, host, holder.life, each.room, each.ends - now});
            }
        }
    }
    return all;
}

void grant_ledger::take_over(service_id service, const std::vector<handed_over_grant>& grants,
                             time_point now)
{
    service_row& row = this->services.at(service.index());
    for (const handed_over_grant& each : grants) {
        holder_row& holder = row.holders[each.holder];
        holder.source = each.source;
        holder.life = std::max(holder.life, each.incarnation_number);
        holder.promises.push_back({each.capacity, now + with_drift(each.remaining)});
        const granted_capacity most = outstanding_room(holder, now);
        holder.bucket.set(most.rate, grant_burst(most.rate), now);
    }
    this->set_own_rate(row, now);
}

void grant_ledger::set_handed(service_id service, std::uint32_t count)
{
    this->services.at(service.index()).handed_in_flight = count;
}

void grant_ledger::release(service_id service)
{
    for (auto& [host, holder] : this->services.at(service.index()).holders) {
        holder.demand.clear();
    }
}

std::vector<ledger_use> grant_ledger::use(time_point now) const
{
    std::vector<ledger_use> all;
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        const service_row& row = this->services.at(index);
        const auto service = service_id::from_index(index);
        ledger_use each;
        each.service = service;
        each.cap = row.cap;
        each.own_rate = row.own_rate;
        each.own_in_flight = row.own_in_flight + row.handed_in_flight;
        each.granted_rate = granted_rate(row, now);
        each.granted_in_flight = granted_in_flight(row, now);
        for (std::size_t at = 0; at < this->model->regions.size(); ++at) {
            const auto region = region_id::from_index(at);
            const bool local = this->parts.is_local(region);
            each.granted_bytes.push_back(
                local ? link_capacity{} : this->granted_bytes(service, region, std::nullopt, now));
            each.link_cap.push_back(local ? link_capacity{} : this->parts.link(service, region));
        }
        all.push_back(std::move(each));
    }
    return all;
}

} // namespace bth::steering
