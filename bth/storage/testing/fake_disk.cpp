#include "bth/storage/testing/fake_disk.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::storage::testing {

namespace {

std::size_t up_to(std::mt19937_64& generator, std::size_t most)
{
    return boost::random::uniform_int_distribution<std::size_t>{0, most}(generator);
}

// What a crash leaves of a file.
std::string remains(const fake_medium::file& file, std::mt19937_64& generator)
{
    if (file.now == file.synced || !file.now.starts_with(file.synced)) {
        return file.synced;
    }
    const auto unsynced = file.now.size() - file.synced.size();
    const auto kept = up_to(generator, unsynced);
    auto left = file.now.substr(0, file.synced.size() + kept);
    if (up_to(generator, 3) == 0) {
        left.append(unsynced - kept, '\0');
    }
    return left;
}

} // namespace

void fake_medium::crash(std::mt19937_64& generator)
{
    this->now = this->versions.at(up_to(generator, this->versions.size() - 1));
    for (auto& [name, each] : this->now) {
        const auto left = remains(*each, generator);
        each = std::make_shared<file>(file{left, left});
    }
    this->versions = {this->now};
}

void fake_medium::lose()
{
    this->now.clear();
    this->versions = {{}};
}

tl::expected<std::optional<std::string>, storage_error> fake_disk::read(const std::string& name)
{
    const auto found = this->medium->now.find(name);
    if (found == this->medium->now.end()) {
        return std::nullopt;
    }
    return found->second->now;
}

disk_result fake_disk::may_write(const std::string& name)
{
    auto& left = this->medium->fails_after;
    if (left == std::size_t{0}) {
        return tl::make_unexpected(
            storage_error{storage_error_kind::io, name, 0, "can't write: no space left"});
    }
    if (left) {
        --*left;
    }
    return {};
}

disk_result fake_disk::append(const std::string& name, std::string_view bytes)
{
    auto allowed = this->may_write(name);
    auto& content = this->medium->now.at(name)->now;
    // A full disk takes a part of the bytes.
    content.append(allowed ? bytes : bytes.substr(0, bytes.size() / 2));
    return allowed;
}

disk_result fake_disk::sync(const std::string& name)
{
    auto allowed = this->may_write(name);
    if (allowed) {
        auto& file = *this->medium->now.at(name);
        file.synced = file.now;
        ++this->medium->syncs;
    }
    return allowed;
}

disk_result fake_disk::write_synced(const std::string& name, std::string_view bytes)
{
    auto allowed = this->may_write(name);
    if (allowed) {
        const std::string content{bytes};
        this->medium->now[name] =
            std::make_shared<fake_medium::file>(fake_medium::file{content, content});
        this->medium->versions.push_back(this->medium->now);
    }
    return allowed;
}

disk_result fake_disk::truncate_synced(const std::string& name, std::uint64_t size)
{
    auto allowed = this->may_write(name);
    if (allowed) {
        auto& file = *this->medium->now.at(name);
        file.now.resize(size);
        file.synced = file.now;
    }
    return allowed;
}

disk_result fake_disk::rename(const std::string& from, const std::string& to)
{
    auto allowed = this->may_write(to);
    if (allowed) {
        auto node = this->medium->now.extract(from);
        this->medium->now[to] = std::move(node.mapped());
        this->medium->versions.push_back(this->medium->now);
    }
    return allowed;
}

disk_result fake_disk::sync_folder()
{
    auto allowed = this->may_write("folder");
    if (allowed) {
        this->medium->versions = {this->medium->now};
    }
    return allowed;
}

} // namespace bth::storage::testing
