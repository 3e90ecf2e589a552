#include "bth/storage/posix_disk.h"

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace bth::storage {

namespace {

constexpr mode_t file_mode = 0640;
constexpr std::size_t read_block = std::size_t{64} * 1024;

storage_error io_error(const std::string& path, const std::string& operation)
{
    const auto reason = std::generic_category().message(errno);
    return {storage_error_kind::io, path, 0, "can't " + operation + ": " + reason};
}

tl::unexpected<storage_error> failed(const std::string& path, const std::string& operation)
{
    return tl::make_unexpected(io_error(path, operation));
}

} // namespace

posix_disk::descriptor::~descriptor()
{
    ::close(this->number);
}

tl::expected<posix_disk, storage_error> posix_disk::open(const std::string& folder)
{
    posix_disk made{folder};
    auto folder_file = made.open_file(folder, O_RDONLY | O_DIRECTORY);
    if (!folder_file) {
        return failed(folder, "open the data folder");
    }
    made.folder_file = *folder_file;
    auto lock = made.open_file(made.path("lock"), O_RDWR | O_CREAT);
    if (!lock) {
        return tl::make_unexpected(lock.error());
    }
    made.lock = *lock;
    if (::flock(made.lock->get(), LOCK_EX | LOCK_NB) != 0) {
        return tl::make_unexpected(storage_error{storage_error_kind::locked, folder, 0,
                                                 "another process uses this data folder"});
    }
    return made;
}

tl::expected<posix_disk::descriptor_ptr, storage_error>
posix_disk::open_file(const std::string& path, int flags) const
{
    const int number = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
    if (number < 0) {
        return failed(path, "open");
    }
    return std::make_shared<descriptor>(number);
}

tl::expected<std::optional<std::string>, storage_error> posix_disk::read(const std::string& name)
{
    const auto path = this->path(name);
    const auto file = this->open_file(path, O_RDONLY);
    if (!file) {
        if (errno == ENOENT) {
            return std::nullopt;
        }
        return tl::make_unexpected(file.error());
    }
    std::string all;
    std::array<char, read_block> block{};
    while (true) {
        const auto count = ::read((*file)->get(), block.data(), block.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return failed(path, "read");
        }
        if (count == 0) {
            return all;
        }
        all.append(block.data(), static_cast<std::size_t>(count));
    }
}

disk_result posix_disk::write_all(const descriptor_ptr& file, const std::string& path,
                                  std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(file->get(), bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return failed(path, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
}

disk_result posix_disk::sync_file(const descriptor_ptr& file, const std::string& path)
{
    if (::fsync(file->get()) != 0) {
        return failed(path, "sync");
    }
    return {};
}

disk_result posix_disk::append(const std::string& name, std::string_view bytes)
{
    const auto path = this->path(name);
    if (this->appended == nullptr || this->appended_name != name) {
        auto file = this->open_file(path, O_WRONLY | O_APPEND);
        if (!file) {
            return tl::make_unexpected(file.error());
        }
        this->appended = *file;
        this->appended_name = name;
    }
    return write_all(this->appended, path, bytes);
}

disk_result posix_disk::sync(const std::string& name)
{
    const auto path = this->path(name);
    if (this->appended != nullptr && this->appended_name == name) {
        return sync_file(this->appended, path);
    }
    const auto file = this->open_file(path, O_RDONLY);
    return file ? sync_file(*file, path) : tl::make_unexpected(file.error());
}

disk_result posix_disk::write_synced(const std::string& name, std::string_view bytes)
{
    const auto path = this->path(name);
    const auto file = this->open_file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file) {
        return tl::make_unexpected(file.error());
    }
    auto written = write_all(*file, path, bytes);
    return written ? sync_file(*file, path) : written;
}

disk_result posix_disk::truncate_synced(const std::string& name, std::uint64_t size)
{
    const auto path = this->path(name);
    const auto file = this->open_file(path, O_WRONLY);
    if (!file) {
        return tl::make_unexpected(file.error());
    }
    if (::ftruncate((*file)->get(), static_cast<off_t>(size)) != 0) {
        return failed(path, "truncate");
    }
    return sync_file(*file, path);
}

disk_result posix_disk::rename(const std::string& from, const std::string& to)
{
    this->appended.reset();
    if (::rename(this->path(from).c_str(), this->path(to).c_str()) != 0) {
        return failed(this->path(to), "replace");
    }
    return {};
}

disk_result posix_disk::sync_folder()
{
    return sync_file(this->folder_file, this->folder);
}

} // namespace bth::storage
