#include "bth/standins/behaviour.h"
#include "bth/standins/load_report.h"
#include "bth/standins/platform_list.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using bth::standins::call_outcome;

bth::config::model model_with_one_target()
{
    bth::config::model model;
    bth::config::target row;
    row.name = "t";
    model.targets.push_back(row);
    return model;
}

} // namespace

// clang-format off
TEST_GROUP(standins) {};
// clang-format on

TEST(standins, behaviour_reports_every_wrong_value)
{
    bth::findings found;
    const auto how =
        bth::standins::read_behaviour("b", R"({"overload": "panic", "late": 3})", found);
    CHECK_FALSE(how.has_value());
    UNSIGNED_LONGS_EQUAL(2, found.size());
}

TEST(standins, platform_list_shows_a_change_after_its_lag)
{
    bth::standins::platform_state state{model_with_one_target(), std::chrono::seconds{2}};
    const bth::time_point start{};
    CHECK_TRUE(state.set("t", bth::standins::presence::gone, start));
    CHECK_TRUE(state.list_at(start + std::chrono::seconds{1}).find("\"t\"") != std::string::npos);
    CHECK_TRUE(state.list_at(start + std::chrono::seconds{2}).find("\"t\"") == std::string::npos);
    CHECK_FALSE(state.set("unknown", bth::standins::presence::live, start));
}

TEST(standins, tally_takes_latency_from_served_requests_only)
{
    bth::standins::load_tally tally;
    tally.add({"public", call_outcome::served, std::chrono::milliseconds{3}, ""});
    tally.add({"public", call_outcome::refused_not_run, std::chrono::seconds{1}, "queue_full"});
    CHECK_TRUE(tally.latency_at(1.0) == std::chrono::milliseconds{3});
    UNSIGNED_LONGS_EQUAL(1, tally.count(call_outcome::refused_not_run));
}
