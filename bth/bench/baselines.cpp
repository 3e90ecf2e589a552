#include "bth/bench/baselines.h"

#include <algorithm>
#include <utility>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace bth::bench {

namespace {

constexpr std::chrono::seconds baseline_max_age{5};
constexpr duration baseline_retry_after = std::chrono::seconds{1};
constexpr duration central_interval = std::chrono::seconds{1};
// Keeps a part for a domain whose targets all looked full.
constexpr double least_part = 0.1;

} // namespace

steering::actions plain_host::apply(std::shared_ptr<const config::model> next, revision number,
                                    clock_reading now)
{
    (void)number;
    (void)now;
    if (!this->model) {
        this->live.assign(next->targets.size(), true);
        this->outstanding.assign(next->targets.size(), 0);
    }
    this->model = std::move(next);
    return {};
}

steering::actions plain_host::finished(const steering::attempt_result& result, time_point now)
{
    (void)now;
    const auto found = this->sent.find(result.id);
    const bool to_target = found != this->sent.end();
    if (to_target) {
        --this->outstanding.at(found->second.index());
        this->sent.erase(found);
    }
    using steering::attempt_outcome;
    if (result.outcome == attempt_outcome::answered ||
        result.outcome == attempt_outcome::cancelled) {
        return {};
    }
    const bool not_run = result.outcome == attempt_outcome::not_run ||
                         result.outcome == attempt_outcome::connect_failed;
    const auto reason = to_target ? refusal_reason::target_failed : refusal_reason::peer_failed;
    return {steering::refuse{result.id, result.peer_reason.value_or(reason),
                             not_run ? run_state::no : run_state::unknown, baseline_retry_after}};
}

steering::actions plain_host::receive(host_id from, const steering::peer_message& message,
                                      time_point now)
{
    (void)from;
    (void)message;
    (void)now;
    return {};
}

steering::actions plain_host::peer_lost(host_id peer, time_point now)
{
    (void)peer;
    (void)now;
    return {};
}

steering::actions plain_host::report(const steering::load_report& report, time_point now)
{
    (void)report;
    (void)now;
    return {};
}

steering::actions plain_host::platform(const steering::platform_list& list, time_point now)
{
    (void)now;
    this->live.assign(this->live.size(), false);
    for (const target_id each : list.live_targets) {
        this->live.at(each.index()) = true;
    }
    return {};
}

steering::actions plain_host::tick(clock_reading now)
{
    (void)now;
    return {};
}

steering::lookup_answer plain_host::lookup(const steering::lookup_query& query, time_point now)
{
    (void)now;
    steering::lookup_answer answer{{}, baseline_max_age};
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

std::vector<target_id> plain_host::targets_of(service_id service,
                                              std::optional<domain_id> domain) const
{
    std::vector<target_id> found;
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets[index];
        if (row.service == service && (!domain || row.domain == *domain) && this->live[index]) {
            found.push_back(target_id::from_index(index));
        }
    }
    return found;
}

std::optional<host_id> plain_host::host_in(domain_id domain) const
{
    for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
        if (this->model->hosts[index].domain == domain) {
            return host_id::from_index(index);
        }
    }
    return std::nullopt;
}

steering::actions plain_host::send(const steering::arrival& request, target_id target)
{
    this->sent.emplace(request.id, target);
    ++this->outstanding.at(target.index());
    return {steering::send_to_target{request.id, target, request.deadline}};
}

steering::actions plain_host::forward(const steering::arrival& request, domain_id domain) const
{
    const auto host = this->host_in(domain);
    if (!host) {
        return refuse(request, refusal_reason::no_target);
    }
    return {steering::forward_to_host{request.id, *host, request.deadline}};
}

steering::actions plain_host::refuse(const steering::arrival& request, refusal_reason reason)
{
    return {steering::refuse{request.id, reason, run_state::no, baseline_retry_after}};
}

std::size_t plain_host::pick(std::size_t count)
{
    boost::random::uniform_int_distribution<std::size_t> among{0, count - 1};
    return among(this->random);
}

steering::actions nearest_first::arrive(const steering::arrival& request, time_point now)
{
    (void)now;
    const auto here = this->targets_of(request.service, this->own());
    if (!here.empty()) {
        return this->send(request, here[this->turn++ % here.size()]);
    }
    if (request.forwarded_by) {
        return refuse(request, refusal_reason::no_target);
    }
    for (const domain_id domain : this->model->at(this->own()).fallbacks) {
        if (!this->targets_of(request.service, domain).empty()) {
            return this->forward(request, domain);
        }
    }
    return refuse(request, refusal_reason::no_target);
}

central_proportional::central_proportional(const host_setup& given,
                                           std::shared_ptr<central_state> shared)
    : plain_host{given}, central{std::move(shared)}
{}

steering::actions central_proportional::apply(std::shared_ptr<const config::model> next,
                                              revision number, clock_reading now)
{
    if (this->central->reports.empty()) {
        for (std::size_t index = 0; index < next->targets.size(); ++index) {
            this->central->reports.push_back(
                {target_id::from_index(index), 0, next->targets[index].slots, false});
        }
    }
    return plain_host::apply(std::move(next), number, now);
}

steering::actions central_proportional::report(const steering::load_report& report, time_point now)
{
    (void)now;
    this->central->reports.at(report.target.index()) = report;
    return {};
}

steering::actions central_proportional::tick(clock_reading now)
{
    if (now.monotonic >= this->central->next_round) {
        this->central->next_round = now.monotonic + central_interval;
        this->compute_parts();
    }
    return {};
}

void central_proportional::compute_parts()
{
    const std::size_t services = this->model->services.size();
    this->central->parts.assign(services, std::vector<double>(this->model->domains.size()));
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets[index];
        const steering::load_report& told = this->central->reports[index];
        const double free = static_cast<double>(told.slots) - static_cast<double>(told.in_flight);
        if (this->live[index] && !told.leaving) {
            this->central->parts[row.service.index()][row.domain.index()] +=
                std::max(free, least_part);
        }
    }
}

steering::actions central_proportional::arrive(const steering::arrival& request, time_point now)
{
    (void)now;
    domain_id domain = this->own();
    if (!request.forwarded_by && !this->central->parts.empty()) {
        const auto& parts = this->central->parts.at(request.service.index());
        if (std::any_of(parts.begin(), parts.end(), [](double each) { return each > 0; })) {
            boost::random::discrete_distribution<std::size_t> among{parts};
            domain = domain_id::from_index(among(this->random));
        }
    }
    if (domain != this->own()) {
        return this->forward(request, domain);
    }
    const auto here = this->targets_of(request.service, domain);
    if (here.empty()) {
        return refuse(request, refusal_reason::no_target);
    }
    return this->send(request, here[this->pick(here.size())]);
}

steering::actions random_of_two::arrive(const steering::arrival& request, time_point now)
{
    (void)now;
    const auto among = request.forwarded_by ? this->targets_of(request.service, this->own())
                                            : this->targets_of(request.service, std::nullopt);
    if (among.empty()) {
        return refuse(request, refusal_reason::no_target);
    }
    const target_id first = among[this->pick(among.size())];
    const target_id second = among[this->pick(among.size())];
    const bool fewer = this->outstanding.at(second.index()) < this->outstanding.at(first.index());
    const target_id chosen = fewer ? second : first;
    const domain_id domain = this->model->at(chosen).domain;
    return domain == this->own() ? this->send(request, chosen) : this->forward(request, domain);
}

} // namespace bth::bench
