#include "bth/fleet/control_host_selector.h"

#include <bit>
#include <chrono>
#include <set>
#include <string>
#include <vector>

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

// How long after a split an entry host is told by a control host of the larger part. The smaller
// one consists of those whose bits are set.
bth::duration time_to_larger_part(unsigned smaller, std::size_t first)
{
    constexpr auto loss_shows_after = 750ms;
    constexpr auto way = 50ms;
    const std::vector<bth::fleet::control_peer> all{{"c0", "n1"}, {"c1", "n1"}, {"c2", "n2"},
                                                    {"c3", "n2"}, {"c4", "s1"}, {"c5", "s1"},
                                                    {"c6", "s1"}, {"c7", "s1"}, {"c8", "s1"}};
    control_choice choice{"n1", regions(), {"c0"}, first};
    choice.step(start);
    time_point next_update = start;
    const auto split = start + 2s;
    const auto shows = split + loss_shows_after;
    for (auto now = start; now < split + 10s; now += way) {
        if (choice.step(now)) {
            next_update = now + way;
        }
        if (now < next_update && now != shows) {
            continue;
        }
        const bool is_cut_off = (smaller >> (choice.serving().back() - '0') & 1U) != 0;
        choice.hear(now, now < shows || !is_cut_off, all);
        next_update = now + 400ms;
        if (now >= shows && !is_cut_off) {
            return now - split;
        }
    }
    return 10s;
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

// Four of nine control hosts are cut off from the others, but not from the entry hosts. A change
// that the larger part agrees on at once is to be in force on every entry host 2.5 s later.
TEST(control_choice, the_larger_part_of_split_control_hosts_is_found_within_the_time_to_apply)
{
    constexpr unsigned hosts = 9;
    constexpr int cut_off = 4;
    constexpr auto to_apply = 2500ms;
    for (unsigned part = 0; part < 1U << hosts; ++part) {
        if (std::popcount(part) == cut_off) {
            for (std::size_t first = 0; first < hosts; ++first) {
                CHECK(time_to_larger_part(part, first) <= to_apply);
            }
        }
    }
}

TEST(control_choice, the_only_candidate_is_not_chosen_anew)
{
    control_choice choice{"n1", regions(), {"a"}, 0};
    CHECK_TRUE(choice.step(start));
    CHECK_FALSE(choice.step(start + 5s));
    STRCMP_EQUAL("a", choice.serving().c_str());
}
