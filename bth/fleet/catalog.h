// The targets in the latest reading of the platform's list, with the changes since any earlier
// revision that a reader of the catalog may hold.
//
//   target_catalog catalog;
//   if (catalog.record_reading(list_rows, read_at)) { ... something changed ... }
//   auto delta = catalog.changes_since(revision_of_the_reader);
#pragma once

#include "bth/fleet/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::fleet {

class target_catalog {
public:
    // Replaces the catalog by a reading of the list, unless the catalog holds a newer reading.
    // Returns whether any target was added, removed or changed.
    bool record_reading(std::vector<dispatch::target_info> rows, time_point read_at);
    // Records that a reading at `read_at` showed the list with this digest. Returns false, and
    // changes nothing, if the catalog holds another list.
    bool confirm(std::uint64_t digest, time_point read_at);

    // Returns the changes after `held_revision`, or the full list if that is 0 or a revision that
    // this catalog hasn't reached, such as one of another incarnation.
    catalog_delta changes_since(catalog_revision held_revision) const;
    std::vector<dispatch::target_info> rows() const;

    bool was_read() const { return this->has_reading; }
    time_point read_at() const { return this->latest_read_at; }
    // Equal for equal lists; the remaining cold time of a target doesn't count.
    std::uint64_t digest() const { return this->rows_digest; }
    catalog_revision revision() const { return this->current_revision; }
    std::size_t size() const { return this->by_id.size(); }

private:
    struct row {
        dispatch::target_info facts;
        catalog_revision changed_in;
    };

    void update_digest();

    std::map<std::string, row> by_id;
    // The revision in which each target that is no longer listed was removed.
    std::map<std::string, catalog_revision> removed_in;
    catalog_revision current_revision;
    std::uint64_t rows_digest{};
    time_point latest_read_at;
    bool has_reading{};
};

} // namespace bth::fleet
