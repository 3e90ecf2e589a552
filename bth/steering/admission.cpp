#include "bth/steering/admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bth::steering {

namespace {

// The most that a request waits in a queue that empties now and then, in service times.
constexpr std::size_t burst_wait = 4;
// The same for a queue that stands.
constexpr std::size_t standing_wait = 1;
// A queue that hasn't been empty for so many service times, and for standing_least, stands.
constexpr int standing_after = 20;
constexpr duration standing_least = std::chrono::milliseconds{100};

constexpr duration least_retry_after = std::chrono::milliseconds{100};
constexpr duration most_retry_after = std::chrono::seconds{30};
// Times to come back are spread over half again their length, in this many steps.
constexpr std::uint64_t spread_steps = 8;

// The time in which `requests` pass through the slots.
duration time_to_serve(std::uint64_t requests, const service_capacity& capacity)
{
    const auto slots = static_cast<duration::rep>(std::max<std::uint32_t>(capacity.slots, 1));
    return capacity.service_time * static_cast<duration::rep>(requests) / slots;
}

std::int64_t second_of(time_point now)
{
    return now.time_since_epoch() / std::chrono::seconds{1};
}

} // namespace

std::vector<waiting_request> admission::apply(const config::model& model, const model_map* change)
{
    const std::vector<service_queue> before = std::exchange(this->queues, {});
    this->queues.resize(model.services.size());
    std::vector<waiting_request> gone;
    for (const service_queue& queue : before) {
        for (const level_queue& level : queue.levels) {
            for (const home_queue& home : level.homes) {
                for (waiting_request request : home.requests) {
                    const auto service =
                        change == nullptr ? std::nullopt : change->find(request.service);
                    if (!service) {
                        gone.push_back(request);
                        continue;
                    }
                    request.service = *service;
                    request.home = change->find(request.home).value_or(domain_id{});
                    push(this->queues.at(service->index()), request, queue.standing_since);
                }
            }
        }
    }
    return gone;
}

admission::level_queue& admission::level_of(service_queue& queue, priority_level level)
{
    const auto found = std::lower_bound(
        queue.levels.begin(), queue.levels.end(), level,
        [](const level_queue& row, priority_level wanted) { return row.level < wanted; });
    if (found != queue.levels.end() && found->level == level) {
        return *found;
    }
    level_queue fresh;
    fresh.level = level;
    return *queue.levels.insert(found, std::move(fresh));
}

void admission::push(service_queue& queue, const waiting_request& request, time_point now)
{
    level_queue& level = level_of(queue, request.level);
    auto home = std::find_if(level.homes.begin(), level.homes.end(),
                             [&](const home_queue& row) { return row.home == request.home; });
    if (home == level.homes.end()) {
        home = level.homes.insert(home, home_queue{request.home, {}});
    }
    home->requests.push_back(request);
    if (level.size == 0) {
        level.turn = static_cast<std::size_t>(home - level.homes.begin());
    }
    ++level.size;
    if (queue.size == 0) {
        queue.standing_since = now;
    }
    ++queue.size;
}

// Moves the turn to the next home that has somebody waiting.
void admission::advance_turn(level_queue& level)
{
    for (std::size_t step = 0; step < level.homes.size(); ++step) {
        level.turn = (level.turn + 1) % level.homes.size();
        if (!level.homes.at(level.turn).requests.empty()) {
            return;
        }
    }
}

// The home whose turn it was has been served or has nobody left.
void admission::end_turn(level_queue& level)
{
    if (level.size > 0) {
        advance_turn(level);
    }
}

bool admission::take(service_queue& queue, const waiting_request& request)
{
    level_queue& level = level_of(queue, request.level);
    for (std::size_t index = 0; index < level.homes.size(); ++index) {
        auto& requests = level.homes.at(index).requests;
        const auto found =
            std::find_if(requests.begin(), requests.end(),
                         [&](const waiting_request& row) { return row.id == request.id; });
        if (found == requests.end()) {
            continue;
        }
        const bool was_next = index == level.turn && found == requests.begin();
        requests.erase(found);
        --level.size;
        --queue.size;
        if (was_next || (index == level.turn && requests.empty())) {
            end_turn(level);
        }
        return true;
    }
    return false;
}

const admission::home_queue& admission::longest(const level_queue& level)
{
    return *std::max_element(level.homes.begin(), level.homes.end(),
                             [](const home_queue& one, const home_queue& other) {
                                 return one.requests.size() < other.requests.size();
                             });
}

// Who gives way to `request` in a full queue: the newest of the lowest level, if that is lower;
// else the newest of a domain that has clearly more waiting in the same level.
std::optional<waiting_request> admission::displaced_by(const service_queue& queue,
                                                       const waiting_request& request)
{
    const auto lowest = std::find_if(queue.levels.rbegin(), queue.levels.rend(),
                                     [](const level_queue& level) { return level.size > 0; });
    if (lowest == queue.levels.rend() || lowest->level < request.level) {
        return std::nullopt;
    }
    const home_queue& crowd = longest(*lowest);
    if (lowest->level > request.level) {
        return crowd.requests.back();
    }
    std::size_t own = 0;
    for (const home_queue& home : lowest->homes) {
        own += home.home == request.home ? home.requests.size() : 0;
    }
    if (crowd.requests.size() > own + 1) {
        return crowd.requests.back();
    }
    return std::nullopt;
}

