#include "bth/entry/driver.h"

#include "bth/shell/net.h"

#include <utility>
#include <variant>

namespace bth::entry {

steering_driver::steering_driver(steering::node_settings settings, entry_metrics& metrics,
                                 message_sender send)
    : core{std::move(settings)}, metrics{metrics}, send{std::move(send)}
{}

void steering_driver::apply(std::shared_ptr<const configuration_index> next)
{
    const auto now = shell::read_clocks();
    this->current = std::move(next);
    this->metrics.set_revision(this->current->revision_number(), now.monotonic);
    this->perform(
        this->core.apply(this->current->shared_model(), this->current->revision_number(), now));
}

void steering_driver::arrive(const steering::arrival& request,
                             const std::shared_ptr<request_commands>& commands)
{
    this->requests[request.id] = commands;
    this->perform(this->core.arrive(request, shell::monotonic_now()));
}

void steering_driver::finished(const steering::attempt_result& result)
{
    const bool done = result.outcome == steering::attempt_outcome::answered ||
                      result.outcome == steering::attempt_outcome::cancelled ||
                      result.answer_started;
    if (done) {
        this->forget(result.id);
    }
    this->perform(this->core.finished(result, shell::monotonic_now()));
}

void steering_driver::receive(const std::string& from, const steering::peer_message& message)
{
    const auto host =
        this->current ? config::find_host(this->current->model(), from) : std::nullopt;
    if (host) {
        this->perform(this->core.receive(*host, message, shell::monotonic_now()));
    }
}

void steering_driver::peer_lost(const std::string& peer)
{
    const auto host =
        this->current ? config::find_host(this->current->model(), peer) : std::nullopt;
    if (host) {
        this->perform(this->core.peer_lost(*host, shell::monotonic_now()));
    }
}

void steering_driver::report(const steering::load_report& report)
{
    this->perform(this->core.report(report, shell::monotonic_now()));
}

void steering_driver::platform(const steering::platform_list& list)
{
    this->perform(this->core.platform(list, shell::monotonic_now()));
}

steering::lookup_answer steering_driver::lookup(const steering::lookup_query& query)
{
    return this->core.lookup(query, shell::monotonic_now());
}

void steering_driver::tick()
{
    this->perform(this->core.tick(shell::read_clocks()));
}

void steering_driver::begin_shutdown()
{
    this->stopping = true;
    this->perform(this->core.begin_shutdown(shell::monotonic_now()));
}

bool steering_driver::may_exit() const
{
    return this->requests.empty() && this->core.may_exit(shell::monotonic_now());
}

void steering_driver::perform(const steering::actions& actions)
{
    for (const steering::action& each : actions) {
        std::visit([this](const auto& action) { this->perform_one(action); }, each);
    }
}

void steering_driver::send_command(request_id id, command next)
{
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
        found->second->push(std::move(next));
    }
}

void steering_driver::perform_one(const steering::send_to_target& action)
{
    const config::target& target = this->current->model().at(action.target);
    this->send_command(action.id, target_attempt_command{target.name, target.http,
                                                         target.connections, action.deadline});
}

void steering_driver::perform_one(const steering::forward_to_host& action)
{
    this->send_command(action.id, forward_command{this->current->model().at(action.host).name,
                                                  action.deadline, action.hops, action.retry});
}

void steering_driver::perform_one(const steering::refuse& action)
{
    this->send_command(action.id, refusal_command{action.reason, action.run, action.retry_after});
}

void steering_driver::perform_one(const steering::abort_attempt& action)
{
    const auto found = this->requests.find(action.id);
    if (found != this->requests.end()) {
        found->second->stop(stop_cause::core);
    }
}

void steering_driver::perform_one(const steering::send_message& action)
{
    this->send(this->current->model(), this->current->model().at(action.to).name, action.message);
}

void steering_driver::perform_one(const steering::count_retry& action)
{
    this->metrics.count_retry(action.reason);
}

} // namespace bth::entry
