#include "bth/steering/node.h"

#include "bth/steering/internal/node_state.h"

#include <utility>

namespace bth::steering {

node::node(node_settings settings) : self{std::make_unique<state>(std::move(settings))} {}
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

actions node::apply(std::shared_ptr<const config::model> next, revision number, clock_reading now)
{
    (void)now;
    state& self = *this->self;
    if (self.model != nullptr && number < self.configuration) {
        return {};
    }
    std::optional<model_map> change;
    if (self.model != nullptr) {
        change.emplace(*self.model, *next);
    }
    self.host = config::find_host(*next, self.settings.host_name);
    self.model = std::move(next);
    self.configuration = number;
    if (change) {
        self.requests.remap(*change);
    }
    if (self.host) {
        self.targets.apply(*self.model, self.domain(), change ? &*change : nullptr);
    }
    return {};
}

actions node::arrive(const arrival& request, time_point now)
{
    actions out;
    this->self->arrive(request, now, out);
    return out;
}

actions node::finished(const try_result& result, time_point now)
{
    actions out;
    this->self->finish(result, now, out);
    return out;
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
    actions out;
    this->self->cancel_forwarded_by(peer, now, out);
    return out;
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
