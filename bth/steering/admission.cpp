#include "bth/steering/admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bth::steering {

namespace {

// The maximum wait of a request, in service times, while the queue is empty from time to time.
constexpr std::size_t burst_wait_service_times = 4;
// The same for a standing queue.
constexpr std::size_t standing_wait_service_times = 1;
// A queue is standing when it hasn't been empty for longer than this many service times, and for
// longer than min_standing_time.
constexpr int standing_after_service_times = 20;
constexpr duration min_standing_time = std::chrono::milliseconds{100};

constexpr duration min_retry_after = std::chrono::milliseconds{100};
constexpr duration max_retry_after = std::chrono::seconds{30};
// A retry_after is lengthened by 0 to 1/2 of itself, in this many steps.
constexpr std::uint64_t retry_spread_steps = 8;

// Returns the time that the slots need to serve `requests`.
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
    const std::vector<service_queue> previous = std::exchange(this->queues, {});
    this->queues.resize(model.services.size());
    std::vector<waiting_request> orphaned;
    for (const service_queue& queue : previous) {
        for (const level_queue& level : queue.levels) {
            for (const domain_queue& domain : level.domains) {
                for (waiting_request request : domain.requests) {
                    const auto service =
                        change == nullptr ? std::nullopt : change->find(request.service);
                    if (!service) {
                        orphaned.push_back(request);
                        continue;
                    }
                    request.service = *service;
                    request.caller_domain =
                        change->find(request.caller_domain).value_or(domain_id{});
                    push(this->queues.at(service->index()), request, queue.nonempty_since);
                }
            }
        }
    }
    return orphaned;
}

admission::level_queue& admission::level_of(service_queue& queue, priority_level level)
{
    const auto found = std::lower_bound(
        queue.levels.begin(), queue.levels.end(), level,
        [](const level_queue& row, priority_level wanted) { return row.level < wanted; });
    if (found != queue.levels.end() && found->level == level) {
        return *found;
    }
    level_queue added;
    added.level = level;
    return *queue.levels.insert(found, std::move(added));
}

void admission::push(service_queue& queue, const waiting_request& request, time_point now)
{
    level_queue& level = level_of(queue, request.level);
    auto domain =
        std::find_if(level.domains.begin(), level.domains.end(), [&](const domain_queue& row) {
            return row.caller_domain == request.caller_domain;
        });
    if (domain == level.domains.end()) {
        domain = level.domains.insert(domain, domain_queue{request.caller_domain, {}});
    }
    domain->requests.push_back(request);
    if (level.size == 0) {
        level.next_domain = static_cast<std::size_t>(domain - level.domains.begin());
    }
    ++level.size;
    if (queue.size == 0) {
        queue.nonempty_since = now;
    }
    ++queue.size;
}

// Moves the round robin to the next domain that has queued requests.
void admission::advance_round_robin(level_queue& level)
{
    for (std::size_t step = 0; step < level.domains.size(); ++step) {
        level.next_domain = (level.next_domain + 1) % level.domains.size();
        if (!level.domains.at(level.next_domain).requests.empty()) {
            return;
        }
    }
}

// Moves the round robin on after the current domain has been served or has no requests left.
void admission::advance_unless_empty(level_queue& level)
{
    if (level.size > 0) {
        advance_round_robin(level);
    }
}

bool admission::remove_from(service_queue& queue, const waiting_request& request)
{
    level_queue& level = level_of(queue, request.level);
    for (std::size_t index = 0; index < level.domains.size(); ++index) {
        auto& requests = level.domains.at(index).requests;
        const auto found =
            std::find_if(requests.begin(), requests.end(),
                         [&](const waiting_request& row) { return row.id == request.id; });
        if (found == requests.end()) {
            continue;
        }
        const bool was_next = index == level.next_domain && found == requests.begin();
        requests.erase(found);
        --level.size;
        --queue.size;
        if (was_next || (index == level.next_domain && requests.empty())) {
            advance_unless_empty(level);
        }
        return true;
    }
    return false;
}

const admission::domain_queue& admission::longest_queue(const level_queue& level)
{
    return *std::max_element(level.domains.begin(), level.domains.end(),
                             [](const domain_queue& one, const domain_queue& other) {
                                 return one.requests.size() < other.requests.size();
                             });
}

