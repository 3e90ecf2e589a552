// Durable state in one data folder: who owns it, a snapshot, and a log of records behind it.
//
//   journal<posix_disk> kept{std::move(disk)};
//   auto contents = kept.open();
//   if (contents && !contents->identity) { kept.create(identity); }
//   auto saved = kept.append(record);      // durable once it returns without an error
//   auto replaced = kept.replace(snapshot, records_behind_it);
//
// After an error every later call returns that error and writes nothing, until reopen() has read
// what the disk holds.
#pragma once

#include "bth/storage/disk.h"
#include "bth/storage/record.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace bth::storage {

// A torn tail that was cut off the log.
struct cut_tail {
    std::uint64_t offset{};
    std::uint64_t bytes{};
};

struct journal_contents {
    // Nothing if the folder is blank.
    std::optional<std::string> identity;
    std::optional<std::string> snapshot;
    std::vector<std::string> records;
    std::optional<cut_tail> cut;
};

template <disk Disk>
class journal {
public:
    explicit journal(Disk disk) : files{std::move(disk)} {}

    // Reads everything, and cuts off a torn tail. Damage is an error and changes no file.
    tl::expected<journal_contents, storage_error> open();

    // After an error: cuts off what a failed append left behind the records that were durable, then
    // reads everything as open() does. Nothing of that tail was ever told to anyone, and a system
    // that reported a failed sync once may call the same bytes synced later. Nothing is cut in a
    // folder that isn't this journal's any more.
    tl::expected<journal_contents, storage_error> reopen();

    // Gives a blank folder its owner. A crash in between leaves it blank.
    disk_result create(const std::string& identity);

    disk_result append(const std::string& record);

    // Replaces the snapshot, then the log by these records. A crash in between leaves the new
    // snapshot with the old log.
    disk_result replace(const std::string& snapshot, const std::vector<std::string>& records);

    // Bytes of the log since it was last replaced.
    std::uint64_t log_size() const { return this->size; }

private:
    static constexpr const char* identity_name = "identity";
    static constexpr const char* snapshot_name = "snapshot";
    static constexpr const char* log_name = "log";
    // The first record of every log, and the seed of the files of one record.
    static constexpr std::string_view log_header = "bth-log-1";
    static constexpr std::uint64_t single_seed = 1;

    disk_result fail(storage_error error)
    {
        this->failure = error;
        return tl::make_unexpected(std::move(error));
    }
    disk_result checked(disk_result done)
    {
        return done ? done : this->fail(std::move(done.error()));
    }
    static tl::unexpected<storage_error> damaged(const std::string& file, std::uint64_t offset,
                                                 std::string message)
    {
        return tl::make_unexpected(
            storage_error{storage_error_kind::damaged, file, offset, std::move(message)});
    }
    tl::expected<std::optional<std::string>, storage_error> read_single(const std::string& name);
    disk_result write_atomic(const std::string& name, std::string_view bytes);
    disk_result read_log(journal_contents& contents);
    disk_result write_log(const std::vector<std::string>& records);

    Disk files;
    std::uint64_t seed{};
    record_chain chain{0};
    std::uint64_t size{};
    std::optional<storage_error> failure;
    // Whether an append failed, so that the log may be longer than `size`.
    bool has_failed_tail{};
};

template <disk Disk>
tl::expected<journal_contents, storage_error> journal<Disk>::reopen()
{
    if (this->has_failed_tail) {
        const auto owner = this->read_single(identity_name);
        if (!owner) {
            return tl::make_unexpected(owner.error());
        }
        if (!*owner || XXH64((*owner)->data(), (*owner)->size(), single_seed) != this->seed) {
            return damaged(identity_name, 0,
                           *owner ? "it is that of " + **owner + " now" : "it is missing");
        }
        auto cut = this->files.truncate_synced(log_name, this->size);
        if (!cut) {
            return tl::make_unexpected(std::move(cut.error()));
        }
        this->has_failed_tail = false;
    }
    this->failure.reset();
    return this->open();
}

template <disk Disk>
tl::expected<journal_contents, storage_error> journal<Disk>::open()
{
    journal_contents contents;
    for (auto [name, part] : {std::pair{identity_name, &contents.identity},
                              std::pair{snapshot_name, &contents.snapshot}}) {
        auto read = this->read_single(name);
        if (!read) {
            this->failure = read.error();
            return tl::make_unexpected(read.error());
        }
        *part = std::move(*read);
    }
    if (contents.identity) {
        this->seed = XXH64(contents.identity->data(), contents.identity->size(), single_seed);
    }
    auto done = this->read_log(contents);
    if (!done) {
        this->failure = done.error();
        return tl::make_unexpected(done.error());
    }
    return contents;
}

