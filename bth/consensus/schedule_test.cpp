#include "bth/consensus/testing/full_disks.h"
#include "bth/consensus/testing/schedule.h"

#include <algorithm>
#include <chrono>
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

// BTH_FIRST_SEED and BTH_SEEDS as above.
TEST(schedule, disks_that_fill_one_after_another_leave_no_member_stopped)
{
    const auto first = from_environment("BTH_FIRST_SEED", 1);
    const auto count = from_environment("BTH_SEEDS", seeds_in_ctest);
    std::size_t failed = 0;
    std::size_t accepted = 0;
    std::size_t stops = 0;
    std::size_t kills = 0;
    bth::duration until_answer{};
    bth::duration until_equal{};
    for (auto seed = first; seed < first + count; ++seed) {
        const auto outcome = bth::consensus::testing::run_full_disks(seed);
        accepted += outcome.accepted;
        stops += outcome.stops;
        kills += outcome.kills;
        until_answer = std::max(until_answer, outcome.until_answer);
        until_equal = std::max(until_equal, outcome.until_equal);
        if (!outcome.violations.empty()) {
            ++failed;
            std::printf("\nseed %llu: %zu violations, first: %s\n",
                        static_cast<unsigned long long>(seed), outcome.violations.size(),
                        outcome.violations.front().c_str());
        }
    }
    using seconds = std::chrono::duration<double>;
    std::printf(
        "\n%llu seeds, %zu failed: %zu edits accepted, %zu stops, %zu kills; at most %.2f s "
        "to an answer, %.2f s until all are equal\n",
        static_cast<unsigned long long>(count), failed, accepted, stops, kills,
        seconds{until_answer}.count(), seconds{until_equal}.count());
    UNSIGNED_LONGS_EQUAL(0, failed);
    CHECK_TRUE(accepted > 0 && stops > 0 && kills > 0);
}
