#include "bth/bench/true_state.h"

#include <algorithm>
#include <utility>

namespace bth::bench {

namespace {

constexpr std::chrono::seconds true_state_max_age{1};
constexpr duration true_state_retry_after = std::chrono::seconds{1};
constexpr duration one_second = std::chrono::seconds{1};
// How much of its targets' rate a domain lends to others.
constexpr double most_utilization = 0.95;
// Requests that may wait for each slot of the domain.
constexpr std::size_t queue_per_slot = 4;

std::size_t length_of(const std::map<priority_level, std::deque<steering::arrival>>& queue)
{
    std::size_t sum = 0;
    for (const auto& [level, rows] : queue) {
        sum += rows.size();
    }
    return sum;
}

} // namespace

true_state::true_state(const host_setup& given, std::shared_ptr<true_state_shared> state)
    : setup{given}, shared{std::move(state)}
{
    for (auto& [key, count] : this->shared->taken_by) {
        if (key.first == given.host) {
            this->shared->taken[key.second.index()] -= std::exchange(count, 0);
        }
    }
}

steering::actions true_state::apply(std::shared_ptr<const config::model> next, revision number,
                                    clock_reading now)
{
    (void)number;
    (void)now;
    if (this->shared->taken.empty()) {
        this->shared->taken.assign(next->targets.size(), 0);
        this->shared->starts.resize(next->domains.size());
        this->shared->served.resize(next->services.size());
        this->shared->away.assign(next->services.size(), 0);
    }
    this->queues.resize(next->services.size());
    this->model = std::move(next);
    return {};
}

priority_level true_state::level_of(const steering::arrival& request) const
{
    return this->model->at(request.service).priority.at(request.caller_class.index());
}

bool true_state::is_usable(std::size_t target) const
{
    const fake_target& row = this->shared->targets->rows[target];
    return row.alive && !row.leaving && !row.leaving_since &&
           this->shared->taken[target] < this->model->targets[target].slots;
}

bool true_state::rate_left(domain_id domain, time_point now)
{
    auto& starts = this->shared->starts[domain.index()];
    while (!starts.empty() && starts.front() + one_second <= now) {
        starts.pop_front();
    }
    return static_cast<double>(starts.size()) < this->model->at(domain).cap.rate.value() - 1.0;
}

bool true_state::shift_left(service_id service, time_point now)
{
    auto& rows = this->shared->served[service.index()];
    auto& away = this->shared->away[service.index()];
    const config::shift_cap& cap = this->model->at(service).shift;
    while (!rows.empty() && rows.front().at + cap.window <= now) {
        away -= rows.front().away ? 1 : 0;
        rows.pop_front();
    }
    return static_cast<double>(away + 1) <= cap.part.value() * static_cast<double>(rows.size());
}

// The free target that answers soonest: the one that is slowed down least, then the emptiest.
std::optional<target_id> true_state::free_target(service_id service, domain_id domain,
                                                 time_point now)
{
    if (!this->rate_left(domain, now)) {
        return std::nullopt;
    }
    std::optional<target_id> best;
    const auto cost = [&](std::size_t index) {
        return std::pair{this->shared->targets->rows[index].time_factor(),
                         this->shared->taken[index]};
    };
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets[index];
        if (row.service != service || row.domain != domain || !this->is_usable(index)) {
            continue;
        }
        if (!best || cost(index) < cost(best->index())) {
            best = target_id::from_index(index);
        }
    }
    return best;
}

duration true_state::queue_wait(service_id service) const
{
    const auto waiting = static_cast<double>(length_of(this->queues[service.index()]) + 1);
    const double rate = target_capacity(*this->model, this->own(), service).value();
    const std::chrono::duration<double> wait{waiting / std::max(rate, 1.0)};
    return std::chrono::duration_cast<duration>(wait);
}

