// A folder of files as the journal sees it: a concept with a POSIX model and a fake one for tests.
#pragma once

#include "bth/storage/storage_error.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace bth::storage {

using disk_result = tl::expected<void, storage_error>;

// A model's operations return only after the system has done them. What is written lasts only once
// it is synced: append() is followed by sync(), rename() by sync_folder().
template <class Disk>
concept disk = requires(Disk each, const std::string& name, std::string_view bytes)
{
    // The whole file, or nothing if there is none.
    {
        each.read(name)
        } -> std::same_as<tl::expected<std::optional<std::string>, storage_error>>;
    // Adds to the end of the file, which exists.
    {
        each.append(name, bytes)
        } -> std::same_as<disk_result>;
    {
        each.sync(name)
        } -> std::same_as<disk_result>;
    // Makes the file anew with these bytes, and syncs the file.
    {
        each.write_synced(name, bytes)
        } -> std::same_as<disk_result>;
    // Cuts the file to its first `size` bytes, and syncs the file.
    {
        each.truncate_synced(name, std::uint64_t{})
        } -> std::same_as<disk_result>;
    // Gives the file another name, in place of the file that had it.
    {
        each.rename(name, name)
        } -> std::same_as<disk_result>;
    {
        each.sync_folder()
        } -> std::same_as<disk_result>;
};

} // namespace bth::storage
