#include "bth/steering/request_table.h"

namespace bth::steering {

namespace {

template <class Id>
void remap_list(std::vector<Id>& list, const model_map& change)
{
    std::vector<Id> kept;
    for (const Id old : list) {
        if (const auto mapped = change.find(old)) {
            kept.push_back(*mapped);
        }
    }
    list = std::move(kept);
}

template <class Id>
void remap_optional(std::optional<Id>& id, const model_map& change)
{
    if (id) {
        id = change.find(*id);
    }
}

// Maps the ids of the arrival. A removed caller domain or class becomes the first one of the
// configuration, which affects only later decisions about the request.
void remap_arrival(request_row& row, const model_map& change)
{
    const auto service = change.find(row.request.service);
    row.orphaned = row.orphaned || !service;
    row.request.service = service.value_or(service_id{});
    row.request.caller_class = change.find(row.request.caller_class).value_or(class_id{});
    row.request.home = change.find(row.request.home).value_or(domain_id{});
    remap_optional(row.request.forwarded_by, change);
}

// Clears the record of the domain capacity that the request holds if its service, or the host whose
// grant it uses, has been removed. The grant ledger has dropped its count of that capacity too, so
// it must not be returned later.
void remap_held(request_row& row, const model_map& change)
{
    const bool had_holder = row.held.holder.has_value();
    remap_optional(row.held.holder, change);
    const bool is_released = row.orphaned || (had_holder && !row.held.holder);
    row.held.domain_capacity = row.held.domain_capacity && !is_released;
}

} // namespace

request_row& request_table::add(const arrival& request, priority_level level)
{
    request_row& row = this->rows[request.id];
    row = request_row{};
    row.request = request;
    row.level = level;
    return row;
}

request_row* request_table::find(request_id id)
{
    const auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

const request_row* request_table::find(request_id id) const
{
    const auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

void request_table::erase(request_id id)
{
    this->rows.erase(id);
}

void request_table::remap(const model_map* change)
{
    if (change == nullptr) {
        return;
    }
    for (auto& [id, row] : this->rows) {
        remap_arrival(row, *change);
        remap_optional(row.target, *change);
        remap_optional(row.peer, *change);
        remap_held(row, *change);
        remap_list(row.tried_targets, *change);
        remap_list(row.tried_peers, *change);
    }
}

} // namespace bth::steering
