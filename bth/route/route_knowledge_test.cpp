#include "bth/route/route_knowledge.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::route::route_knowledge;

constexpr time_point start{1h};

} // namespace

// clang-format off
TEST_GROUP(route_knowledge) {};
// clang-format on

TEST(route_knowledge, routes_are_denied_only_while_control_hosts_are_heard)
{
    route_knowledge knowledge;
    CHECK_FALSE(knowledge.may_deny(start));
    // Updates every 400 ms, one of them lost.
    for (const auto at : {0ms, 400ms, 1200ms}) {
        knowledge.record_current(start + at);
    }
    CHECK_TRUE(knowledge.may_deny(start + 1200ms + route_knowledge::timeout));
    CHECK_FALSE(knowledge.may_deny(start + 1201ms + route_knowledge::timeout));
    knowledge.record_current(start + 10s);
    CHECK_TRUE(knowledge.may_deny(start + 10s));
}
