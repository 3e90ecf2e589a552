#include "bth/shell/receive_budget.h"

#include <cstddef>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using bth::shell::receive_budget;
using bth::shell::receive_limits;

constexpr std::size_t kibibyte = 1024;
constexpr receive_limits limits{1024 * kibibyte, 2048 * kibibyte, 256 * kibibyte};

struct sender {
    std::unique_ptr<receive_budget::share> held;
    std::size_t bytes{};
};

} // namespace

// clang-format off
TEST_GROUP(receive_budget) {};
// clang-format on

// A flood: so many senders write 8 KiB in turn without end, and each comes back when it is given
// up.
TEST(receive_budget, senders_without_end_take_bounded_memory_together)
{
    for (const std::size_t count : {1UL, 8UL, 64UL}) {
        receive_budget budget{limits};
        std::vector<sender> senders(count);
        std::size_t most = 0;
        for (std::size_t step = 0; step < 100'000; ++step) {
            auto& each = senders.at(step % count);
            if (!each.held) {
                each.held = std::make_unique<receive_budget::share>(budget);
                each.bytes = 0;
            }
            each.bytes += 8 * kibibyte;
            if (!each.held->grow_to(each.bytes)) {
                each.held.reset();
            }
            most = most < budget.bytes() ? budget.bytes() : most;
        }
        CHECK_COMPARE(most, <=, limits.total + count * receive_budget::small);
        senders.clear();
        LONGS_EQUAL(0, budget.bytes());
    }
}

TEST(receive_budget, small_message_is_never_given_up)
{
    receive_budget budget{limits};
    receive_budget::share large{budget};
    CHECK_FALSE(large.grow_to(16 * limits.total));
    receive_budget::share small{budget};
    CHECK_TRUE(small.grow_to(receive_budget::small));
}

TEST(receive_budget, medium_message_is_read_on_beside_a_large_one_that_is_given_up)
{
    receive_budget budget{limits};
    receive_budget::share large{budget};
    receive_budget::share medium{budget};
    CHECK_TRUE(large.grow_to(limits.shared));
    CHECK_TRUE(medium.grow_to(limits.guaranteed));
    CHECK_FALSE(large.grow_to(limits.shared + 1));
}
