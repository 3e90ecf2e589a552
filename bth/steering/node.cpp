#include "bth/steering/node.h"

#include "bth/steering/internal/node_state.h"

#include <limits>
#include <utility>

namespace bth::steering {

namespace {

// An id that no failure domain has. It stands for the domain of a host that isn't in the
// configuration, so that the host gets no targets.
constexpr domain_id no_domain{std::numeric_limits<domain_id::rep>::max()};

} // namespace

node::node(node_settings settings) : self{std::make_unique<state>(std::move(settings))} {}
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

void node::state::apply(std::shared_ptr<const config::model> next, revision number,
                        clock_reading clock, actions& out)
{
    const time_point now = clock.monotonic;
    std::optional<model_map> map;
    if (this->model != nullptr) {
        map.emplace(*this->model, *next);
    }
    const model_map* change = map ? &*map : nullptr;
    this->host = config::find_host(*next, this->settings.host_name);
    this->model = std::move(next);
    this->configuration = number;
    this->requests.remap(change);
    this->targets.apply(*this->model, this->host ? this->domain() : no_domain, change, now);
    for (const auto& [id, row] : this->requests.all()) {
        if (row.target) {
            this->targets.restore_attempt(*row.target, now);
        }
    }
    this->apply_availability(change, clock);
    this->queue_served_at.assign(this->model->services.size(), now);
    this->apply_grants(change, now, out);
    this->retries.apply(*this->model, change);
    this->audit.apply(this->model->services.size(), change);
    this->dependency_states.apply(*this->model, change);
    for (const waiting_request& removed : this->queues.apply(*this->model, change)) {
        this->give_up(*this->requests.find(removed.id), {refusal_reason::unknown_service}, out);
    }
    this->tick(now, out);
}

void node::state::tick(time_point now, actions& out)
{
    this->targets.tick(now);
    this->tick_grants(now, out);
    this->refresh_availability(now, out);
    this->refresh_dependencies(now);
    this->serve_queues(now, out);
}

void node::state::serve_queues(time_point now, actions& out)
{
    for (std::size_t index = 0; this->ready() && index < this->model->services.size(); ++index) {
        this->serve_queue(service_id::from_index(index), now, out);
    }
}

bool node::state::owns(service_id service, time_point now) const
{
    return this->owners.owns(service, now);
}

void node::state::refresh_dependencies(time_point now)
{
    std::vector<service_id> unable;
    for (std::size_t index = 0; this->ready() && index < this->model->services.size(); ++index) {
        const auto service = service_id::from_index(index);
        if (!this->owns(service, now)) {
            continue;
        }
        this->dependency_states.set_targets_can_serve(service,
                                                      this->targets.can_serve(service, now));
        if (!this->dependency_states.can_serve(service)) {
            unable.push_back(service);
        }
    }
    this->owners.set_unable(std::move(unable));
}

void node::state::apply_dependency_heartbeat(const heartbeat& message, time_point now)
{
    heartbeat relevant = message;
    std::erase_if(relevant.owned, [&](service_id service) {
        return service.index() >= this->model->services.size() || this->owns(service, now);
    });
    this->dependency_states.apply_heartbeat(relevant);
}

actions node::apply(std::shared_ptr<const config::model> next, revision number, clock_reading now)
{
    actions out;
    this->self->latest = now.monotonic;
    if (this->self->model == nullptr || number >= this->self->configuration) {
        this->self->apply(std::move(next), number, now, out);
    }
    return out;
}

actions node::arrive(const arrival& request, time_point now)
{
    actions out;
    this->self->latest = now;
    this->self->arrive(request, now, out);
    return out;
}

actions node::finished(const attempt_result& result, time_point now)
{
    actions out;
    this->self->latest = now;
    this->self->finish(result, now, out);
    return out;
}

actions node::receive(host_id from, const peer_message& message, time_point now)
{
    actions out;
    this->self->latest = now;
    if (this->self->ready() && from.index() < this->self->model->hosts.size()) {
        this->self->receive_availability(from, message, now);
        if (const auto* beat = std::get_if<heartbeat>(&message)) {
            this->self->apply_dependency_heartbeat(*beat, now);
        }
    }
    this->self->receive_grants(from, message, now, out);
    this->self->serve_queues(now, out);
    return out;
}

actions node::peer_lost(host_id peer, time_point now)
{
    actions out;
    this->self->latest = now;
    this->self->cancel_forwarded_by(peer, now, out);
    this->self->book.peer_lost(peer);
    this->self->owners.peer_lost(peer);
    this->self->drop_former_owner_slots(peer);
    this->self->serve_queues(now, out);
    return out;
}

actions node::report(const load_report& report, time_point now)
{
    actions out;
    this->self->latest = now;
    this->self->targets.report(report, now);
    this->self->report_availability(report, now, out);
    this->self->refresh_dependencies(now);
    this->self->serve_queues(now, out);
    return out;
}

actions node::platform(const platform_list& list, time_point now)
{
    actions out;
    this->self->latest = now;
    this->self->availability_state.apply_platform_list(list, now);
    this->self->tick(now, out);
    return out;
}

actions node::begin_shutdown(time_point now)
{
    actions out;
    this->self->latest = now;
    if (!this->self->stopping) {
        this->self->stopping = true;
        this->self->shutdown_started = now;
        this->self->owners.set_leaving(true);
    }
    this->self->tick(now, out);
    return out;
}

actions node::tick(clock_reading now)
{
    actions out;
    this->self->latest = now.monotonic;
    this->self->availability_state.advance(now);
    this->self->tick(now.monotonic, out);
    return out;
}

lookup_answer node::lookup(const lookup_query& query, time_point now)
{
    if (!this->self->ready()) {
        return {{}, lookup_policy::shortest_max_age};
    }
    return this->self->lookups.answer(query, now);
}

bool node::may_exit(time_point now) const
{
    return this->self->stopping && this->self->requests.empty() &&
           now - this->self->shutdown_started >= shutdown_serving_time;
}

std::size_t node::in_flight() const
{
    return this->self->requests.size();
}

grant_view node::grants(time_point now) const
{
    grant_view view;
    if (!this->self->ready()) {
        return view;
    }
    for (ledger_usage& each : this->self->ledger.usage(now)) {
        if (this->self->owners.owns(each.service, now)) {
            view.granted.push_back(std::move(each));
        }
    }
    view.held = this->self->book.held(now);
    return view;
}

violations node::check_invariants() const
{
    violations found;
    this->self->check(found);
    return found;
}

} // namespace bth::steering
