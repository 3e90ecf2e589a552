#include "bth/fleet/control_choice.h"

#include <chrono>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::time_point;
using bth::dispatch::domain_regions;
using bth::fleet::control_choice;

constexpr time_point start{1h};

domain_regions regions()
{
    return {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
}

control_choice make_choice()
{
    return {"n1", regions(), {"a", "b", "c"}, 1};
}

// The control hosts chosen in ten seconds, of which each says the same on every step.
std::set<std::string> chosen_while(control_choice& choice, time_point& now, bool in_contact,
                                   bool names_others)
{
    std::set<std::string> out;
    for (const auto end = now + 10s; now < end; now += 100ms) {
        choice.step(now);
        out.insert(choice.serving());
        std::vector<bth::fleet::control_peer> named{{choice.serving(), "s1"}};
        if (names_others) {
            named = {{"a", "s1"}, {"b", "n2"}, {"d", "n1"}};
        }
        choice.hear(now, in_contact, std::move(named));
    }
    return out;
}

} // namespace

TEST_GROUP(control_choice){};

TEST(control_choice, the_first_step_attaches_to_a_seed)
{
    auto choice = make_choice();
    CHECK_TRUE(choice.step(start));
    STRCMP_EQUAL("b", choice.serving().c_str());
    CHECK_FALSE(choice.step(start + 100ms));
}

TEST(control_choice, a_silent_control_host_is_left_after_a_second)
{
    auto choice = make_choice();
    choice.step(start);
    choice.hear(start + 500ms, true, {{"b", "s1"}});
    CHECK_FALSE(choice.step(start + 1500ms));
    CHECK_TRUE(choice.step(start + 1501ms));
    CHECK_TRUE(choice.serving() != "b");
}

TEST(control_choice, the_control_host_of_the_own_domain_is_chosen_once_it_is_known)
{
    auto choice = make_choice();
    auto now = start;
    chosen_while(choice, now, true, true);
    STRCMP_EQUAL("d", choice.serving().c_str());
}

// After the loss of all control hosts the first one back knows only itself and may stay alone.
TEST(control_choice, a_control_host_that_names_only_itself_is_left_when_out_of_contact)
{
    auto choice = make_choice();
    auto now = start;
    chosen_while(choice, now, true, true);
    const auto tried = chosen_while(choice, now, false, false);
    CHECK_TRUE(tried.contains("a"));
    CHECK_TRUE(tried.contains("b"));
    CHECK_TRUE(tried.contains("c"));
    CHECK_TRUE(tried.contains("d"));
}

TEST(control_choice, a_control_host_in_contact_strikes_those_that_it_does_not_name)
{
    auto choice = make_choice();
    auto now = start;
    chosen_while(choice, now, true, true);
    choice.hear(now, true, {{"a", "s1"}});
    std::set<std::string> tried;
    for (int each = 0; each < 6; ++each) {
        now += 2s;
        CHECK_TRUE(choice.step(now));
        tried.insert(choice.serving());
    }
    CHECK_TRUE(tried == std::set<std::string>({"a", "b", "c"}));
}

TEST(control_choice, the_only_candidate_is_not_chosen_anew)
{
    control_choice choice{"n1", regions(), {"a"}, 0};
    CHECK_TRUE(choice.step(start));
    CHECK_FALSE(choice.step(start + 5s));
    STRCMP_EQUAL("a", choice.serving().c_str());
}
