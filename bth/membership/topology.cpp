#include "bth/membership/topology.h"

#include "bth/config/json_reader.h"

#include <algorithm>

#include <xxhash.h>

namespace bth::membership {

std::vector<host_place> hosts_of(const config::text_table& table)
{
    std::vector<host_place> hosts;
    for (const config::entry& row : table.entries()) {
        if (row.key.part != config::section::hosts) {
            continue;
        }
        findings found;
        const auto document = config::json_document::parse(row.key.name, row.value, found);
        if (document) {
            config::json_object object{document->root(), *document, found};
            hosts.push_back({row.key.name, object.string_or("failure_domain", "")});
        }
    }
    return hosts;
}

config::table_digest hosts_digest(const config::text_table& table)
{
    std::uint64_t sum = 0;
    for (const config::entry& row : table.entries()) {
        if (row.key.part == config::section::hosts) {
            sum += XXH3_64bits(row.value.data(), row.value.size());
        }
    }
    return config::table_digest{sum};
}

std::vector<std::string> hosts_in(const std::vector<host_place>& hosts,
                                  const std::string& failure_domain)
{
    std::vector<std::string> names;
    for (const host_place& each : hosts) {
        if (each.failure_domain == failure_domain) {
            names.push_back(each.host);
        }
    }
    return names;
}

std::vector<std::string> tree_children(const std::vector<std::string>& names,
                                       const std::string& root, const std::string& self,
                                       std::size_t fan_out)
{
    const auto index_of = [&](const std::string& name) {
        return static_cast<std::size_t>(std::lower_bound(names.begin(), names.end(), name) -
                                        names.begin());
    };
    std::vector<std::string> children;
    const std::size_t first = index_of(root);
    const std::size_t own = index_of(self);
    const std::size_t count = names.size();
    if (own >= count) {
        return children;
    }
    const std::size_t position = (own + count - first) % count;
    for (std::size_t child = fan_out * position + 1; child <= fan_out * (position + 1); ++child) {
        if (child < count) {
            children.push_back(names[(first + child) % count]);
        }
    }
    return children;
}

} // namespace bth::membership
