#include "bth/dispatch/ownership.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using bth::dispatch::owner_candidate;
using bth::dispatch::target_facts;
using bth::dispatch::target_owners;

const std::vector<owner_candidate> hosts{{"a", "n1"}, {"b", "n1"}, {"c", "n2"}};

target_facts target_in(const std::string& domain, int number)
{
    return {"t" + std::to_string(number), "orders", {}, domain, 3, false, {}};
}

bool all(const std::string& /*host*/)
{
    return true;
}

} // namespace

TEST_GROUP(target_owners){};

TEST(target_owners, all_hosts_of_a_region_name_the_same_owner)
{
    target_owners first{"a", "n1"};
    target_owners second{"c", "n2"};
    first.set_hosts(hosts);
    second.set_hosts({hosts[2], hosts[0], hosts[1]});
    for (int each = 0; each < 50; ++each) {
        const auto target = target_in(each % 2 == 0 ? "n1" : "n2", each);
        STRCMP_EQUAL(first.owner_of(target, all).c_str(), second.owner_of(target, all).c_str());
    }
}

TEST(target_owners, a_host_of_the_targets_domain_owns_it)
{
    target_owners owners{"a", "n1"};
    owners.set_hosts(hosts);
    std::set<std::string> seen;
    for (int each = 0; each < 50; ++each) {
        seen.insert(owners.owner_of(target_in("n1", each), all));
        STRCMP_EQUAL("c", owners.owner_of(target_in("n2", each), all).c_str());
    }
    CHECK(seen == (std::set<std::string>{"a", "b"}));
}

TEST(target_owners, a_lost_host_hands_its_targets_to_the_others_only)
{
    target_owners owners{"c", "n2"};
    owners.set_hosts(hosts);
    const auto without_a = [](const std::string& host) {
        return host != "a";
    };
    for (int each = 0; each < 50; ++each) {
        const auto target = target_in("n1", each);
        const auto before = owners.owner_of(target, all);
        const auto after = owners.owner_of(target, without_a);
        STRCMP_EQUAL("b", after.c_str());
        if (before == "b") {
            STRCMP_EQUAL(before.c_str(), after.c_str());
        }
    }
}

TEST(target_owners, without_others_a_host_owns_all)
{
    const target_owners owners{"a", "n1"};
    STRCMP_EQUAL("a", owners.owner_of(target_in("n2", 1), all).c_str());
}
