// Records in a file: length, checksums, and a chain that ties each to all before it.
//
//   record_chain chain{seed};
//   file += chain.encode("first");
//   auto found = read_records(file, seed);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::storage {

// A record is: the length of its body (8 bytes) and the CRC-32 of that; the body; the chained
// checksum (8 bytes), the CRC-32 of body and chained checksum, and a marker byte. Integers are
// little-endian. The chained checksum is the XXH64 of the body, seeded with that of the record
// before.
class record_chain {
public:
    explicit record_chain(std::uint64_t seed) : value{seed} {}

    // The bytes of the next record.
    std::string encode(std::string_view body);

private:
    std::uint64_t value;
};

// A run of records.
struct record_run {
    std::vector<std::string> bodies;
    // Behind the last whole record.
    std::uint64_t end{};
    record_chain chain{0};
    // Bytes behind `end` that are the start of a record whose writing was interrupted: the file
    // ends within it, or all that follows its whole part is zeros.
    std::uint64_t torn_bytes{};
    // What is wrong behind `end`, if it isn't that.
    std::optional<std::string> damage;
};

record_run read_records(std::string_view file, std::uint64_t seed);

} // namespace bth::storage
