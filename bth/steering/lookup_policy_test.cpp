#include "bth/steering/lookup_policy.h"

#include "bth/steering/testing/small_site.h"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

namespace {

const service_id web{0};
const domain_id home{0};
const domain_id near{1};
const domain_id far{2};
const host_id a1{0};
const host_id a2{1};
const host_id b1{2};
const class_id gold{0};
const class_id bulk{2};

// A policy with every host listed and every domain idle, with capacity for 100 requests/s.
struct fixture {
    fixture()
    {
        this->policy.configure(this->model);
        for (std::size_t host = 0; host < this->model->hosts.size(); ++host) {
            this->policy.set_host(host_id::from_index(host), {host_listing::listed, 1.0});
        }
        for (std::size_t domain = 0; domain < this->model->domains.size(); ++domain) {
            this->policy.set_domain_service(domain_id::from_index(domain), web,
                                            {std::nullopt, request_rate{100.0}, 0.0});
        }
    }

    void make_home_unavailable()
    {
        this->policy.set_host(a1, {host_listing::unlisted, 1.0});
        this->policy.set_host(a2, {host_listing::unlisted, 1.0});
    }

    lookup_answer ask(class_id caller_class = bulk)
    {
        return this->policy.answer({home, web, caller_class}, this->now);
    }

    domain_id leading_domain(class_id caller_class = bulk)
    {
        return this->model->at(this->ask(caller_class).hosts.front()).domain;
    }

    std::shared_ptr<const config::model> model = testing::small_site();
    lookup_policy policy;
    time_point now{1h};
};

bool names(const lookup_answer& answer, host_id host)
{
    return std::find(answer.hosts.begin(), answer.hosts.end(), host) != answer.hosts.end();
}

} // namespace

// clang-format off
TEST_GROUP(lookup_policy) {};
// clang-format on

TEST(lookup_policy, the_owner_in_the_home_domain_is_named_first)
{
    fixture given;
    for (const host_id owner : {a1, a2}) {
        given.policy.set_domain_service(home, web, {owner, request_rate{100.0}, 0.0});
        const lookup_answer answer = given.ask();
        CHECK_TRUE(answer.hosts.front() == owner);
        CHECK_EQUAL(4U, answer.hosts.size());
        CHECK_EQUAL(4U, std::set<host_id>(answer.hosts.begin(), answer.hosts.end()).size());
    }
}

TEST(lookup_policy, a_leaving_or_silent_host_is_not_named)
{
    fixture given;
    given.policy.set_domain_service(home, web, {a1, request_rate{100.0}, 0.0});
    given.policy.set_host(a1, {host_listing::unlisted, 1.0});
    CHECK_FALSE(names(given.ask(), a1));
    CHECK_TRUE(given.ask().hosts.front() == a2);
    given.policy.set_domain_service(home, web, {std::nullopt, request_rate{100.0}, 0.0});
    CHECK_FALSE(names(given.ask(), a1));
}

TEST(lookup_policy, a_last_resort_host_follows_the_listed_hosts_of_its_domain)
{
    fixture given;
    given.policy.set_host(a1, {host_listing::last_resort, 1.0});
    CHECK_TRUE(given.ask().hosts.at(0) == a2);
    CHECK_TRUE(given.ask().hosts.at(1) == a1);
    given.policy.set_host(a2, {host_listing::unlisted, 1.0});
    CHECK_TRUE(given.ask().hosts.at(0) == a1);
    given.policy.set_host(a1, {host_listing::unlisted, 1.0});
    given.policy.set_host(b1, {host_listing::last_resort, 1.0});
    CHECK_TRUE(given.model->at(given.ask().hosts.at(0)).domain == far);
    CHECK_TRUE(names(given.ask(), b1));
}

TEST(lookup_policy, an_answer_names_hosts_even_if_all_are_unlisted)
{
    fixture given;
    for (std::size_t host = 0; host < given.model->hosts.size(); ++host) {
        given.policy.set_host(host_id::from_index(host), {host_listing::unlisted, 1.0});
    }
    CHECK_EQUAL(2U, given.ask().hosts.size());
}

TEST(lookup_policy, a_full_home_domain_shortens_the_max_age)
{
    fixture given;
    CHECK_TRUE(given.ask().max_age == lookup_policy::longest_max_age);
    given.policy.set_domain_service(home, web, {a1, request_rate{0.0}, 1.0});
    CHECK_TRUE(given.leading_domain() == home);
    CHECK_TRUE(given.ask().max_age == lookup_policy::shortest_max_age);
}

TEST(lookup_policy, cached_answers_do_not_exceed_the_capacity_of_a_fallback)
{
    fixture given;
    given.make_home_unavailable();
    int answers_led_by_near = 0;
    for (int each = 0; each < 80; ++each) {
        answers_led_by_near += given.leading_domain() == near ? 1 : 0;
    }
    // The lowest class may use half of the capacity of 100 requests/s.
    CHECK_EQUAL(50, answers_led_by_near);
    CHECK_EQUAL(30.0, given.policy.expected_rate(far, web, given.now).value());
    given.now += 7s;
    CHECK_EQUAL(0.0, given.policy.expected_rate(far, web, given.now).value());
    CHECK_TRUE(given.leading_domain() == near);
}

TEST(lookup_policy, the_max_age_falls_while_a_fallback_domain_fills)
{
    fixture given;
    given.make_home_unavailable();
    const auto first = given.ask(gold).max_age;
    for (int each = 0; each < 90; ++each) {
        given.ask(gold);
    }
    CHECK_TRUE(first >= 4s);
    CHECK_TRUE(given.ask(gold).max_age == lookup_policy::shortest_max_age);
}

TEST(lookup_policy, a_high_priority_class_gets_the_near_domain_after_a_low_one_overflows)
{
    fixture given;
    given.make_home_unavailable();
    for (int each = 0; each < 60; ++each) {
        given.ask(bulk);
    }
    CHECK_TRUE(given.leading_domain(bulk) == far);
    CHECK_TRUE(given.leading_domain(gold) == near);
}

TEST(lookup_policy, a_recently_started_host_leads_the_share_of_its_ramp)
{
    fixture given;
    given.policy.set_domain_service(home, web, {a1, request_rate{100.0}, 0.0});
    given.policy.set_host(a1, {host_listing::listed, 0.25});
    int leads = 0;
    for (int each = 0; each < 1000; ++each) {
        leads += given.ask().hosts.front() == a1 ? 1 : 0;
    }
    CHECK_TRUE(leads >= 245 && leads <= 255);
}

TEST(lookup_policy, the_order_of_other_hosts_is_stable_when_a_host_becomes_unlisted)
{
    fixture given;
    const lookup_answer before = given.ask();
    given.policy.set_host(b1, {host_listing::unlisted, 1.0});
    const lookup_answer after = given.ask();
    CHECK_TRUE(before.hosts.at(0) == after.hosts.at(0));
    CHECK_TRUE(before.hosts.at(1) == after.hosts.at(1));
}
