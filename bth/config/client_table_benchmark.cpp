// Bytes and time per look-up of the client table by its number of blocks.
#include "bth/config/client_table.h"

#include <random>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using bth::config::client_block;
using bth::config::client_table;

constexpr std::uint64_t seed = 7;
constexpr std::uint16_t domain_count = 44;

// Blocks of 16 to 28 bits all over the address space, as client networks are.
std::vector<client_block> make_blocks(std::size_t count)
{
    std::mt19937_64 random{seed};
    std::vector<client_block> blocks;
    blocks.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto length = static_cast<std::uint8_t>(16 + random() % 13);
        const std::uint32_t mask = ~std::uint32_t{0} << (32U - length);
        const auto address = static_cast<std::uint32_t>(random()) & mask;
        blocks.push_back({{{address}, length},
                          bth::domain_id{static_cast<std::uint16_t>(random() % domain_count)}});
    }
    return blocks;
}

void find_home(benchmark::State& state)
{
    const auto blocks = make_blocks(static_cast<std::size_t>(state.range(0)));
    const client_table table{blocks};
    std::mt19937_64 random{seed + 1};
    std::vector<bth::ipv4_address> addresses(65536);
    for (auto& each : addresses) {
        each.bits = static_cast<std::uint32_t>(random());
    }
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find(addresses[next++ % addresses.size()]));
    }
    state.counters["bytes"] = static_cast<double>(table.bytes());
    state.counters["ranges"] = static_cast<double>(table.range_count());
}

void make_table(benchmark::State& state)
{
    const auto blocks = make_blocks(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(client_table{blocks}.range_count());
    }
}

BENCHMARK(find_home)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(570000);
BENCHMARK(make_table)->Arg(570000)->Unit(benchmark::kMillisecond);

} // namespace
