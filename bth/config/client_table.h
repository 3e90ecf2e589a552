// Finds the failure domain of a caller by its address: the longest client block that contains it.
//
//   client_table table{model.client_blocks};
//   std::optional<domain_id> home = table.find(address);
//
// Nested blocks are cut into disjoint ranges of addresses when the table is made; a look-up is one
// step in an index by the first 16 bits and a binary search among the ranges behind it. A table
// takes 6 bytes a range, at most two ranges a block and one, and 256 KiB for the index.
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/config/model.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bth::config {

class client_table {
public:
    client_table() : client_table{std::span<const client_block>{}} {}
    // Of equal blocks the last counts.
    explicit client_table(std::span<const client_block> blocks);

    // The failure domain of the longest block that contains the address, or nothing.
    std::optional<domain_id> find(ipv4_address address) const;

    std::size_t range_count() const { return this->starts.size(); }
    // Bytes that the table takes.
    std::size_t bytes() const;

private:
    void add_range(std::uint64_t start, std::uint16_t domain);
    void build_index();

    // Range i covers the addresses from starts[i] up to, and without, starts[i + 1].
    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> domains;
    // By the first 16 bits of an address: the range in which its lowest address lies.
    std::vector<std::uint32_t> index;
};

} // namespace bth::config
