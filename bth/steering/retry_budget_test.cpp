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

TEST(retry_budget, a_storm_of_failures_adds_at_most_the_share)
{
    int retries = 0;
    constexpr int first_tries = 5000;
    for (int number = 0; number < first_tries; ++number) {
        now += 7ms;
        budget.count_first_try(web, whole_first_try, now);
        for (int failure = 0; failure < 3; ++failure) {
            retries += budget.spend(web, now) ? 1 : 0;
        }
    }
    CHECK_TRUE(retries <= first_tries / 10);
    CHECK_TRUE(retries >= first_tries / 11);
    violations found;
    budget.check(found);
    CHECK_EQUAL(0, found.size());
}

TEST(retry_budget, first_tries_of_long_ago_justify_no_retry)
{
    for (int number = 0; number < 1000; ++number) {
        budget.count_first_try(web, whole_first_try, now);
    }
    CHECK_TRUE(budget.spend(web, now + 9s));
    CHECK_FALSE(budget.spend(web, now + 11s));
}

TEST(retry_budget, the_parts_of_a_first_try_along_any_way_add_up_to_one)
{
    CHECK_EQUAL(whole_first_try, first_try_part(0, false));
    CHECK_EQUAL(whole_first_try, first_try_part(0, true) + first_try_part(1, false));
    CHECK_EQUAL(whole_first_try,
                first_try_part(0, true) + first_try_part(1, true) + first_try_part(2, false));
}
