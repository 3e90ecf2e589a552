#include "bth/config/model.h"

#include <algorithm>

namespace bth::config {

namespace {

template <class Id, class Row>
std::optional<Id> find_named(const std::vector<Row>& rows, std::string_view name)
{
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.name == name; });
    if (found == rows.end()) {
        return std::nullopt;
    }
    return Id::from_index(static_cast<std::size_t>(found - rows.begin()));
}

} // namespace

std::optional<region_id> find_region(const model& in, std::string_view name)
{
    return find_named<region_id>(in.regions, name);
}

std::optional<domain_id> find_domain(const model& in, std::string_view name)
{
    return find_named<domain_id>(in.domains, name);
}

std::optional<host_id> find_host(const model& in, std::string_view name)
{
    return find_named<host_id>(in.hosts, name);
}

std::optional<class_id> find_class(const model& in, std::string_view name)
{
    return find_named<class_id>(in.classes, name);
}

std::optional<service_id> find_service(const model& in, std::string_view name)
{
    return find_named<service_id>(in.services, name);
}

std::optional<target_id> find_target(const model& in, std::string_view name)
{
    return find_named<target_id>(in.targets, name);
}

std::optional<link_id> find_link(const model& in, region_id from, region_id to)
{
    const auto found = std::find_if(in.links.begin(), in.links.end(), [&](const link& row) {
        return row.from == from && row.to == to;
    });
    if (found == in.links.end()) {
        return std::nullopt;
    }
    return link_id::from_index(static_cast<std::size_t>(found - in.links.begin()));
}

} // namespace bth::config
