#include "bth/fleet/agreed_state.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using bth::fleet::agreed_machine;
using bth::fleet::encode;
using bth::fleet::set_configuration;
using bth::fleet::set_evacuation;
using bth::route::config_version;

std::string configure(std::uint64_t version, const std::string& text)
{
    return encode(set_configuration{config_version{version}, text});
}

} // namespace

TEST_GROUP(agreed_machine){};

TEST(agreed_machine, the_highest_version_is_in_force_whatever_the_order)
{
    agreed_machine machine;
    CHECK_TRUE(machine.apply(configure(7, "seven")).changed);
    const auto older = machine.apply(configure(5, "five"));
    CHECK_TRUE(older.understood);
    CHECK_FALSE(older.changed);
    STRCMP_EQUAL("seven", machine.contents().text.c_str());
}

TEST(agreed_machine, other_content_under_the_version_held_changes_nothing)
{
    agreed_machine machine;
    machine.apply(configure(7, "seven"));
    CHECK_FALSE(machine.apply(configure(7, "other")).changed);
    STRCMP_EQUAL("seven", machine.contents().text.c_str());
    LONGS_EQUAL(1, machine.contents().index.value());
}

TEST(agreed_machine, evacuations_are_kept_until_taken_back)
{
    agreed_machine machine;
    CHECK_TRUE(machine.apply(encode(set_evacuation{"north", true})).changed);
    CHECK_FALSE(machine.apply(encode(set_evacuation{"north", true})).changed);
    LONGS_EQUAL(1, machine.contents().evacuated.count("north"));
    CHECK_TRUE(machine.apply(encode(set_evacuation{"north", false})).changed);
    CHECK_TRUE(machine.contents().evacuated.empty());
}

TEST(agreed_machine, a_snapshot_restores_all)
{
    agreed_machine machine;
    machine.apply(configure(7, "seven"));
    machine.apply(encode(set_evacuation{"north", true}));
    agreed_machine again;
    CHECK_TRUE(again.restore(machine.snapshot()));
    CHECK_TRUE(again.contents() == machine.contents());
}

TEST(agreed_machine, damaged_bytes_are_refused)
{
    agreed_machine machine;
    CHECK_FALSE(machine.apply("damaged").understood);
    CHECK_FALSE(machine.restore("damaged"));
}
