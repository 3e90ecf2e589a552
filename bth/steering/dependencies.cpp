#include "bth/steering/dependencies.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

void dependencies::apply(const config::model& model, const model_map* change)
{
    const std::vector<service_row> previous = std::exchange(this->rows, {});
    this->rows.resize(model.services.size());
    for (std::size_t index = 0; index < this->rows.size(); ++index) {
        collect(model, service_id::from_index(index), this->rows.at(index).all_dependencies);
    }
    for (std::size_t index = 0; change != nullptr && index < previous.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->rows.at(id->index()).targets_can_serve = previous.at(index).targets_can_serve;
        }
    }
}

// The recursion ends because a valid configuration has no dependency cycles.
void dependencies::collect(const config::model& model, service_id service,
                           std::vector<service_id>& all_dependencies)
{
    for (const config::dependency& each : model.at(service).depends_on) {
        if (std::find(all_dependencies.begin(), all_dependencies.end(), each.service) ==
            all_dependencies.end()) {
            all_dependencies.push_back(each.service);
            collect(model, each.service, all_dependencies);
        }
    }
}

void dependencies::set_targets_can_serve(service_id service, bool value)
{
    this->rows.at(service.index()).targets_can_serve = value;
}

void dependencies::apply_heartbeat(const heartbeat& message)
{
    for (const service_id service : message.owned) {
        const bool unable = std::find(message.unable.begin(), message.unable.end(), service) !=
                            message.unable.end();
        this->set_targets_can_serve(service, !unable);
    }
}

std::optional<service_id> dependencies::unavailable_dependency(service_id service) const
{
    const std::vector<service_id>& all_dependencies =
        this->rows.at(service.index()).all_dependencies;
    const auto found = std::find_if(
        all_dependencies.begin(), all_dependencies.end(), [&](service_id dependency_id) {
            return !this->rows.at(dependency_id.index()).targets_can_serve;
        });
    return found == all_dependencies.end() ? std::nullopt : std::optional{*found};
}

bool dependencies::can_serve(service_id service) const
{
    return this->rows.at(service.index()).targets_can_serve &&
           !this->unavailable_dependency(service);
}

} // namespace bth::steering
