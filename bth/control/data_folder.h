// The data folder of one control host that decides alone: one snapshot file, replaced whole.
//
//   auto folder = data_folder::open("/var/lib/bth-control");
//   if (!folder) { std::cerr << folder.error(); }
//   auto saved = folder->replace_snapshot(book.snapshot());
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::control {

// An open data folder, locked against other processes as long as the object lives.
class data_folder {
public:
    // Opens the folder, which must exist, and locks it. An error is one sentence that names the
    // folder and the system's error.
    static tl::expected<data_folder, std::string> open(const std::string& path);

    data_folder(data_folder&& other) noexcept;
    data_folder& operator=(data_folder&& other) noexcept;
    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;
    ~data_folder();

    const std::string& name() const { return this->path; }

    // The snapshot that was saved last, or nothing if none was saved.
    tl::expected<std::optional<std::vector<std::uint8_t>>, std::string> read_snapshot() const;

    // Saves a snapshot: once this returns, file and folder are synced. After an error the snapshot
    // saved before is still there, or this one; which of the two isn't known.
    tl::expected<void, std::string> replace_snapshot(const std::vector<std::uint8_t>& bytes) const;

private:
    data_folder(std::string path, int lock) : path{std::move(path)}, lock{lock} {}

    std::string path;
    int lock{-1};
};

} // namespace bth::control