template <disk Disk>
disk_result journal<Disk>::read_log(journal_contents& contents)
{
    auto file = this->files.read(log_name);
    if (!file) {
        return tl::make_unexpected(file.error());
    }
    if (!contents.identity) {
        const auto longest = record_chain{0}.encode(log_header).size();
        const bool blank = !contents.snapshot && (!*file || (*file)->size() <= longest);
        return blank ? disk_result{} : damaged(identity_name, 0, "it is missing beside a log");
    }
    if (!*file) {
        return damaged(log_name, 0, "it is missing");
    }
    // What an earlier process wrote and never synced is readable, yet a loss of power would take it
    // back.
    auto synced = this->files.sync(log_name);
    if (synced) {
        synced = this->files.sync_folder();
    }
    if (!synced) {
        return synced;
    }
    auto run = read_records(**file, this->seed);
    if (run.damage) {
        return damaged(log_name, run.end, *run.damage);
    }
    if (run.bodies.empty() || run.bodies.front() != log_header) {
        return damaged(log_name, 0, "it doesn't start as a log");
    }
    if (run.torn_bytes != 0) {
        contents.cut = cut_tail{run.end, run.torn_bytes};
        auto cut = this->files.truncate_synced(log_name, run.end);
        if (!cut) {
            return cut;
        }
    }
    this->chain = run.chain;
    this->size = run.end;
    contents.records.assign(std::make_move_iterator(run.bodies.begin() + 1),
                            std::make_move_iterator(run.bodies.end()));
    return {};
}

template <disk Disk>
tl::expected<std::optional<std::string>, storage_error>
journal<Disk>::read_single(const std::string& name)
{
    auto file = this->files.read(name);
    if (!file || !*file) {
        return file;
    }
    auto run = read_records(**file, single_seed);
    if (run.damage || run.torn_bytes != 0 || run.bodies.size() != 1) {
        return damaged(name, run.end, run.damage.value_or("it isn't one whole record"));
    }
    return std::move(run.bodies.front());
}

template <disk Disk>
disk_result journal<Disk>::write_atomic(const std::string& name, std::string_view bytes)
{
    const auto fresh = name + ".new";
    auto done = this->files.write_synced(fresh, bytes);
    if (done) {
        done = this->files.rename(fresh, name);
    }
    return done ? this->files.sync_folder() : done;
}

template <disk Disk>
disk_result journal<Disk>::write_log(const std::vector<std::string>& records)
{
    record_chain fresh{this->seed};
    auto bytes = fresh.encode(log_header);
    for (const auto& record : records) {
        bytes += fresh.encode(record);
    }
    auto done = this->write_atomic(log_name, bytes);
    if (done) {
        this->chain = fresh;
        this->size = bytes.size();
    }
    return done;
}

template <disk Disk>
disk_result journal<Disk>::create(const std::string& identity)
{
    if (this->failure) {
        return tl::make_unexpected(*this->failure);
    }
    this->seed = XXH64(identity.data(), identity.size(), single_seed);
    auto done = this->write_log({});
    if (done) {
        done = this->write_atomic(identity_name, record_chain{single_seed}.encode(identity));
    }
    return this->checked(std::move(done));
}

template <disk Disk>
disk_result journal<Disk>::append(const std::string& record)
{
    if (this->failure) {
        return tl::make_unexpected(*this->failure);
    }
    const auto bytes = this->chain.encode(record);
    auto done = this->files.append(log_name, bytes);
    if (done) {
        done = this->files.sync(log_name);
    }
    if (done) {
        this->size += bytes.size();
    }
    else {
        this->has_failed_tail = true;
    }
    return this->checked(std::move(done));
}

template <disk Disk>
disk_result journal<Disk>::replace(const std::string& snapshot,
                                   const std::vector<std::string>& records)
{
    if (this->failure) {
        return tl::make_unexpected(*this->failure);
    }
    auto done = this->write_atomic(snapshot_name, record_chain{single_seed}.encode(snapshot));
    if (done) {
        done = this->write_log(records);
    }
    return this->checked(std::move(done));
}

} // namespace bth::storage
