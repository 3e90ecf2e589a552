// The targets that the platform's list showed last, with the changes since any revision that a
// reader of the catalog may hold.
//
//   target_catalog catalog;
//   if (catalog.take(list_rows, read_at)) { ... something changed ... }
//   auto news = catalog.since(revision_of_the_reader);
#pragma once

#include "bth/fleet/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::fleet {

class target_catalog {
public:
    // Takes a reading of the list, unless a newer one is held. True if it changed something.
    bool take(std::vector<dispatch::target_facts> rows, time_point read_at);
    // Notes that the list showed the same at `read_at`. False if `digest` is that of another list.
    bool confirm(std::uint64_t digest, time_point read_at);

    catalog_delta since(catalog_revision known) const;
    std::vector<dispatch::target_facts> rows() const;

    bool was_read() const { return this->read; }
    time_point read_at() const { return this->last_read; }
    // The same for equal lists, apart from how cold a target still is.
    std::uint64_t digest() const { return this->contents; }
    catalog_revision revision() const { return this->newest; }
    std::size_t size() const { return this->by_id.size(); }

private:
    struct row {
        dispatch::target_facts facts;
        catalog_revision changed;
    };

    void renew_digest();

    std::map<std::string, row> by_id;
    // Targets that are gone, and the revision in which they went.
    std::map<std::string, catalog_revision> gone;
    catalog_revision newest;
    std::uint64_t contents{};
    time_point last_read;
    bool read{};
};

} // namespace bth::fleet
