#include "bth/steering/retry_budget.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

} // namespace

// clang-format off
TEST_GROUP(retry_budget)
{
    retry_budget budget;
    time_point now{10s};

    void setup() override { this->budget.apply(*small_site(), nullptr); }
};
// clang-format on

TEST(retry_budget, many_failures_add_at_most_the_budgeted_share_of_retries)
{
    int retries = 0;
    constexpr int first_attempts = 5000;
    for (int number = 0; number < first_attempts; ++number) {
        now += 7ms;
        budget.count_first_attempt(web, units_per_first_attempt, now);
        for (int failure = 0; failure < 3; ++failure) {
            retries += budget.spend(web, now) ? 1 : 0;
        }
    }
    CHECK_TRUE(retries <= first_attempts / 10);
    CHECK_TRUE(retries >= first_attempts / 11);
    violations found;
    budget.check(found);
    CHECK_EQUAL(0, found.size());
}

TEST(retry_budget, first_attempts_outside_the_window_allow_no_retry)
{
    for (int number = 0; number < 1000; ++number) {
        budget.count_first_attempt(web, units_per_first_attempt, now);
    }
    CHECK_TRUE(budget.spend(web, now + 9s));
    CHECK_FALSE(budget.spend(web, now + 11s));
}

TEST(retry_budget, the_units_along_any_route_add_up_to_one_first_attempt)
{
    CHECK_EQUAL(units_per_first_attempt, first_attempt_units(0, false));
    CHECK_EQUAL(units_per_first_attempt,
                first_attempt_units(0, true) + first_attempt_units(1, false));
    CHECK_EQUAL(units_per_first_attempt, first_attempt_units(0, true) +
                                             first_attempt_units(1, true) +
                                             first_attempt_units(2, false));
}
