#include "bth/dispatch/ownership.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using bth::dispatch::owner_candidate;
using bth::dispatch::owner_selector;
using bth::dispatch::target_info;

const std::vector<owner_candidate> hosts{{"a", "n1"}, {"b", "n1"}, {"c", "n2"}};

target_info target_in(const std::string& domain, int number)
{
    return {"t" + std::to_string(number), "orders", {}, domain, 3, false, {}};
}

bool all_usable(const std::string& /*host*/)
{
    return true;
}

} // namespace

TEST_GROUP(owner_selector){};

TEST(owner_selector, all_hosts_of_a_region_select_the_same_owner)
{
    owner_selector first{"a", "n1"};
    owner_selector second{"c", "n2"};
    first.set_hosts(hosts);
    second.set_hosts({hosts[2], hosts[0], hosts[1]});
    for (int number = 0; number < 50; ++number) {
        const auto target = target_in(number % 2 == 0 ? "n1" : "n2", number);
        STRCMP_EQUAL(first.owner_of(target, all_usable).c_str(),
                     second.owner_of(target, all_usable).c_str());
    }
}

TEST(owner_selector, a_host_of_the_targets_domain_owns_it)
{
    owner_selector selector{"a", "n1"};
    selector.set_hosts(hosts);
    std::set<std::string> owners;
    for (int number = 0; number < 50; ++number) {
        owners.insert(selector.owner_of(target_in("n1", number), all_usable));
        STRCMP_EQUAL("c", selector.owner_of(target_in("n2", number), all_usable).c_str());
    }
    CHECK(owners == (std::set<std::string>{"a", "b"}));
}

TEST(owner_selector, targets_of_an_unusable_host_move_and_all_others_keep_their_owner)
{
    owner_selector selector{"c", "n2"};
    selector.set_hosts(hosts);
    const auto all_but_a = [](const std::string& host) {
        return host != "a";
    };
    for (int number = 0; number < 50; ++number) {
        const auto target = target_in("n1", number);
        const auto before = selector.owner_of(target, all_usable);
        const auto after = selector.owner_of(target, all_but_a);
        STRCMP_EQUAL("b", after.c_str());
        if (before == "b") {
            STRCMP_EQUAL(before.c_str(), after.c_str());
        }
    }
}

TEST(owner_selector, a_single_host_owns_all_targets)
{
    const owner_selector selector{"a", "n1"};
    STRCMP_EQUAL("a", selector.owner_of(target_in("n2", 1), all_usable).c_str());
}
