#include "bth/config/client_table.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(client_table) {};
// clang-format on

namespace {

using bth::config::client_block;
using bth::config::client_table;

client_block block(const char* text, std::uint16_t domain)
{
    return {bth::parse_ipv4_block(text).value(), bth::domain_id{domain}};
}

std::optional<bth::domain_id> find(const client_table& table, const char* address)
{
    return table.find(bth::parse_ipv4_address(address).value());
}

// The answer by the definition: the longest of all blocks that contain the address.
std::optional<bth::domain_id> longest_match(const std::vector<client_block>& blocks,
                                            bth::ipv4_address address)
{
    const client_block* best = nullptr;
    for (const client_block& each : blocks) {
        if (bth::contains(each.block, address) &&
            (best == nullptr || each.block.length >= best->block.length)) {
            best = &each;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->domain};
}

std::vector<client_block> random_blocks(std::mt19937_64& random, std::size_t count)
{
    std::vector<client_block> blocks;
    while (blocks.size() < count) {
        // Few distinct high bits, so that blocks nest often.
        const auto length = static_cast<std::uint8_t>(random() % 33);
        const auto bits = static_cast<std::uint32_t>(random()) & 0xc0c00fffU;
        const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t{0} << (32U - length);
        blocks.push_back(
            {{{bits & mask}, length}, bth::domain_id{static_cast<std::uint16_t>(random() % 7)}});
    }
    return blocks;
}

} // namespace

TEST(client_table, empty_table_knows_nobody)
{
    CHECK_FALSE(find(client_table{}, "10.0.0.1").has_value());
}

TEST(client_table, longest_block_wins)
{
    const std::vector<client_block> blocks{block("10.0.0.0/8", 1), block("10.3.0.0/16", 2),
                                           block("10.3.7.0/24", 3), block("10.3.7.9/32", 4)};
    const client_table table{blocks};
    CHECK_TRUE(find(table, "10.1.1.1") == bth::domain_id{1});
    CHECK_TRUE(find(table, "10.3.6.255") == bth::domain_id{2});
    CHECK_TRUE(find(table, "10.3.7.8") == bth::domain_id{3});
    CHECK_TRUE(find(table, "10.3.7.9") == bth::domain_id{4});
    CHECK_TRUE(find(table, "10.3.7.10") == bth::domain_id{3});
    CHECK_TRUE(find(table, "10.3.8.0") == bth::domain_id{2});
    CHECK_TRUE(find(table, "10.255.255.255") == bth::domain_id{1});
    CHECK_FALSE(find(table, "11.0.0.0").has_value());
    CHECK_FALSE(find(table, "9.255.255.255").has_value());
}

TEST(client_table, whole_address_space_is_a_block_too)
{
    const std::vector<client_block> blocks{block("0.0.0.0/0", 5), block("255.255.255.255/32", 6)};
    const client_table table{blocks};
    CHECK_TRUE(find(table, "0.0.0.0") == bth::domain_id{5});
    CHECK_TRUE(find(table, "255.255.255.254") == bth::domain_id{5});
    CHECK_TRUE(find(table, "255.255.255.255") == bth::domain_id{6});
}

TEST(client_table, agrees_with_the_definition_on_random_nested_blocks)
{
    constexpr std::uint64_t seed = 570000;
    std::mt19937_64 random{seed};
    for (int round = 0; round < 40; ++round) {
        const auto blocks = random_blocks(random, 1 + random() % 60);
        const client_table table{blocks};
        for (const client_block& each : blocks) {
            const std::uint32_t first = each.block.address.bits;
            const std::uint32_t size_less_one =
                each.block.length == 0 ? ~std::uint32_t{0}
                                       : (std::uint32_t{1} << (32U - each.block.length)) - 1;
            for (const std::uint32_t address :
                 {first, first - 1, first + size_less_one, first + size_less_one + 1}) {
                CHECK_TRUE(table.find({address}) == longest_match(blocks, {address}));
            }
        }
    }
}
