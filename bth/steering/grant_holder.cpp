#include "bth/steering/grant_holder.h"

#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

// Interval at which a grant is renewed; short enough that two requests may get lost within its
// lease.
constexpr duration renewal_interval = std::chrono::milliseconds{400};
// Time without an answer after which another host of the granter's domain is asked.
constexpr duration answer_timeout = std::chrono::milliseconds{900};
// Minimum time between requests to a domain in which no candidate answers.
constexpr duration unresponsive_renewal_interval = std::chrono::milliseconds{1600};
// Network round-trip time within one region.
constexpr duration intra_region_round_trip = std::chrono::milliseconds{2};
// Burst of a grant's token bucket, in seconds of its rate.
constexpr double burst_seconds = 0.02;
// Requests to one host whose send times are remembered for their answers.
constexpr std::size_t max_sent_requests_kept = 16;

std::uint32_t total_slots(const std::vector<grant_demand>& levels)
{
    std::uint32_t sum = 0;
    for (const grant_demand& each : levels) {
        sum += each.in_flight;
    }
    return sum;
}

// Subtracts granted capacity from a demand, most urgent level first.
void subtract_granted(std::vector<grant_demand>& levels, const granted_capacity& room)
{
    std::uint32_t slots = room.in_flight;
    for (grant_demand& each : levels) {
        const std::uint32_t covered = std::min(slots, each.in_flight);
        const double open_share = 1.0 - static_cast<double>(covered) / std::max(1U, each.in_flight);
        slots -= covered;
        each.in_flight -= covered;
        each.rate = each.rate * open_share;
    }
    std::erase_if(levels, [](const grant_demand& each) { return each.in_flight == 0; });
}

// Returns a demand for one slot of the least urgent level.
std::vector<grant_demand> one_slot(const std::vector<grant_demand>& levels)
{
    const grant_demand& least = levels.back();
    return {{least.level, least.rate / std::max(1U, least.in_flight), 1}};
}

} // namespace

host_id grant_holder::asked_host(const grant_row& row)
{
    return row.candidates.at(row.candidate_index % row.candidates.size());
}

