#include "bth/gateway/target_signals.h"

#include <chrono>
#include <cmath>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::gateway::read_target_signals;

} // namespace

// clang-format off
TEST_GROUP(target_signals) {};
// clang-format on

TEST(target_signals, only_the_value_1_says_that_a_target_leaves)
{
    CHECK_TRUE(read_target_signals({.leaving = "1"}, false).leaves);
    CHECK_TRUE(read_target_signals({.leaving = " 1\t"}, true).leaves);
    for (const auto* text : {"", "0", "11", "true", "1,1", "-1"}) {
        CHECK_FALSE(read_target_signals({.leaving = text}, true).leaves);
    }
}

TEST(target_signals, rest_is_a_positive_number_of_seconds_of_an_unavailable_target)
{
    CHECK(*read_target_signals({.retry_after = "2"}, true).rest == 2s);
    CHECK(*read_target_signals({.retry_after = " 0.25 "}, true).rest == 250ms);
    CHECK(*read_target_signals({.retry_after = "1e300"}, true).rest == 24h);
    CHECK_FALSE(read_target_signals({.retry_after = "2"}, false).rest.has_value());
    CHECK_FALSE(read_target_signals({.retry_after = ""}, true).has_unreadable_rest);
    for (const auto* text : {"0", "-1", "nan", "inf", "-inf", "1e400", "1e-400", "0.5abc", "2,3",
                             "+2", "0x10", ".", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const auto signals = read_target_signals({.retry_after = text}, true);
        CHECK_FALSE(signals.rest.has_value());
        CHECK_TRUE(signals.has_unreadable_rest);
    }
}

TEST(target_signals, limit_is_a_number_that_is_not_negative)
{
    DOUBLES_EQUAL(1.2, *read_target_signals({.limit = "1.2"}, false).limit, 1e-9);
    DOUBLES_EQUAL(0, *read_target_signals({.limit = " 0 "}, true).limit, 0);
    DOUBLES_EQUAL(1e300, *read_target_signals({.limit = "1e300"}, true).limit, 1e290);
    CHECK_FALSE(read_target_signals({}, false).has_unreadable_limit);
    for (const auto* text :
         {"-1", "-0", "nan", "inf", "-inf", "1e400", "1.2.3", "2,3", "+2", "0x10", ".", "many"}) {
        const auto signals = read_target_signals({.limit = text}, false);
        CHECK_FALSE(signals.limit.has_value());
        CHECK_TRUE(signals.has_unreadable_limit);
    }
}

TEST(target_signals, any_bytes_give_no_rest_or_a_bounded_one)
{
    std::mt19937_64 generator{27};
    const std::string alphabet{"0123456789.eE+-infNA x,\t:\0\xff", 27};
    for (int i = 0; i < 200000; ++i) {
        std::string text;
        for (auto length = generator() % 24; length > 0; --length) {
            text += generator() % 8 == 0 ? static_cast<char>(generator())
                                         : alphabet[generator() % alphabet.size()];
        }
        const auto signals = read_target_signals({text, text, text}, true);
        CHECK_FALSE(signals.rest && signals.has_unreadable_rest);
        CHECK_TRUE(!signals.rest || (*signals.rest >= 0s && *signals.rest <= 24h));
        CHECK_FALSE(signals.limit && signals.has_unreadable_limit);
        CHECK_TRUE(!signals.limit || (*signals.limit >= 0 && std::isfinite(*signals.limit)));
    }
}
