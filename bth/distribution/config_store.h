// The configuration of a host on its disk: a snapshot of the table and the edits since.
//
//   auto opened = config_store<posix_disk>::open(std::move(disk), "entry-a");
//   agent core{settings, opened->stored()};
//   auto saved = opened->save(order, table);   // durable once it returns without an error
#pragma once

#include "bth/config/delta.h"
#include "bth/membership/messages.h"
#include "bth/membership/replica.h"
#include "bth/storage/journal.h"

#include <optional>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace bth::distribution {

namespace internal {

// The bytes that stand in the snapshot and in one record of the log.
std::string encode_snapshot(const config::text_table& table);
std::string encode_edits(const std::vector<membership::shared_bytes>& edits);

// The table that a folder's contents make: nothing if it holds none, an error with its place if
// what is there doesn't fit together.
tl::expected<std::optional<config::text_table>, storage::storage_error>
read_table(const storage::journal_contents& contents);

} // namespace internal

template <storage::disk Disk>
class config_store {
public:
    // Reads the folder, which belongs to `host` from its first use on.
    static tl::expected<config_store, storage::storage_error> open(Disk disk,
                                                                   const std::string& host)
    {
        const std::string identity = "configuration of " + host;
        config_store made{storage::journal<Disk>{std::move(disk)}};
        auto contents = made.files.open();
        if (!contents) {
            return tl::make_unexpected(contents.error());
        }
        if (!contents->identity) {
            if (auto created = made.files.create(identity); !created) {
                return tl::make_unexpected(created.error());
            }
            return made;
        }
        if (*contents->identity != identity) {
            return tl::make_unexpected(storage::storage_error{
                storage::storage_error_kind::foreign, "identity", 0,
                "it holds the " + *contents->identity + ", not the " + identity});
        }
        auto table = internal::read_table(*contents);
        if (!table) {
            return tl::make_unexpected(table.error());
        }
        made.table = std::move(*table);
        return made;
    }

    // What the disk held when it was opened; given away once.
    std::optional<config::text_table> take_stored() { return std::exchange(this->table, {}); }

    // Carries out an order; `table` is the whole table at order.upto, used if the order is for it.
    storage::disk_result save(const membership::persist_order& order,
                              const config::text_table& table)
    {
        if (order.whole) {
            return this->files.replace(internal::encode_snapshot(table), {});
        }
        return this->files.append(internal::encode_edits(order.edits));
    }

private:
    explicit config_store(storage::journal<Disk> files) : files{std::move(files)} {}

    storage::journal<Disk> files;
    std::optional<config::text_table> table;
};

} // namespace bth::distribution