// Whether the targets of a service in a domain can start more in this second.
bool true_state::service_rate_left(service_id service, domain_id domain, time_point now)
{
    auto& starts = this->shared->service_starts[{domain, service}];
    while (!starts.empty() && starts.front() + one_second <= now) {
        starts.pop_front();
    }
    double rate = 0;
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets[index];
        const fake_target& target = this->shared->targets->rows[index];
        if (row.service == service && row.domain == domain && target.alive && !target.leaving &&
            !target.leaving_since) {
            const std::chrono::duration<double> time = this->model->at(service).service_time;
            const std::chrono::duration<double> idle = 2 * this->shared->delay.within_domain;
            rate += row.slots / (time.count() * target.time_factor() + idle.count());
        }
    }
    return static_cast<double>(starts.size()) < rate * most_utilization;
}

std::optional<domain_id> true_state::room_elsewhere(const steering::arrival& request,
                                                    bool queue_is_full, time_point now)
{
    if (!this->shift_left(request.service, now)) {
        return std::nullopt;
    }
    const region_id region = this->model->at(this->own()).region;
    const bool served_here = this->serves(request.service);
    for (const domain_id domain : this->model->at(this->own()).fallbacks) {
        const auto link = config::find_link(*this->model, region, this->model->at(domain).region);
        const duration way =
            link ? duration{this->model->at(*link).delay} : this->shared->delay.between_domains;
        if (served_here && !queue_is_full && 2 * way >= this->queue_wait(request.service)) {
            continue;
        }
        if (this->rate_left(domain, now) && this->service_rate_left(request.service, domain, now)) {
            return domain;
        }
    }
    return std::nullopt;
}

// Whether any target of the service in the own domain takes work.
bool true_state::serves(service_id service) const
{
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets[index];
        const fake_target& target = this->shared->targets->rows[index];
        if (row.domain == this->own() && row.service == service && target.alive &&
            !target.leaving_since) {
            return true;
        }
    }
    return false;
}

void true_state::count_start(const steering::arrival& request, domain_id domain, time_point now)
{
    const bool away = domain != request.home;
    this->shared->starts[domain.index()].push_back(now);
    this->shared->service_starts[{domain, request.service}].push_back(now);
    this->shared->served[request.service.index()].push_back({now, away});
    this->shared->away[request.service.index()] += away ? 1 : 0;
}

steering::actions true_state::place(const steering::arrival& request, target_id target,
                                    time_point now)
{
    if (!request.forwarded_by) {
        this->count_start(request, this->own(), now);
    }
    ++this->shared->taken[target.index()];
    ++this->shared->taken_by[{this->setup.host, target}];
    this->sent[request.id] = target;
    return {steering::send_to_target{request.id, target, request.deadline}};
}

steering::actions true_state::send_to(const steering::arrival& request, domain_id domain,
                                      time_point now)
{
    this->count_start(request, domain, now);
    for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
        if (this->model->hosts[index].domain == domain) {
            return {steering::forward_to_host{request.id, host_id::from_index(index),
                                              request.deadline}};
        }
    }
    return {refusal(request, refusal_reason::no_target)};
}

steering::actions true_state::arrive(const steering::arrival& request, time_point now)
{
    const bool own_caller = request.home == this->own();
    const bool accepted =
        own_caller || request.forwarded_by || this->shift_left(request.service, now);
    if (!accepted) {
        return {refusal(request, refusal_reason::shift_cap)};
    }
    const std::size_t waiting = length_of(this->queues[request.service.index()]);
    if (waiting == 0) {
        if (const auto target = this->free_target(request.service, this->own(), now)) {
            return this->place(request, *target, now);
        }
    }
    const bool full = waiting >= this->queue_limit(request.service);
    if (own_caller && !request.forwarded_by) {
        if (const auto domain = this->room_elsewhere(request, full, now)) {
            return this->send_to(request, *domain, now);
        }
    }
    return this->wait(request);
}

std::size_t true_state::queue_limit(service_id service) const
{
    std::size_t slots = 0;
    for (const config::target& each : this->model->targets) {
        if (each.domain == this->own() && each.service == service) {
            slots += each.slots;
        }
    }
    return slots * queue_per_slot;
}

