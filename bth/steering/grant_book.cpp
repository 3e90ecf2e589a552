#include "bth/steering/grant_book.h"

#include "bth/steering/ownership.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

// A live grant is asked for again after so long, so that two requests may get lost in its lease.
constexpr duration renewal = std::chrono::milliseconds{400};
// A granter that stays silent so long is asked through another host of its domain.
constexpr duration answer_timeout = std::chrono::milliseconds{900};
// Silent domains are asked no more often than this.
constexpr duration slow_renewal = std::chrono::milliseconds{1600};
// The way there and back within one region.
constexpr duration round_trip_within_region = std::chrono::milliseconds{2};
constexpr double burst_seconds = 0.02;
constexpr std::size_t most_sent_kept = 16;

std::uint32_t slots_of(const std::vector<grant_demand>& levels)
{
    std::uint32_t sum = 0;
    for (const grant_demand& each : levels) {
        sum += each.in_flight;
    }
    return sum;
}

// Takes what is granted off a demand, most urgent level first.
void subtract(std::vector<grant_demand>& levels, const granted_capacity& room)
{
    std::uint32_t slots = room.in_flight;
    for (grant_demand& each : levels) {
        const std::uint32_t part = std::min(slots, each.in_flight);
        const double kept = 1.0 - static_cast<double>(part) / std::max(1U, each.in_flight);
        slots -= part;
        each.in_flight -= part;
        each.rate = each.rate * kept;
    }
    std::erase_if(levels, [](const grant_demand& each) { return each.in_flight == 0; });
}

// One slot of the least urgent level.
std::vector<grant_demand> one_slot(const std::vector<grant_demand>& levels)
{
    const grant_demand& least = levels.back();
    return {{least.level, least.rate / std::max(1U, least.in_flight), 1}};
}

} // namespace

host_id grant_book::host_of(const grant_row& row)
{
    return row.candidates.at(row.asked % row.candidates.size());
}

