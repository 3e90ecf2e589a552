#include "bth/steering/model_map.h"

#include <string_view>
#include <unordered_map>

namespace bth::steering {

namespace {

template <class Id, class Row>
std::vector<std::optional<Id>> map_rows(const std::vector<Row>& before,
                                        const std::vector<Row>& after)
{
    std::unordered_map<std::string_view, std::size_t> index_by_name;
    for (std::size_t index = 0; index < after.size(); ++index) {
        index_by_name.emplace(after.at(index).name, index);
    }
    std::vector<std::optional<Id>> ids(before.size());
    for (std::size_t index = 0; index < before.size(); ++index) {
        const auto found = index_by_name.find(before.at(index).name);
        if (found != index_by_name.end()) {
            ids.at(index) = Id::from_index(found->second);
        }
    }
    return ids;
}

} // namespace

model_map::model_map(const config::model& before, const config::model& after)
    : services{map_rows<service_id>(before.services, after.services)}, targets{map_rows<target_id>(
                                                                           before.targets,
                                                                           after.targets)},
      hosts{map_rows<host_id>(before.hosts, after.hosts)}, domains{map_rows<domain_id>(
                                                               before.domains, after.domains)},
      regions{map_rows<region_id>(before.regions, after.regions)}, classes{map_rows<class_id>(
                                                                       before.classes,
                                                                       after.classes)}
{}

} // namespace bth::steering
