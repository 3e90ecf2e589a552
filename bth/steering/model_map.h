// Maps the ids of one configuration to the ids of the next one. Rows with the same name correspond.
//
//   model_map change{old_model, new_model};
//   if (auto id = change.find(old_target)) { use(*id); }
#pragma once

#include "bth/base/ids.h"
#include "bth/config/model.h"

#include <optional>
#include <vector>

namespace bth::steering {

class model_map {
public:
    model_map(const config::model& before, const config::model& after);

    // Returns the new id of a row, or nothing if the new configuration has no row of its name.
    std::optional<service_id> find(service_id old) const { return get(this->services, old); }
    std::optional<target_id> find(target_id old) const { return get(this->targets, old); }
    std::optional<host_id> find(host_id old) const { return get(this->hosts, old); }
    std::optional<domain_id> find(domain_id old) const { return get(this->domains, old); }
    std::optional<region_id> find(region_id old) const { return get(this->regions, old); }
    std::optional<class_id> find(class_id old) const { return get(this->classes, old); }

private:
    template <class Id>
    using id_list = std::vector<std::optional<Id>>;

    template <class Id>
    static std::optional<Id> get(const id_list<Id>& ids, Id old)
    {
        return old.index() < ids.size() ? ids.at(old.index()) : std::nullopt;
    }

    id_list<service_id> services;
    id_list<target_id> targets;
    id_list<host_id> hosts;
    id_list<domain_id> domains;
    id_list<region_id> regions;
    id_list<class_id> classes;
};

} // namespace bth::steering