std::vector<grant_book::grant_row> grant_book::make_rows(const config::model& in, domain_id own,
                                                         service_id service) const
{
    std::vector<grant_row> rows;
    const region_id here = in.at(own).region;
    for (const domain_id granter : in.at(own).fallbacks) {
        grant_row row;
        row.granter = granter;
        row.candidates = owner_candidates(in, granter, service);
        const auto link = config::find_link(in, here, in.at(granter).region);
        row.round_trip = link ? 2 * duration{in.at(*link).delay} : round_trip_within_region;
        if (!row.candidates.empty()) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

void grant_book::apply(std::shared_ptr<const config::model> next, domain_id in,
                       const model_map* change, time_point now)
{
    (void)now;
    const auto before = std::exchange(this->services, {});
    const auto granters_before = std::exchange(this->granters, {});
    for (std::size_t index = 0; index < next->services.size(); ++index) {
        this->services.push_back(this->make_rows(*next, in, service_id::from_index(index)));
    }
    for (const auto& [host, row] : granters_before) {
        if (const auto id = change != nullptr ? change->find(host) : std::nullopt) {
            this->granters[*id] = row;
        }
    }
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        const auto service = change->find(service_id::from_index(index));
        for (const grant_row& old : before.at(index)) {
            const auto granter = change->find(old.granter);
            const auto host = change->find(host_of(old));
            const auto granting = change->find(old.host);
            if (!service || !granter || !host || !granting) {
                continue;
            }
            for (grant_row& row : this->services.at(service->index())) {
                const auto at = std::find(row.candidates.begin(), row.candidates.end(), *host);
                if (row.granter != *granter || at == row.candidates.end()) {
                    continue;
                }
                row.asked = static_cast<std::size_t>(at - row.candidates.begin());
                row.host = *granting;
                row.room = old.room;
                row.room.service = *service;
                row.ends = old.ends;
                row.sequence = old.sequence;
                row.in_flight = old.in_flight;
                row.bucket = old.bucket;
            }
        }
    }
    this->model = std::move(next);
    this->domain = in;
}

// The nearest granter is asked for all; each further one for what the nearer ones don't grant, and
// at least for one slot, so that it is at hand when a nearer one goes.
void grant_book::plan(const service_demand& demand, time_point now,
                      std::map<host_id, std::vector<service_demand>>& plans)
{
    std::vector<grant_demand> open = demand.levels;
    for (grant_row& row : this->services.at(demand.service.index())) {
        row.wanted = open.empty() ? one_slot(demand.levels) : open;
        plans[host_of(row)].push_back({demand.service, row.wanted});
        if (now < row.ends) {
            subtract(open, row.room);
        }
    }
}

bool grant_book::due(host_id host, const std::vector<service_demand>& plan, time_point now) const
{
    const auto found = this->granters.find(host);
    if (found == this->granters.end()) {
        return true;
    }
    const granter_row& granter = found->second;
    const duration since = now - granter.last_sent;
    if (granter.rotations > most_candidates) {
        return since >= slow_renewal;
    }
    if (since >= renewal) {
        return true;
    }
    // A demand that outgrows what was granted doesn't wait for the renewal.
    return std::any_of(plan.begin(), plan.end(), [&](const service_demand& each) {
        const auto& rows = this->services.at(each.service.index());
        return std::any_of(rows.begin(), rows.end(), [&](const grant_row& row) {
            const bool fresh = now < row.ends;
            return host_of(row) == host && !granter.unanswered_since &&
                   slots_of(each.levels) > (fresh ? 2 * std::max(1U, row.room.in_flight) : 0) &&
                   since >= renewal / 4;
        });
    });
}

void grant_book::rotate_silent(time_point now)
{
    for (auto& [host, granter] : this->granters) {
        if (!granter.unanswered_since || now - *granter.unanswered_since < answer_timeout) {
            continue;
        }
        granter.unanswered_since.reset();
        ++granter.rotations;
        for (auto& rows : this->services) {
            for (grant_row& row : rows) {
                if (host_of(row) == host && now >= row.ends) {
                    ++row.asked;
                }
            }
        }
    }
}

grant_book::outgoing grant_book::tick(const std::vector<service_demand>& demands, time_point now)
{
    outgoing out;
    this->rotate_silent(now);
    std::map<host_id, std::vector<service_demand>> plans;
    for (const service_demand& each : demands) {
        if (!each.levels.empty()) {
            this->plan(each, now, plans);
        }
    }
    for (auto& [host, plan] : plans) {
        if (!this->due(host, plan, now)) {
            continue;
        }
        granter_row& granter = this->granters[host];
        grant_request request;
        request.source = this->domain;
        request.incarnation_number = this->life;
        request.sequence = ++this->sequence;
        request.services = std::move(plan);
        granter.sent.push_back({request.sequence, now});
        if (granter.sent.size() > most_sent_kept) {
            granter.sent.pop_front();
        }
        granter.last_sent = now;
        granter.unanswered_since = granter.unanswered_since.value_or(now);
        out.push_back({host, std::move(request)});
    }
    return out;
}

void grant_book::take_hint(const owner_hint& hint, host_id from)
{
    if (hint.service.index() >= this->services.size()) {
        return;
    }
    for (grant_row& row : this->services.at(hint.service.index())) {
        if (host_of(row) != from) {
            continue;
        }
        const auto at = hint.owner
                            ? std::find(row.candidates.begin(), row.candidates.end(), *hint.owner)
                            : row.candidates.end();
        const bool known = at != row.candidates.end() && *hint.owner != from;
        if (known) {
            // What it had granted was handed over, or its lease is over.
            row.host = *hint.owner;
        }
        row.asked = known ? static_cast<std::size_t>(at - row.candidates.begin()) : row.asked + 1;
    }
}

void grant_book::receive(host_id from, const capacity_grant& grant, time_point now)
{
    const auto granter = this->granters.find(from);
    if (grant.incarnation_number != this->life || granter == this->granters.end()) {
        return;
    }
    auto& sent = granter->second.sent;
    const auto at = std::find_if(sent.begin(), sent.end(), [&](const sent_row& each) {
        return each.sequence == grant.sequence;
    });
    if (at == sent.end()) {
        return;
    }
    const time_point sent_at = at->at;
    granter->second.unanswered_since.reset();
    granter->second.rotations = 0;
    for (const owner_hint& each : grant.owner_hints) {
        this->take_hint(each, from);
    }
    for (const granted_capacity& room : grant.capacities) {
        if (room.service.index() >= this->services.size()) {
            continue;
        }
        for (grant_row& row : this->services.at(room.service.index())) {
            if (row.granter != grant.granter || host_of(row) != from ||
                grant.sequence < row.sequence) {
                continue;
            }
            row.sequence = grant.sequence;
            row.host = from;
            row.room = room;
            row.ends = sent_at + grant.lease;
            row.bucket.set(room.rate, std::max(1.0, room.rate.value() * burst_seconds), now);
        }
    }
}

void grant_book::peer_lost(host_id peer)
{
    this->granters.erase(peer);
    for (auto& rows : this->services) {
        for (grant_row& row : rows) {
            if (row.host == peer) {
                row.ends = time_point{};
            }
            if (host_of(row) == peer) {
                ++row.asked;
            }
        }
    }
}

std::optional<host_id> grant_book::draw(service_id service,
                                        const std::function<bool(domain_id, host_id)>& usable,
                                        time_point now)
{
    for (grant_row& row : this->services.at(service.index())) {
        // Requests on their way there and back hold no slot at the granter.
        const double on_the_way =
            row.room.rate.value() * std::chrono::duration<double>(row.round_trip).count();
        const double most = row.room.in_flight + on_the_way;
        const bool live = now < row.ends && row.room.in_flight > 0;
        if (live && row.in_flight < most && usable(row.granter, row.host) &&
            row.bucket.try_take(now)) {
            ++row.in_flight;
            return row.host;
        }
    }
    return std::nullopt;
}

void grant_book::finish(service_id service, host_id host)
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

std::vector<held_grant> grant_book::held(time_point now) const
{
    std::vector<held_grant> all;
    for (std::size_t index = 0; index < this->services.size(); ++index) {
        for (const grant_row& row : this->services.at(index)) {
            if (now < row.ends && row.room.in_flight > 0) {
                all.push_back({service_id::from_index(index), row.granter, row.host, row.room,
                               row.in_flight, row.ends});
            }
        }
    }
    return all;
}

} // namespace bth::steering
