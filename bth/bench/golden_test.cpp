#include "bth/bench/golden.h"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(golden) {};
// clang-format on

TEST(golden, sessions_are_as_kept)
{
    for (const bth::bench::run_plan& plan : bth::bench::golden_sessions()) {
        const std::ifstream file{bth::bench::golden_path(plan)};
        std::ostringstream kept;
        kept << file.rdbuf();
        const std::string played = bth::bench::play_session(plan);
        CHECK_TRUE_TEXT(!played.empty(), plan.name.c_str());
        CHECK_TRUE_TEXT(kept.str() == played,
                        ("differs, see scripts/renew-goldens: " + plan.name).c_str());
    }
}
