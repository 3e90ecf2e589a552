// A disk in memory that forgets what was not synced, tears writes and returns errors.
//
//   auto medium = std::make_shared<fake_medium>();
//   fake_disk disk{medium};
//   medium->crash(generator);        // as after a loss of power
//   medium->fails_after = 3;         // the fourth operation that writes fails, and all after it
#pragma once

#include "bth/storage/disk.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bth::storage::testing {

// The files, which outlive the process that uses them.
struct fake_medium {
    struct file {
        std::string synced;
        std::string now;
    };
    using folder = std::map<std::string, std::shared_ptr<file>>;

    // Keeps what was synced, and of the rest as much as a real disk might: some renames, in their
    // order, and of each file a part of its unsynced bytes, at times followed by zeros.
    void crash(std::mt19937_64& generator);

    // Loses everything, as a new disk.
    void lose();

    folder now;
    // The folder as synced, and after each change since.
    std::vector<folder> versions{{}};
    // Writes that still succeed; none fails if this is unset.
    std::optional<std::size_t> fails_after;
    std::size_t syncs{};
};

class fake_disk {
public:
    explicit fake_disk(std::shared_ptr<fake_medium> medium) : medium{std::move(medium)} {}

    tl::expected<std::optional<std::string>, storage_error> read(const std::string& name);
    disk_result append(const std::string& name, std::string_view bytes);
    disk_result sync(const std::string& name);
    disk_result write_synced(const std::string& name, std::string_view bytes);
    disk_result truncate_synced(const std::string& name, std::uint64_t size);
    disk_result rename(const std::string& from, const std::string& to);
    disk_result sync_folder();

private:
    disk_result may_write(const std::string& name);

    std::shared_ptr<fake_medium> medium;
};

static_assert(disk<fake_disk>);

} // namespace bth::storage::testing