// Returns the request that a full queue drops in favour of `request`: the newest of the domain with
// the most requests in the lowest waiting level, if that level is lower than that of `request`, or
// if it is the same and that domain has at least two more requests than the domain of `request`.
std::optional<waiting_request> admission::find_displaced(const service_queue& queue,
                                                         const waiting_request& request)
{
    const auto lowest = std::find_if(queue.levels.rbegin(), queue.levels.rend(),
                                     [](const level_queue& level) { return level.size > 0; });
    if (lowest == queue.levels.rend() || lowest->level < request.level) {
        return std::nullopt;
    }
    const domain_queue& longest = longest_queue(*lowest);
    if (lowest->level > request.level) {
        return longest.requests.back();
    }
    std::size_t own = 0;
    for (const domain_queue& domain : lowest->domains) {
        own += domain.caller_domain == request.caller_domain ? domain.requests.size() : 0;
    }
    if (longest.requests.size() > own + 1) {
        return longest.requests.back();
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
    while (queue.size >= this->max_waiting(request.service, capacity, now)) {
        const auto victim = find_displaced(queue, request);
        if (!victim) {
            const bool outranked = *this->highest_waiting(request.service) < request.level;
            result.refused = outranked ? refusal_reason::priority : refusal_reason::queue_full;
            return result;
        }
        remove_from(queue, *victim);
        result.dropped.push_back(*victim);
    }
    push(queue, request, now);
    return result;
}

std::optional<request_id> admission::next(service_id service) const
{
    for (const level_queue& level : this->queues.at(service.index()).levels) {
        if (level.size > 0) {
            return level.domains.at(level.next_domain).requests.front().id;
        }
    }
    return std::nullopt;
}

void admission::remove(const waiting_request& request)
{
    remove_from(this->queues.at(request.service.index()), request);
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
        for (const domain_queue& domain : level.domains) {
            std::copy_if(domain.requests.begin(), domain.requests.end(), std::back_inserter(late),
                         [&](const waiting_request& request) {
                             return now + capacity.service_time > request.deadline;
                         });
        }
    }
    for (const waiting_request& request : late) {
        remove_from(queue, request);
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

std::uint64_t admission::recent_refusals(const refusal_counter& counter, time_point now)
{
    const std::int64_t age = second_of(now) - counter.second;
    if (age == 0) {
        return std::max(counter.counts.at(0), counter.counts.at(1));
    }
    return age == 1 ? counter.counts.at(0) : 0;
}

duration admission::retry_after(service_id service, priority_level level,
                                const service_capacity& capacity, time_point now)
{
    service_queue& queue = this->queues.at(service.index());
    std::uint64_t ahead = 1;
    for (const level_queue& row : queue.levels) {
        if (row.level <= level) {
            ahead += row.size + recent_refusals(row.refusals, now);
        }
    }
    const duration time_to_clear =
        std::clamp(time_to_serve(ahead, capacity), min_retry_after, max_retry_after);
    const auto step = static_cast<duration::rep>(queue.retry_after_answers++ % retry_spread_steps);
    constexpr auto double_steps = static_cast<duration::rep>(2 * retry_spread_steps);
    return time_to_clear + time_to_clear * step / double_steps;
}

void admission::count_refusal(service_id service, priority_level level, time_point now)
{
    refusal_counter& counter = level_of(this->queues.at(service.index()), level).refusals;
    const std::int64_t second = second_of(now);
    if (second != counter.second) {
        counter.counts.at(1) = second == counter.second + 1 ? counter.counts.at(0) : 0;
        counter.counts.at(0) = 0;
        counter.second = second;
    }
    ++counter.counts.at(0);
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

std::size_t admission::max_waiting(service_id service, const service_capacity& capacity,
                                   time_point now) const
{
    const service_queue& queue = this->queues.at(service.index());
    const duration standing_threshold =
        std::max(min_standing_time, capacity.service_time * standing_after_service_times);
    const bool is_standing = queue.size > 0 && now - queue.nonempty_since > standing_threshold;
    return (is_standing ? standing_wait_service_times : burst_wait_service_times) * capacity.slots;
}

std::size_t admission::max_waiting_in_burst(std::uint32_t slots)
{
    return burst_wait_service_times * slots;
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
