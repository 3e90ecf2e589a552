#include "bth/consensus/testing/schedule.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::uint64_t seeds_in_ctest = 300;

std::uint64_t from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

// clang-format off
TEST_GROUP(schedule) {};
// clang-format on

// BTH_FIRST_SEED and BTH_SEEDS choose the seeds; one failing seed is replayed with
// BTH_FIRST_SEED=N BTH_SEEDS=1.
TEST(schedule, no_invariant_breaks_under_random_faults)
{
    const auto first = from_environment("BTH_FIRST_SEED", 1);
    const auto count = from_environment("BTH_SEEDS", seeds_in_ctest);
    std::size_t accepted = 0;
    std::size_t lost = 0;
    std::size_t kills = 0;
    std::size_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto outcome = bth::consensus::testing::run_schedule(seed);
        accepted += outcome.accepted;
        lost += outcome.disks_lost;
        kills += outcome.kills;
        if (!outcome.violations.empty()) {
            ++failed;
            std::printf("\nseed %llu: %zu violations, first: %s\n",
                        static_cast<unsigned long long>(seed), outcome.violations.size(),
                        outcome.violations.front().c_str());
        }
    }
    std::printf("\n%llu seeds, %zu failed: %zu edits accepted, %zu kills, %zu disks lost\n",
                static_cast<unsigned long long>(count), failed, accepted, kills, lost);
    UNSIGNED_LONGS_EQUAL(0, failed);
    CHECK_TRUE(accepted > 0);
}
