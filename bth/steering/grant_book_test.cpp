#include "bth/steering/grant_book.h"

#include "bth/steering/testing/small_site.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

constexpr service_id web{0};
constexpr service_id shop{1};
constexpr domain_id domain_b{1};

service_demand demand_of(service_id service, std::uint32_t slots)
{
    return {service, {{priority_level{1}, request_rate{100.0 * slots}, slots}}};
}

bool any(domain_id domain, host_id host)
{
    (void)domain;
    (void)host;
    return true;
}

} // namespace

// Domain "b" is asked from: it has the fallbacks "a", with the hosts "a1" and "a2", and "c".
// clang-format off
TEST_GROUP(grant_book)
{
    std::shared_ptr<const config::model> model{testing::small_site()};
    time_point now{10s};
    grant_book book{incarnation{3}};
    host_id c1;

    void setup() override
    {
        this->c1 = *config::find_host(*this->model, "c1");
        this->book.apply(this->model, domain_b, nullptr, this->now);
    }
    capacity_grant answer_to(const send_message& sent, std::uint32_t slots)
    {
        const auto& request = std::get<grant_request>(sent.message);
        capacity_grant grant;
        grant.granter = this->model->at(sent.to).domain;
        grant.source = request.source;
        grant.incarnation_number = request.incarnation_number;
        grant.sequence = request.sequence;
        grant.lease = 1s;
        for (const service_demand& each : request.services) {
            grant.capacities.push_back({each.service, request_rate{100.0 * slots}, slots, {}, {}});
        }
        return grant;
    }
    bool from_a(host_id host) { return this->model->at(host).name.front() == 'a'; }
};
// clang-format on

TEST(grant_book, nothing_is_asked_without_a_demand)
{
    for (int step = 0; step < 100; ++step) {
        now += 50ms;
        CHECK_EQUAL(0, book.tick({}, now).size());
    }
}

TEST(grant_book, all_services_of_a_granter_are_asked_for_in_one_message)
{
    const auto sent = book.tick({demand_of(web, 3), demand_of(shop, 2)}, now);
    std::size_t to_c = 0;
    for (const send_message& each : sent) {
        to_c += each.to == c1 ? 1 : 0;
    }
    CHECK_EQUAL(1, to_c);
}

TEST(grant_book, several_fallbacks_are_asked_and_the_nearest_with_room_is_used)
{
    const auto sent = book.tick({demand_of(web, 3)}, now);
    CHECK_EQUAL(2, sent.size());
    for (const send_message& each : sent) {
        book.receive(each.to, answer_to(each, from_a(each.to) ? 1 : 3), now + 1ms);
    }
    now += 1ms;
    CHECK_TRUE(from_a(*book.draw(web, any, now)));
    // One more may be on its way to the one slot there.
    CHECK_TRUE(from_a(*book.draw(web, any, now)));
    CHECK_TRUE(book.draw(web, any, now) == c1);
}

TEST(grant_book, a_lease_counts_from_when_the_request_was_sent)
{
    const auto sent = book.tick({demand_of(web, 3)}, now);
    for (const send_message& each : sent) {
        book.receive(each.to, answer_to(each, 3), now + 400ms);
    }
    CHECK_TRUE(book.draw(web, any, now + 999ms).has_value());
    CHECK_FALSE(book.draw(web, any, now + 1000ms).has_value());
}

TEST(grant_book, what_is_in_flight_never_exceeds_the_grant_and_its_way)
{
    const auto sent = book.tick({demand_of(web, 3)}, now);
    for (const send_message& each : sent) {
        if (from_a(each.to)) {
            book.receive(each.to, answer_to(each, 3), now);
        }
    }
    std::size_t drawn = 0;
    std::optional<host_id> host;
    for (int step = 0; step < 90; ++step) {
        now += 10ms;
        if (const auto next = book.draw(web, any, now)) {
            host = next;
            ++drawn;
        }
    }
    // Three slots, and less than one request on its way within the region.
    CHECK_EQUAL(4, drawn);
    book.finish(web, *host);
    CHECK_TRUE(book.draw(web, any, now + 1ms).has_value());
}

TEST(grant_book, an_answer_to_another_life_or_an_older_request_is_ignored)
{
    auto sent = book.tick({demand_of(web, 3)}, now);
    auto other_life = answer_to(sent.front(), 3);
    other_life.incarnation_number = incarnation{2};
    book.receive(sent.front().to, other_life, now);
    CHECK_EQUAL(0, book.held(now).size());
    now += 400ms;
    auto later = book.tick({demand_of(web, 3)}, now);
    book.receive(later.front().to, answer_to(later.front(), 1), now);
    book.receive(sent.front().to, answer_to(sent.front(), 3), now);
    CHECK_EQUAL(1, book.held(now).front().room.in_flight);
}

TEST(grant_book, a_silent_granter_is_asked_through_another_host_of_its_domain)
{
    std::optional<host_id> first;
    bool other = false;
    for (int step = 0; step < 40; ++step) {
        for (const send_message& each : book.tick({demand_of(web, 3)}, now)) {
            if (from_a(each.to)) {
                first = first.value_or(each.to);
                other = other || each.to != *first;
            }
        }
        now += 50ms;
    }
    CHECK_TRUE(other);
}

TEST(grant_book, a_hint_leads_to_the_owner)
{
    const auto sent = book.tick({demand_of(web, 3)}, now);
    const send_message& asked = sent.front();
    const host_id owner{asked.to == host_id{0} ? host_id{1} : host_id{0}};
    auto grant = answer_to(asked, 3);
    grant.capacities.clear();
    grant.owner_hints = {{web, owner}};
    book.receive(asked.to, grant, now);
    now += 50ms;
    bool asked_owner = false;
    for (const send_message& each : book.tick({demand_of(web, 3)}, now)) {
        asked_owner = asked_owner || each.to == owner;
    }
    CHECK_TRUE(asked_owner);
}