// Queues the request; a full queue loses its youngest request of the lowest class.
steering::actions true_state::wait(const steering::arrival& request)
{
    auto& queue = this->queues[request.service.index()];
    queue[this->level_of(request)].push_back(request);
    if (length_of(queue) <= this->queue_limit(request.service)) {
        return {};
    }
    const auto lowest = std::find_if(queue.rbegin(), queue.rend(),
                                     [](const auto& each) { return !each.second.empty(); });
    const steering::arrival dropped = lowest->second.back();
    lowest->second.pop_back();
    return {refusal(dropped, refusal_reason::queue_full)};
}

void true_state::drain_queues(steering::actions& done, time_point now)
{
    for (std::size_t index = 0; index < this->queues.size(); ++index) {
        for (auto& [level, rows] : this->queues[index]) {
            while (!rows.empty()) {
                const steering::arrival next = rows.front();
                if (next.deadline <= now) {
                    done.push_back(refusal(next, refusal_reason::deadline));
                    rows.pop_front();
                    continue;
                }
                const auto target =
                    this->free_target(service_id::from_index(index), this->own(), now);
                if (!target) {
                    break;
                }
                rows.pop_front();
                const steering::actions placed = this->place(next, *target, now);
                done.insert(done.end(), placed.begin(), placed.end());
            }
            if (!rows.empty()) {
                break;
            }
        }
    }
}

steering::actions true_state::finished(const steering::attempt_result& result, time_point now)
{
    steering::actions done;
    for (auto& queue : this->queues) {
        for (auto& [level, rows] : queue) {
            std::erase_if(rows, [&](const auto& each) { return each.id == result.id; });
        }
    }
    const auto found = this->sent.find(result.id);
    using steering::attempt_outcome;
    if (found != this->sent.end()) {
        const target_id target = found->second;
        --this->shared->taken[target.index()];
        --this->shared->taken_by[{this->setup.host, target}];
        this->sent.erase(found);
    }
    if (result.outcome != attempt_outcome::answered &&
        result.outcome != attempt_outcome::cancelled) {
        const bool not_run = result.outcome == attempt_outcome::not_run ||
                             result.outcome == attempt_outcome::connect_failed;
        done.push_back(steering::refuse{result.id, refusal_reason::target_failed,
                                        not_run ? run_state::no : run_state::unknown,
                                        true_state_retry_after});
    }
    this->drain_queues(done, now);
    return done;
}

steering::actions true_state::receive(host_id from, const steering::peer_message& message,
                                      time_point now)
{
    (void)from;
    (void)message;
    (void)now;
    return {};
}

steering::actions true_state::peer_lost(host_id peer, time_point now)
{
    (void)peer;
    (void)now;
    return {};
}

steering::actions true_state::report(const steering::load_report& report, time_point now)
{
    (void)report;
    (void)now;
    return {};
}

steering::actions true_state::platform(const steering::platform_list& list, time_point now)
{
    (void)list;
    (void)now;
    return {};
}

steering::actions true_state::tick(clock_reading now)
{
    steering::actions done;
    this->drain_queues(done, now.monotonic);
    return done;
}

steering::lookup_answer true_state::lookup(const steering::lookup_query& query, time_point now)
{
    (void)now;
    steering::lookup_answer answer{{}, true_state_max_age};
    std::vector<domain_id> order{query.home};
    const auto& fallbacks = this->model->at(query.home).fallbacks;
    order.insert(order.end(), fallbacks.begin(), fallbacks.end());
    for (const domain_id domain : order) {
        for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
            if (this->model->hosts[index].domain == domain) {
                answer.hosts.push_back(host_id::from_index(index));
            }
        }
    }
    return answer;
}

steering::refuse true_state::refusal(const steering::arrival& request, refusal_reason reason)
{
    return {request.id, reason, run_state::no, true_state_retry_after};
}

} // namespace bth::bench