std::vector<grant_holder::grant_row> grant_holder::make_rows(const config::model& in, domain_id own,
                                                             service_id service) const
{
    std::vector<grant_row> rows;
    const region_id here = in.at(own).region;
    for (const domain_id granter : in.at(own).fallbacks) {
        grant_row row;
        row.granter = granter;
        row.candidates = owner_candidates(in, granter, service);
        const auto link = config::find_link(in, here, in.at(granter).region);
        row.round_trip = link ? 2 * duration{in.at(*link).delay} : intra_region_round_trip;
        if (!row.candidates.empty()) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

void grant_holder::apply(std::shared_ptr<const config::model> next, domain_id in,
                         const model_map* change, time_point now)
{
    (void)now;
    const auto previous_services = std::exchange(this->services, {});
    const auto previous_granter_hosts = std::exchange(this->granter_hosts, {});
    for (std::size_t index = 0; index < next->services.size(); ++index) {
        this->services.push_back(this->make_rows(*next, in, service_id::from_index(index)));
    }
    for (const auto& [host, granter] : previous_granter_hosts) {
        if (const auto id = change != nullptr ? change->find(host) : std::nullopt) {
            this->granter_hosts[*id] = granter;
        }
    }
    for (std::size_t index = 0; change != nullptr && index < previous_services.size(); ++index) {
        const auto service = change->find(service_id::from_index(index));
        for (const grant_row& previous : previous_services.at(index)) {
            const auto granter = change->find(previous.granter);
            const auto host = change->find(asked_host(previous));
            const auto granting_host = change->find(previous.granting_host);
            if (!service || !granter || !host || !granting_host) {
                continue;
            }
            for (grant_row& row : this->services.at(service->index())) {
                const auto found = std::find(row.candidates.begin(), row.candidates.end(), *host);
                if (row.granter != *granter || found == row.candidates.end()) {
                    continue;
                }
                row.candidate_index = static_cast<std::size_t>(found - row.candidates.begin());
                row.granting_host = *granting_host;
                row.room = previous.room;
                row.room.service = *service;
                row.expires_at = previous.expires_at;
                row.sequence = previous.sequence;
                row.in_flight = previous.in_flight;
                row.bucket = previous.bucket;
            }
        }
    }
    this->model = std::move(next);
    this->domain = in;
}

// Requests the whole demand from the nearest granter, and from each further one what the nearer
// ones haven't granted, but at least one slot, so that a grant is available when a nearer granter
// fails.
void grant_holder::plan_requests(const service_demand& demand, time_point now,
                                 std::map<host_id, std::vector<service_demand>>& plans)
{
    std::vector<grant_demand> ungranted = demand.levels;
    for (grant_row& row : this->services.at(demand.service.index())) {
        row.requested = ungranted.empty() ? one_slot(demand.levels) : ungranted;
        plans[asked_host(row)].push_back({demand.service, row.requested});
        if (now < row.expires_at) {
            subtract_granted(ungranted, row.room);
        }
    }
}

bool grant_holder::is_due(host_id host, const std::vector<service_demand>& plan,
                          time_point now) const
{
    const auto found = this->granter_hosts.find(host);
    if (found == this->granter_hosts.end()) {
        return true;
    }
    const granter_host& granter = found->second;
    const duration since_last = now - granter.last_sent;
    if (granter.rotations > max_owner_candidates) {
        return since_last >= unresponsive_renewal_interval;
    }
    if (since_last >= renewal_interval) {
        return true;
    }
    // A demand above twice the grant, or without a valid grant, doesn't wait for the renewal.
    return std::any_of(plan.begin(), plan.end(), [&](const service_demand& each) {
        const auto& rows = this->services.at(each.service.index());
        return std::any_of(rows.begin(), rows.end(), [&](const grant_row& row) {
            const bool unexpired = now < row.expires_at;
            return asked_host(row) == host && !granter.unanswered_since &&
                   total_slots(each.levels) >
                       (unexpired ? 2 * std::max(1U, row.room.in_flight) : 0) &&
                   since_last >= renewal_interval / 4;
        });
    });
}

void grant_holder::rotate_unresponsive(time_point now)
{
    for (auto& [host, granter] : this->granter_hosts) {
        if (!granter.unanswered_since || now - *granter.unanswered_since < answer_timeout) {
            continue;
        }
        granter.unanswered_since.reset();
        ++granter.rotations;
        for (auto& rows : this->services) {
            for (grant_row& row : rows) {
                if (asked_host(row) == host && now >= row.expires_at) {
                    ++row.candidate_index;
                }
            }
        }
    }
}

grant_holder::outgoing grant_holder::tick(const std::vector<service_demand>& demands,
                                          time_point now)
{
    outgoing out;
    this->rotate_unresponsive(now);
    std::map<host_id, std::vector<service_demand>> plans;
    for (const service_demand& each : demands) {
        if (!each.levels.empty()) {
            this->plan_requests(each, now, plans);
        }
    }
    for (auto& [host, plan] : plans) {
        if (!this->is_due(host, plan, now)) {
            continue;
        }
        granter_host& granter = this->granter_hosts[host];
        grant_request request;
        request.source = this->domain;
        request.incarnation_number = this->incarnation_number;
        request.sequence = ++this->sequence;
        request.services = std::move(plan);
        granter.sent_requests.push_back({request.sequence, now});
        if (granter.sent_requests.size() > max_sent_requests_kept) {
            granter.sent_requests.pop_front();
        }
        granter.last_sent = now;
        granter.unanswered_since = granter.unanswered_since.value_or(now);
        out.push_back({host, std::move(request)});
    }
    return out;
}

void grant_holder::apply_owner_hint(const owner_hint& hint, host_id from)
{
    if (hint.service.index() >= this->services.size()) {
        return;
    }
    for (grant_row& row : this->services.at(hint.service.index())) {
        if (asked_host(row) != from) {
            continue;
        }
        const auto found =
            hint.owner ? std::find(row.candidates.begin(), row.candidates.end(), *hint.owner)
                       : row.candidates.end();
        const bool is_other_candidate = found != row.candidates.end() && *hint.owner != from;
        if (is_other_candidate) {
            // The grants of `from` were handed over to the new owner, or they have expired.
            row.granting_host = *hint.owner;
        }
        row.candidate_index = is_other_candidate
                                  ? static_cast<std::size_t>(found - row.candidates.begin())
                                  : row.candidate_index + 1;
    }
}

void grant_holder::receive(host_id from, const capacity_grant& grant, time_point now)
{
    const auto granter = this->granter_hosts.find(from);
    if (grant.incarnation_number != this->incarnation_number ||
        granter == this->granter_hosts.end()) {
        return;
    }
    auto& sent_requests = granter->second.sent_requests;
    const auto answered =
        std::find_if(sent_requests.begin(), sent_requests.end(),
                     [&](const sent_request& each) { return each.sequence == grant.sequence; });
    if (answered == sent_requests.end()) {
        return;
    }
    const time_point sent_at = answered->time;
    granter->second.unanswered_since.reset();
    granter->second.rotations = 0;
    for (const owner_hint& each : grant.owner_hints) {
        this->apply_owner_hint(each, from);
    }
    for (const granted_capacity& room : grant.capacities) {
        if (room.service.index() >= this->services.size()) {
            continue;
        }
        for (grant_row& row : this->services.at(room.service.index())) {
            if (row.granter != grant.granter || asked_host(row) != from ||
                grant.sequence < row.sequence) {
                continue;
            }
            row.sequence = grant.sequence;
            row.granting_host = from;
            row.room = room;
            row.expires_at = sent_at + grant.lease;
            row.bucket.set(room.rate, std::max(1.0, room.rate.value() * burst_seconds), now);
        }
    }
}

void grant_holder::peer_lost(host_id peer)
{
    this->granter_hosts.erase(peer);
    for (auto& rows : this->services) {
        for (grant_row& row : rows) {
            if (row.granting_host == peer) {
                row.expires_at = time_point{};
            }
            if (asked_host(row) == peer) {
                ++row.candidate_index;
            }
        }
    }
}

std::optional<host_id>
grant_holder::try_acquire(service_id service, const std::function<bool(domain_id, host_id)>& usable,
                          time_point now)
{
    for (grant_row& row : this->services.at(service.index())) {
        // Requests and answers in transit hold no slot at the granter.
        const double in_transit =
            row.room.rate.value() * std::chrono::duration<double>(row.round_trip).count();
        const double max_in_flight = row.room.in_flight + in_transit;
        const bool unexpired = now < row.expires_at && row.room.in_flight > 0;
        if (unexpired && row.in_flight < max_in_flight && usable(row.granter, row.granting_host) &&
            row.bucket.try_take(now)) {
            ++row.in_flight;
            return row.granting_host;
        }
    }
    return std::nullopt;
}

void grant_holder::finish(service_id service, host_id host)
{
    if (service.index() >= this->services.size() || host.index() >= this->model->hosts.size()) {
        return;
    }
    for (grant_row& row : this->services.at(service.index())) {
        if (row.granter == this->model->at(host).domain) {
            row.in_flight -= std::min(row.in_flight, 1U);
        }
    }
}

std::vector<held_grant> grant_holder::held(time_point now) const
{
    std::vector<held_grant> grants;
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        for (const grant_row& row : this->services.at(index)) {
            if (now < row.expires_at && row.room.in_flight > 0) {
                grants.push_back({service_id::from_index(index), row.granter, row.granting_host,
                                  row.room, row.in_flight, row.expires_at});
            }
        }
    }
    return grants;
}

} // namespace bth::steering
