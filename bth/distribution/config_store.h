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
        config_store made{storage::journal<Disk>{std::move(disk)}, identity};
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
            return made.foreign(*contents->identity);
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
    //
    // After an error the disk may hold the order or not, so that only a whole table is taken next.
    // It is saved once the disk takes writes again, if the folder is still this host's.
    storage::disk_result save(const membership::persist_order& order,
                              const config::text_table& table)
    {
        if (this->failed) {
            auto usable = order.whole ? this->reopen() : this->needs_whole(order.upto);
            if (!usable) {
                return usable;
            }
        }
        auto done = order.whole ? this->files.replace(internal::encode_snapshot(table), {})
                                : this->files.append(internal::encode_edits(order.edits));
        this->failed = !done;
        return done;
    }

private:
    config_store(storage::journal<Disk> files, std::string identity)
        : files{std::move(files)}, identity{std::move(identity)}
    {}

    tl::unexpected<storage::storage_error> foreign(const std::string& found) const
    {
        return tl::make_unexpected(
            storage::storage_error{storage::storage_error_kind::foreign, "identity", 0,
                                   "it holds the " + found + ", not the " + this->identity});
    }

    static storage::disk_result needs_whole(revision upto)
    {
        return tl::make_unexpected(
            storage::storage_error{storage::storage_error_kind::io, "log", 0,
                                   "edits up to revision " + std::to_string(upto.value()) +
                                       " can't follow a save that failed; the whole table can"});
    }

    storage::disk_result reopen()
    {
        const auto contents = this->files.reopen();
        if (!contents) {
            return tl::make_unexpected(contents.error());
        }
        if (!contents->identity) {
            return tl::make_unexpected(storage::storage_error{storage::storage_error_kind::damaged,
                                                              "identity", 0, "it is missing"});
        }
        if (*contents->identity != this->identity) {
            return this->foreign(*contents->identity);
        }
        return {};
    }

    storage::journal<Disk> files;
    std::string identity;
    // Whether the last save failed.
    bool failed{};
    std::optional<config::text_table> table;
};

} // namespace bth::distribution
