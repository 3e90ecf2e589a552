#include "bth/control/data_folder.h"

#include "bth/shell/files.h"

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace bth::control {

namespace {

constexpr const char* lock_name = "/lock";
constexpr const char* snapshot_name = "/edits.snapshot";
constexpr const char* unfinished_name = "/edits.snapshot.new";
constexpr mode_t file_mode = 0600;

tl::unexpected<std::string> failed(const std::string& step, const std::string& path)
{
    return tl::unexpected{"can't " + step + " \"" + path +
                          "\": " + std::generic_category().message(errno)};
}

// Closes a file descriptor at the end of its scope.
class open_file {
public:
    open_file(const std::string& path, int flags) : fd{::open(path.c_str(), flags, file_mode)} {}
    open_file(const open_file&) = delete;
    open_file& operator=(const open_file&) = delete;
    ~open_file()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
    }

    bool valid() const { return this->fd >= 0; }
    int get() const { return this->fd; }

private:
    int fd;
};

bool write_all(int fd, const std::vector<std::uint8_t>& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t step = ::write(fd, bytes.data() + written, bytes.size() - written);
        if (step < 0 && errno == EINTR) {
            continue;
        }
        if (step < 0) {
            return false;
        }
        written += static_cast<std::size_t>(step);
    }
    return true;
}

tl::expected<void, std::string> write_synced(const std::string& path,
                                             const std::vector<std::uint8_t>& bytes)
{
    const open_file file{path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC};
    if (!file.valid()) {
        return failed("create", path);
    }
    if (!write_all(file.get(), bytes)) {
        return failed("write", path);
    }
    if (::fsync(file.get()) != 0) {
        return failed("sync", path);
    }
    return {};
}

tl::expected<void, std::string> sync_folder(const std::string& path)
{
    const open_file folder{path, O_RDONLY | O_DIRECTORY | O_CLOEXEC};
    if (!folder.valid() || ::fsync(folder.get()) != 0) {
        return failed("sync", path);
    }
    return {};
}

} // namespace

tl::expected<data_folder, std::string> data_folder::open(const std::string& path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
        return tl::unexpected{"can't open the data folder \"" + path +
                              "\": " + (error ? error.message() : "it is no folder")};
    }
    const std::string lock_path = path + lock_name;
    const int lock = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock < 0) {
        return failed("open", lock_path);
    }
    data_folder out{path, lock};
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        if (errno == EWOULDBLOCK) {
            return tl::unexpected{"another process uses the data folder \"" + path + "\""};
        }
        return failed("lock", lock_path);
    }
    return out;
}

data_folder::data_folder(data_folder&& other) noexcept
    : path{std::move(other.path)}, lock{std::exchange(other.lock, -1)}
{}

data_folder& data_folder::operator=(data_folder&& other) noexcept
{
    std::swap(this->path, other.path);
    std::swap(this->lock, other.lock);
    return *this;
}

data_folder::~data_folder()
{
    if (this->lock >= 0) {
        ::close(this->lock);
    }
}

tl::expected<std::optional<std::vector<std::uint8_t>>, std::string>
data_folder::read_snapshot() const
{
    const std::string file = this->path + snapshot_name;
    std::error_code error;
    const bool exists = std::filesystem::exists(file, error);
    if (error) {
        return tl::unexpected{"can't read \"" + file + "\": " + error.message()};
    }
    if (!exists) {
        return std::nullopt;
    }
    const auto text = shell::read_file(file);
    if (!text) {
        return tl::unexpected{text.error()};
    }
    return std::vector<std::uint8_t>{text->begin(), text->end()};
}

tl::expected<void, std::string>
data_folder::replace_snapshot(const std::vector<std::uint8_t>& bytes) const
{
    const std::string unfinished = this->path + unfinished_name;
    const std::string file = this->path + snapshot_name;
    if (auto written = write_synced(unfinished, bytes); !written) {
        return written;
    }
    if (::rename(unfinished.c_str(), file.c_str()) != 0) {
        return failed("replace", file);
    }
    return sync_folder(this->path);
}

} // namespace bth::control
