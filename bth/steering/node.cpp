#include "bth/steering/node.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bth::steering {

namespace {

constexpr duration usual_retry_after = std::chrono::seconds{1};
constexpr std::chrono::seconds lookup_max_age{5};

struct request_row {
    arrival request;
    std::optional<target_id> target;
    std::optional<host_id> peer;
};

} // namespace

struct node::state {
    explicit state(node_settings given) : settings{std::move(given)} {}

    bool ready() const { return this->model != nullptr && this->host.has_value(); }
    std::optional<target_id> choose_target(const arrival& request) const;
    std::optional<host_id> choose_peer(const arrival& request) const;
    actions start(const arrival& request);

    node_settings settings;
    std::shared_ptr<const config::model> model;
    revision configuration;
    std::optional<host_id> host;
    std::map<request_id, request_row> requests;
    std::vector<std::uint32_t> target_in_flight;
    bool stopping{};
    time_point stop_began;
};

std::optional<target_id> node::state::choose_target(const arrival& request) const
{
    const domain_id own = this->model->at(*this->host).domain;
    std::optional<target_id> best;
    for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
        const config::target& row = this->model->targets.at(index);
        const std::uint32_t used = this->target_in_flight.at(index);
        if (row.service != request.service || row.domain != own || used >= row.slots) {
            continue;
        }
        if (!best || used < this->target_in_flight.at(best->index())) {
            best = target_id::from_index(index);
        }
    }
    return best;
}

std::optional<host_id> node::state::choose_peer(const arrival& request) const
{
    if (request.forwarded_by) {
        return std::nullopt;
    }
    const auto& fallbacks = this->model->at(this->model->at(*this->host).domain).fallbacks;
    for (const domain_id domain : fallbacks) {
        for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
            if (this->model->hosts.at(index).domain == domain) {
                return host_id::from_index(index);
            }
        }
    }
    return std::nullopt;
}

actions node::state::start(const arrival& request)
{
    if (const auto target = this->choose_target(request)) {
        this->requests[request.id] = {request, target, std::nullopt};
        ++this->target_in_flight.at(target->index());
        return {send_to_target{request.id, *target, request.deadline}};
    }
    if (const auto peer = this->choose_peer(request)) {
        this->requests[request.id] = {request, std::nullopt, peer};
        return {forward_to_host{request.id, *peer, request.deadline}};
    }
    return {refuse{request.id, refusal_reason::no_target, run_state::no, usual_retry_after}};
}

node::node(node_settings settings) : self{std::make_unique<state>(std::move(settings))} {}
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

actions node::apply(std::shared_ptr<const config::model> next, revision number, clock_reading now)
{
    (void)now;
    if (this->self->model != nullptr && number < this->self->configuration) {
        return {};
    }
    this->self->host = config::find_host(*next, this->self->settings.host_name);
    this->self->target_in_flight.assign(next->targets.size(), 0);
    this->self->model = std::move(next);
    this->self->configuration = number;
    return {};
}

actions node::arrive(const arrival& request, time_point now)
{
    (void)now;
    if (!this->self->ready()) {
        return {
            refuse{request.id, refusal_reason::not_configured, run_state::no, usual_retry_after}};
    }
    if (this->self->stopping) {
        return {
            refuse{request.id, refusal_reason::shutting_down, run_state::no, usual_retry_after}};
    }
    return this->self->start(request);
}

actions node::finished(const try_result& result, time_point now)
{
    (void)now;
    const auto found = this->self->requests.find(result.id);
    if (found == this->self->requests.end()) {
        return {};
    }
    const request_row row = found->second;
    this->self->requests.erase(found);
    if (row.target) {
        --this->self->target_in_flight.at(row.target->index());
    }
    const bool done =
        result.outcome == try_outcome::answered || result.outcome == try_outcome::cancelled;
    if (done || result.answer_started) {
        return {};
    }
    const bool not_run =
        result.outcome == try_outcome::not_run || result.outcome == try_outcome::connect_failed;
    const auto reason = result.peer_reason.value_or(row.peer ? refusal_reason::peer_failed
                                                             : refusal_reason::target_failed);
    return {refuse{result.id, reason, not_run ? run_state::no : run_state::unknown,
                   std::max(usual_retry_after, result.retry_after)}};
}

actions node::receive(host_id from, const peer_message& message, time_point now)
{
    (void)from;
    (void)message;
    (void)now;
    return {};
}

actions node::peer_lost(host_id peer, time_point now)
{
    (void)peer;
    (void)now;
    return {};
}

actions node::report(const load_report& report, time_point now)
{
    (void)report;
    (void)now;
    return {};
}

actions node::platform(const platform_list& list, time_point now)
{
    (void)list;
    (void)now;
    return {};
}

actions node::begin_shutdown(time_point now)
{
    this->self->stopping = true;
    this->self->stop_began = now;
    return {};
}

actions node::tick(clock_reading now)
{
    (void)now;
    return {};
}

lookup_answer node::lookup(const lookup_query& query, time_point now)
{
    (void)now;
    lookup_answer answer{{}, lookup_max_age};
    if (!this->self->ready()) {
        return answer;
    }
    const auto add_domain = [&](domain_id domain) {
        for (std::size_t index = 0; index < this->self->model->hosts.size(); ++index) {
            if (this->self->model->hosts.at(index).domain == domain) {
                answer.hosts.push_back(host_id::from_index(index));
            }
        }
    };
    add_domain(query.home);
    for (const domain_id domain : this->self->model->at(query.home).fallbacks) {
        add_domain(domain);
    }
    return answer;
}

bool node::may_exit(time_point now) const
{
    return this->self->stopping && this->self->requests.empty() &&
           now - this->self->stop_began >= lookup_max_age;
}

std::size_t node::in_flight() const
{
    return this->self->requests.size();
}

} // namespace bth::steering
