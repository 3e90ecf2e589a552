// Which hosts a configuration names, and in which failure domains; all that distribution needs of
// it.
//
//   std::vector<host_place> hosts = hosts_of(table);
#pragma once

#include "bth/config/text_table.h"

#include <string>
#include <vector>

namespace bth::membership {

struct host_place {
    std::string host;
    std::string failure_domain;
    friend bool operator==(const host_place&, const host_place&) = default;
};

// The hosts of a table, by name.
std::vector<host_place> hosts_of(const config::text_table& table);

// A digest of the table's hosts alone, which tells whether hosts_of() would give something else.
config::table_digest hosts_digest(const config::text_table& table);

// The names of the hosts of one failure domain.
std::vector<std::string> hosts_in(const std::vector<host_place>& hosts,
                                  const std::string& failure_domain);

// The children of `self` in a tree of the given fan-out over `names`, sorted, whose root is `root`.
// Hosts that hold the same names compute one tree; if they differ, some get nothing or get it
// twice.
std::vector<std::string> tree_children(const std::vector<std::string>& names,
                                       const std::string& root, const std::string& self,
                                       std::size_t fan_out);

} // namespace bth::membership