offer_result admission::offer(const waiting_request& request, const service_capacity& capacity,
                              time_point now)
{
    service_queue& queue = this->queues.at(request.service.index());
    offer_result result;
    if (capacity.slots == 0) {
        result.refused = refusal_reason::no_target;
        return result;
    }
    const duration wait = this->expected_wait(request.service, request.level, capacity);
    if (now + wait + capacity.service_time > request.deadline) {
        result.refused = refusal_reason::deadline;
        return result;
    }
    while (queue.size >= this->bound(request.service, capacity, now)) {
        const auto victim = displaced_by(queue, request);
        if (!victim) {
            const bool outranked = *this->highest_waiting(request.service) < request.level;
            result.refused = outranked ? refusal_reason::priority : refusal_reason::queue_full;
            return result;
        }
        take(queue, *victim);
        result.dropped.push_back(*victim);
    }
    push(queue, request, now);
    return result;
}

std::optional<request_id> admission::next(service_id service) const
{
    for (const level_queue& level : this->queues.at(service.index()).levels) {
        if (level.size > 0) {
            return level.homes.at(level.turn).requests.front().id;
        }
    }
    return std::nullopt;
}

void admission::remove(const waiting_request& request)
{
    take(this->queues.at(request.service.index()), request);
}

std::vector<waiting_request> admission::expire(service_id service, const service_capacity& capacity,
                                               time_point now)
{
    service_queue& queue = this->queues.at(service.index());
    std::vector<waiting_request> late;
    if (queue.size == 0) {
        return late;
    }
    for (const level_queue& level : queue.levels) {
        for (const home_queue& home : level.homes) {
            std::copy_if(home.requests.begin(), home.requests.end(), std::back_inserter(late),
                         [&](const waiting_request& request) {
                             return now + capacity.service_time > request.deadline;
                         });
        }
    }
    for (const waiting_request& request : late) {
        take(queue, request);
    }
    return late;
}

duration admission::expected_wait(service_id service, priority_level level,
                                  const service_capacity& capacity) const
{
    std::uint64_t ahead = 0;
    for (const level_queue& row : this->queues.at(service.index()).levels) {
        ahead += row.level <= level ? row.size : 0;
    }
    return time_to_serve(ahead + 1, capacity);
}

std::uint64_t admission::refused_lately(const refusal_count& refused, time_point now)
{
    const std::int64_t age = second_of(now) - refused.second;
    if (age == 0) {
        return std::max(refused.counts.at(0), refused.counts.at(1));
    }
    return age == 1 ? refused.counts.at(0) : 0;
}

duration admission::retry_after(service_id service, priority_level level,
                                const service_capacity& capacity, time_point now)
{
    service_queue& queue = this->queues.at(service.index());
    std::uint64_t before = 1;
    for (const level_queue& row : queue.levels) {
        if (row.level <= level) {
            before += row.size + refused_lately(row.refused, now);
        }
    }
    const duration clear =
        std::clamp(time_to_serve(before, capacity), least_retry_after, most_retry_after);
    const auto step = static_cast<duration::rep>(queue.refusals++ % spread_steps);
    constexpr auto twice = static_cast<duration::rep>(2 * spread_steps);
    return clear + clear * step / twice;
}

void admission::count_refusal(service_id service, priority_level level, time_point now)
{
    refusal_count& refused = level_of(this->queues.at(service.index()), level).refused;
    const std::int64_t second = second_of(now);
    if (second != refused.second) {
        refused.counts.at(1) = second == refused.second + 1 ? refused.counts.at(0) : 0;
        refused.counts.at(0) = 0;
        refused.second = second;
    }
    ++refused.counts.at(0);
}

bool admission::must_wait(service_id service, priority_level level) const
{
    const auto highest = this->highest_waiting(service);
    return highest && *highest <= level;
}

std::size_t admission::waiting(service_id service) const
{
    return this->queues.at(service.index()).size;
}

std::size_t admission::bound(service_id service, const service_capacity& capacity,
                             time_point now) const
{
    const service_queue& queue = this->queues.at(service.index());
    const duration patience = std::max(standing_least, capacity.service_time * standing_after);
    const bool stands = queue.size > 0 && now - queue.standing_since > patience;
    return (stands ? standing_wait : burst_wait) * capacity.slots;
}

std::size_t admission::burst_bound(std::uint32_t slots)
{
    return burst_wait * slots;
}

std::optional<priority_level> admission::lowest_waiting(service_id service) const
{
    const auto& levels = this->queues.at(service.index()).levels;
    const auto found = std::find_if(levels.rbegin(), levels.rend(),
                                    [](const level_queue& level) { return level.size > 0; });
    return found == levels.rend() ? std::nullopt : std::optional{found->level};
}

std::optional<priority_level> admission::highest_waiting(service_id service) const
{
    const auto& levels = this->queues.at(service.index()).levels;
    const auto found = std::find_if(levels.begin(), levels.end(),
                                    [](const level_queue& level) { return level.size > 0; });
    return found == levels.end() ? std::nullopt : std::optional{found->level};
}

} // namespace bth::steering
