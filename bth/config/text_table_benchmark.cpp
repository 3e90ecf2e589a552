// What an edit costs a host by client blocks: applying its delta, and making the checked model.
#include "bth/config/delta.h"

#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

namespace {

using namespace bth;
using namespace bth::config;

entry host_entry(std::int64_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    const auto where = [&](int port) {
        return "\"127." + std::to_string(11 + number / 65536) + "." +
               std::to_string(number / 256 % 256) + "." + std::to_string(number % 256) + ":" +
               std::to_string(port) + "\"";
    };
    return {{section::hosts, name},
            R"({"failure_domain":"d","http":)" + where(8080) + R"(,"name":")" + name +
                R"(","peer":)" + where(9080) + "}"};
}

text_table table_with(std::int64_t blocks, std::int64_t hosts)
{
    delta all;
    const std::string cap = R"("cap":{"in_flight":9,"requests_per_second":9})";
    all.set.push_back({{section::regions, "r"}, R"({"name":"r",)" + cap + "}"});
    all.set.push_back(
        {{section::failure_domains, "d"}, R"({"name":"d","region":"r",)" + cap + "}"});
    all.set.push_back({{section::caller_classes, "public"}, R"({"name":"public"})"});
    for (std::int64_t number = 0; number < hosts; ++number) {
        all.set.push_back(host_entry(number));
    }
    all.domains.emplace_back("d");
    for (std::int64_t number = 0; number < blocks; ++number) {
        constexpr std::uint8_t length = 24;
        const auto address = static_cast<std::uint32_t>(number) << 8U;
        all.blocks_set.push_back({ipv4_address{address}, 0, length});
    }
    text_table table;
    table.merge(all);
    table.shrink_to_fit();
    return table;
}

// Goes back and forth between two tables that differ in one entry.
void apply_one_entry(benchmark::State& state)
{
    text_table table = table_with(state.range(0), 9);
    text_table other = table;
    delta change;
    change.set.push_back(host_entry(1));
    change.set.front().value.insert(1, " ");
    other.merge(change);
    std::uint64_t number = 1;
    for (auto _ : state) {
        state.PauseTiming();
        const bool even = number % 2 == 0;
        text_table& to = even ? table : other;
        text_table& from = even ? other : table;
        to.set_revision(revision{number});
        from.set_revision(revision{number - 1});
        const delta next = difference(from, to);
        text_table copy = from;
        state.ResumeTiming();
        benchmark::DoNotOptimize(copy.apply(next));
        ++number;
    }
}

void read_model(benchmark::State& state)
{
    const text_table table = table_with(state.range(0), state.range(1));
    for (auto _ : state) {
        benchmark::DoNotOptimize(read_table(table));
    }
}

} // namespace

BENCHMARK(apply_one_entry)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(570'000)->Iterations(100);
BENCHMARK(read_model)
    ->Args({1'000, 9})
    ->Args({10'000, 9})
    ->Args({100'000, 9})
    ->Args({570'000, 9})
    ->Args({0, 180})
    ->Args({0, 1800})
    ->Args({570'000, 1800})
    ->Unit(benchmark::kMillisecond);
