#include "bth/dispatch/target_registry.h"

#include <algorithm>
#include <utility>

namespace bth::dispatch {

void target_registry::apply(time_point now, const std::vector<target_info>& changed,
                            const std::vector<std::string>& removed, bool is_full_list)
{
    if (is_full_list) {
        std::set<std::string_view> listed;
        for (const auto& info : changed) {
            listed.insert(info.id);
        }
        std::vector<std::string> unlisted;
        for (const auto& [id, entry] : this->by_id) {
            if (!listed.contains(id)) {
                unlisted.push_back(id);
            }
        }
        for (const auto& id : unlisted) {
            this->remove_target(id);
        }
    }
    for (const auto& id : removed) {
        this->remove_target(id);
    }
    for (const auto& info : changed) {
        const auto existing = this->by_id.find(info.id);
        // An id that is listed with another endpoint or service denotes a different target.
        if (existing != this->by_id.end() &&
            existing->second->info().target_endpoint == info.target_endpoint &&
            existing->second->info().service == info.service) {
            existing->second->update(now, info);
            continue;
        }
        this->remove_target(info.id);
        auto added = std::make_shared<target>(info);
        added->update(now, info);
        this->by_id[info.id] = added;
        this->by_service[info.service].push_back(added);
    }
}

void target_registry::remove_target(const std::string& id)
{
    const auto existing = this->by_id.find(id);
    if (existing == this->by_id.end()) {
        return;
    }
    existing->second->mark_removed();
    std::erase(this->by_service[existing->second->info().service], existing->second);
    this->by_id.erase(existing);
}

void target_registry::set_evacuated(time_point now, const std::set<std::string>& domains,
                                    duration cold_time)
{
    for (const auto& domain : this->evacuated) {
        if (domains.contains(domain)) {
            continue;
        }
        for (const auto& [id, entry] : this->by_id) {
            if (entry->info().domain == domain) {
                entry->assume_cold(now + cold_time);
            }
        }
    }
    this->evacuated = {domains.begin(), domains.end()};
}

const std::vector<target_ptr>& target_registry::targets_of_service(std::string_view service) const
{
    static const std::vector<target_ptr> none;
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

std::vector<std::string> target_registry::ids() const
{
    std::vector<std::string> out;
    out.reserve(this->by_id.size());
    for (const auto& [id, each] : this->by_id) {
        out.push_back(id);
    }
    return out;
}

void target_registry::forget_failures()
{
    for (const auto& [id, each] : this->by_id) {
        each->forget_failures();
    }
}

target_ptr target_registry::find(std::string_view id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

bool target_registry::is_listed_in_service(const target& candidate) const
{
    return !candidate.is_removed() && !candidate.info().draining &&
           !this->evacuated.contains(candidate.info().domain);
}

std::string_view target_registry::region_of(std::string_view domain) const
{
    const auto found = this->regions.find(domain);
    return found == this->regions.end() ? std::string_view{} : std::string_view{found->second};
}

} // namespace bth::dispatch
