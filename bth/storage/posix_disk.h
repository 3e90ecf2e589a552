// The files of one data folder, locked against other processes.
//
//   auto opened = posix_disk::open("/var/lib/bth-control");
//   if (!opened) { std::cerr << to_string(opened.error()); }
#pragma once

#include "bth/storage/disk.h"

#include <memory>
#include <string>

namespace bth::storage {

class posix_disk {
public:
    // Opens the folder, which must exist (a folder that isn't mounted must not look like a blank
    // one), and locks it as long as the disk lives. The lock goes with the process, however that
    // ends.
    static tl::expected<posix_disk, storage_error> open(const std::string& folder);

    tl::expected<std::optional<std::string>, storage_error> read(const std::string& name);
    disk_result append(const std::string& name, std::string_view bytes);
    disk_result sync(const std::string& name);
    disk_result write_synced(const std::string& name, std::string_view bytes);
    disk_result truncate_synced(const std::string& name, std::uint64_t size);
    disk_result rename(const std::string& from, const std::string& to);
    disk_result sync_folder();

private:
    // Closes its descriptor at the end of its life.
    class descriptor {
    public:
        explicit descriptor(int number) : number{number} {}
        descriptor(const descriptor&) = delete;
        descriptor& operator=(const descriptor&) = delete;
        ~descriptor();
        int get() const { return this->number; }

    private:
        int number;
    };
    using descriptor_ptr = std::shared_ptr<descriptor>;

    explicit posix_disk(std::string folder) : folder{std::move(folder)} {}

    std::string path(const std::string& name) const { return this->folder + "/" + name; }
    tl::expected<descriptor_ptr, storage_error> open_file(const std::string& path, int flags) const;
    static disk_result write_all(const descriptor_ptr& file, const std::string& path,
                                 std::string_view bytes);
    static disk_result sync_file(const descriptor_ptr& file, const std::string& path);

    std::string folder;
    descriptor_ptr folder_file;
    descriptor_ptr lock;
    // The file that was appended to last stays open, so that its sync reports its write errors.
    std::string appended_name;
    descriptor_ptr appended;
};

static_assert(disk<posix_disk>);

} // namespace bth::storage
