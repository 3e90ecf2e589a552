// What went wrong with the data folder, and where.
#pragma once

#include <cstdint>
#include <string>

namespace bth::storage {

enum class storage_error_kind : std::uint8_t {
    io,      // The system refused an operation: no space, no permission, a broken disk.
    locked,  // Another process uses the folder.
    foreign, // The folder belongs to another host.
    damaged, // What was synced once can't be read back.
};

struct storage_error {
    storage_error_kind kind{};
    // The file, and the byte in it where that is known.
    std::string file;
    std::uint64_t offset{};
    // What is wrong and what the system said.
    std::string message;
};

// One line: "FILE at byte OFFSET: MESSAGE".
std::string to_string(const storage_error& error);

} // namespace bth::storage
