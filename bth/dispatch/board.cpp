#include "bth/dispatch/board.h"

#include <algorithm>
#include <utility>

namespace bth::dispatch {

void target_board::apply(time_point now, const std::vector<target_facts>& changed,
                         const std::vector<std::string>& removed, bool whole)
{
    if (whole) {
        std::set<std::string_view> named;
        for (const auto& each : changed) {
            named.insert(each.id);
        }
        std::vector<std::string> missing;
        for (const auto& [id, row] : this->by_id) {
            if (!named.contains(id)) {
                missing.push_back(id);
            }
        }
        for (const auto& id : missing) {
            this->drop(id);
        }
    }
    for (const auto& id : removed) {
        this->drop(id);
    }
    for (const auto& each : changed) {
        const auto known = this->by_id.find(each.id);
        // At another address or service it is another target, whatever its id.
        if (known != this->by_id.end() && known->second->facts().where == each.where &&
            known->second->facts().service == each.service) {
            known->second->update(now, each);
            continue;
        }
        this->drop(each.id);
        auto made = std::make_shared<target>(each);
        made->update(now, each);
        this->by_id[each.id] = made;
        this->by_service[each.service].push_back(made);
    }
}

void target_board::drop(const std::string& id)
{
    const auto known = this->by_id.find(id);
    if (known == this->by_id.end()) {
        return;
    }
    known->second->remove();
    std::erase(this->by_service[known->second->facts().service], known->second);
    this->by_id.erase(known);
}

void target_board::set_evacuated(time_point now, const std::set<std::string>& domains,
                                 duration cold_time)
{
    for (const auto& domain : this->evacuated) {
        if (domains.contains(domain)) {
            continue;
        }
        for (const auto& [id, row] : this->by_id) {
            if (row->facts().domain == domain) {
                row->assume_cold(now + cold_time);
            }
        }
    }
    this->evacuated = {domains.begin(), domains.end()};
}

const std::vector<target_ptr>& target_board::of_service(std::string_view service) const
{
    static const std::vector<target_ptr> none;
    const auto rows = this->by_service.find(service);
    return rows == this->by_service.end() ? none : rows->second;
}

target_ptr target_board::find(std::string_view id) const
{
    const auto known = this->by_id.find(id);
    return known == this->by_id.end() ? nullptr : known->second;
}

bool target_board::may_serve(const target& row) const
{
    return !row.is_gone() && !row.facts().draining && !this->evacuated.contains(row.facts().domain);
}

std::string_view target_board::region_of(std::string_view domain) const
{
    const auto found = this->regions.find(domain);
    return found == this->regions.end() ? std::string_view{} : std::string_view{found->second};
}

} // namespace bth::dispatch
