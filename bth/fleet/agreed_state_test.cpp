#include "bth/fleet/agreed_state.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using bth::fleet::agreed_state_machine;
using bth::fleet::encode;
using bth::fleet::set_configuration;
using bth::fleet::set_evacuation;
using bth::route::config_version;

std::string configure(std::uint64_t version, const std::string& text)
{
    return encode(set_configuration{config_version{version}, text});
}

} // namespace

TEST_GROUP(agreed_state_machine){};

TEST(agreed_state_machine, the_highest_version_wins_in_any_order)
{
    agreed_state_machine machine;
    CHECK_TRUE(machine.apply(configure(7, "seven")).changed);
    const auto older = machine.apply(configure(5, "five"));
    CHECK_TRUE(older.valid);
    CHECK_FALSE(older.changed);
    STRCMP_EQUAL("seven", machine.state().text.c_str());
}

TEST(agreed_state_machine, other_content_with_the_current_version_changes_nothing)
{
    agreed_state_machine machine;
    machine.apply(configure(7, "seven"));
    CHECK_FALSE(machine.apply(configure(7, "other")).changed);
    STRCMP_EQUAL("seven", machine.state().text.c_str());
    LONGS_EQUAL(1, machine.state().index.value());
}

TEST(agreed_state_machine, an_evacuation_lasts_until_it_is_revoked)
{
    agreed_state_machine machine;
    CHECK_TRUE(machine.apply(encode(set_evacuation{"north", true})).changed);
    CHECK_FALSE(machine.apply(encode(set_evacuation{"north", true})).changed);
    LONGS_EQUAL(1, machine.state().evacuated.count("north"));
    CHECK_TRUE(machine.apply(encode(set_evacuation{"north", false})).changed);
    CHECK_TRUE(machine.state().evacuated.empty());
}

TEST(agreed_state_machine, a_snapshot_restores_the_whole_state)
{
    agreed_state_machine machine;
    machine.apply(configure(7, "seven"));
    machine.apply(encode(set_evacuation{"north", true}));
    agreed_state_machine again;
    CHECK_TRUE(again.restore(machine.snapshot()));
    CHECK_TRUE(again.state() == machine.state());
}

TEST(agreed_state_machine, damaged_bytes_are_rejected)
{
    agreed_state_machine machine;
    CHECK_FALSE(machine.apply("damaged").valid);
    CHECK_FALSE(machine.restore("damaged"));
}
