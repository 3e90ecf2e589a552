#include "bth/steering/dependencies.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

void dependencies::apply(const config::model& model, const model_map* change)
{
    const std::vector<row> before = std::exchange(this->rows, {});
    this->rows.resize(model.services.size());
    for (std::size_t index = 0; index < this->rows.size(); ++index) {
        collect(model, service_id::from_index(index), this->rows.at(index).needs);
    }
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        if (const auto id = change->find(service_id::from_index(index))) {
            this->rows.at(id->index()).able = before.at(index).able;
        }
    }
}

// The text has no circles, so this ends.
void dependencies::collect(const config::model& model, service_id service,
                           std::vector<service_id>& needs)
{
    for (const config::dependency& each : model.at(service).depends_on) {
        if (std::find(needs.begin(), needs.end(), each.service) == needs.end()) {
            needs.push_back(each.service);
            collect(model, each.service, needs);
        }
    }
}

void dependencies::set_able(service_id service, bool able)
{
    this->rows.at(service.index()).able = able;
}

void dependencies::take_heartbeat(const heartbeat& beat)
{
    for (const service_id service : beat.owned) {
        const bool unable =
            std::find(beat.unable.begin(), beat.unable.end(), service) != beat.unable.end();
        this->set_able(service, !unable);
    }
}

std::optional<service_id> dependencies::missing(service_id service) const
{
    const std::vector<service_id>& needs = this->rows.at(service.index()).needs;
    const auto found = std::find_if(needs.begin(), needs.end(), [&](service_id need) {
        return !this->rows.at(need.index()).able;
    });
    return found == needs.end() ? std::nullopt : std::optional{*found};
}

bool dependencies::can_serve(service_id service) const
{
    return this->rows.at(service.index()).able && !this->missing(service);
}

} // namespace bth::steering
