#include "bth/config/client_table.h"

#include <algorithm>

namespace bth::config {

namespace {

constexpr std::uint16_t no_domain = 0xffff;
constexpr unsigned index_bits = 16;
constexpr std::size_t index_size = std::size_t{1} << index_bits;
constexpr unsigned address_bits = 32;

// The first address behind the block.
std::uint64_t end_of(const ipv4_block& block)
{
    return block.address.bits + (std::uint64_t{1} << (address_bits - block.length));
}

// A block that is open while the ranges are cut; shorter ones lie below it.
struct open_block {
    std::uint64_t end{};
    std::uint16_t domain{};
};

// Outer blocks come before the ones that they contain.
std::vector<client_block> in_order(std::span<const client_block> blocks)
{
    std::vector<client_block> sorted{blocks.begin(), blocks.end()};
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const client_block& a, const client_block& b) { return a.block < b.block; });
    return sorted;
}

} // namespace

client_table::client_table(std::span<const client_block> blocks)
{
    std::vector<open_block> open{{std::uint64_t{1} << address_bits, no_domain}};
    const auto close_until = [&](std::uint64_t address) {
        while (open.size() > 1 && open.back().end <= address) {
            const std::uint64_t end = open.back().end;
            open.pop_back();
            this->add_range(end, open.back().domain);
        }
    };
    this->add_range(0, no_domain);
    for (const client_block& each : in_order(blocks)) {
        close_until(each.block.address.bits);
        open.push_back({end_of(each.block), each.domain.value()});
        this->add_range(each.block.address.bits, each.domain.value());
    }
    close_until(std::uint64_t{1} << address_bits);
    this->starts.shrink_to_fit();
    this->domains.shrink_to_fit();
    this->build_index();
}

void client_table::add_range(std::uint64_t start, std::uint16_t domain)
{
    if (start >> address_bits != 0) {
        return;
    }
    const auto address = static_cast<std::uint32_t>(start);
    if (!this->starts.empty() && this->starts.back() == address) {
        this->starts.pop_back();
        this->domains.pop_back();
    }
    if (!this->domains.empty() && this->domains.back() == domain) {
        return;
    }
    this->starts.push_back(address);
    this->domains.push_back(domain);
}

void client_table::build_index()
{
    this->index.resize(index_size);
    std::size_t range = 0;
    for (std::size_t high = 0; high < index_size; ++high) {
        const auto lowest = static_cast<std::uint32_t>(high << (address_bits - index_bits));
        while (range + 1 < this->starts.size() && this->starts[range + 1] <= lowest) {
            ++range;
        }
        this->index[high] = static_cast<std::uint32_t>(range);
    }
}

std::optional<domain_id> client_table::find(ipv4_address address) const
{
    const std::size_t high = address.bits >> (address_bits - index_bits);
    const std::size_t first = this->index[high];
    const std::size_t last =
        high + 1 < index_size ? this->index[high + 1] : this->starts.size() - 1;
    const auto from = this->starts.begin() + static_cast<std::ptrdiff_t>(first);
    const auto to = this->starts.begin() + static_cast<std::ptrdiff_t>(last + 1);
    const auto behind = std::upper_bound(from, to, address.bits);
    const auto range = static_cast<std::size_t>(behind - this->starts.begin()) - 1;
    if (this->domains[range] == no_domain) {
        return std::nullopt;
    }
    return domain_id{this->domains[range]};
}

std::size_t client_table::bytes() const
{
    return this->starts.capacity() * sizeof(std::uint32_t) +
           this->domains.capacity() * sizeof(std::uint16_t) +
           this->index.capacity() * sizeof(std::uint32_t);
}

} // namespace bth::config
