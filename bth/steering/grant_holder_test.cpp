#include "bth/steering/grant_holder.h"

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

bool any_host(domain_id domain, host_id host)
{
    (void)domain;
    (void)host;
    return true;
}

} // namespace

// The holder belongs to domain "b". Its fallback domains are "a", with the hosts "a1" and "a2", and
// "c", with the host "c1".
// clang-format off
TEST_GROUP(grant_holder)
{
    std::shared_ptr<const config::model> model{testing::small_site()};
    time_point now{10s};
    grant_holder holder{incarnation{3}};
    host_id c1;

    void setup() override
    {
        this->c1 = *config::find_host(*this->model, "c1");
        this->holder.apply(this->model, domain_b, nullptr, this->now);
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

TEST(grant_holder, sends_no_requests_without_demand)
{
    for (int step = 0; step < 100; ++step) {
        now += 50ms;
        CHECK_EQUAL(0, holder.tick({}, now).size());
    }
}

TEST(grant_holder, requests_all_services_of_a_granter_in_one_message)
{
    const auto sent = holder.tick({demand_of(web, 3), demand_of(shop, 2)}, now);
    std::size_t to_c = 0;
    for (const send_message& each : sent) {
        to_c += each.to == c1 ? 1 : 0;
    }
    CHECK_EQUAL(1, to_c);
}

TEST(grant_holder, asks_several_fallbacks_and_uses_the_nearest_with_free_capacity)
{
    const auto sent = holder.tick({demand_of(web, 3)}, now);
    CHECK_EQUAL(2, sent.size());
    for (const send_message& each : sent) {
        holder.receive(each.to, answer_to(each, from_a(each.to) ? 1 : 3), now + 1ms);
    }
    now += 1ms;
    CHECK_TRUE(from_a(*holder.try_acquire(web, any_host, now)));
    // Domain "a" granted one slot; one more request may be in transit to it.
    CHECK_TRUE(from_a(*holder.try_acquire(web, any_host, now)));
    CHECK_TRUE(holder.try_acquire(web, any_host, now) == c1);
}

TEST(grant_holder, lease_starts_when_the_request_is_sent)
{
    const auto sent = holder.tick({demand_of(web, 3)}, now);
    for (const send_message& each : sent) {
        holder.receive(each.to, answer_to(each, 3), now + 400ms);
    }
    CHECK_TRUE(holder.try_acquire(web, any_host, now + 999ms).has_value());
    CHECK_FALSE(holder.try_acquire(web, any_host, now + 1000ms).has_value());
}

TEST(grant_holder, in_flight_never_exceeds_the_grant_plus_requests_in_transit)
{
    const auto sent = holder.tick({demand_of(web, 3)}, now);
    for (const send_message& each : sent) {
        if (from_a(each.to)) {
            holder.receive(each.to, answer_to(each, 3), now);
        }
    }
    std::size_t acquired = 0;
    std::optional<host_id> host;
    for (int step = 0; step < 90; ++step) {
        now += 10ms;
        if (const auto next = holder.try_acquire(web, any_host, now)) {
            host = next;
            ++acquired;
        }
    }
    // Three slots, and less than one request in transit within the region.
    CHECK_EQUAL(4, acquired);
    holder.finish(web, *host);
    CHECK_TRUE(holder.try_acquire(web, any_host, now + 1ms).has_value());
}

TEST(grant_holder, ignores_answers_to_another_incarnation_or_an_older_request)
{
    auto sent = holder.tick({demand_of(web, 3)}, now);
    auto other_incarnation = answer_to(sent.front(), 3);
    other_incarnation.incarnation_number = incarnation{2};
    holder.receive(sent.front().to, other_incarnation, now);
    CHECK_EQUAL(0, holder.held(now).size());
    now += 400ms;
    auto later = holder.tick({demand_of(web, 3)}, now);
    holder.receive(later.front().to, answer_to(later.front(), 1), now);
    holder.receive(sent.front().to, answer_to(sent.front(), 3), now);
    CHECK_EQUAL(1, holder.held(now).front().room.in_flight);
}

TEST(grant_holder, asks_another_host_of_the_domain_if_a_granter_does_not_answer)
{
    std::optional<host_id> first_asked;
    bool asked_another = false;
    for (int step = 0; step < 40; ++step) {
        for (const send_message& each : holder.tick({demand_of(web, 3)}, now)) {
            if (from_a(each.to)) {
                first_asked = first_asked.value_or(each.to);
                asked_another = asked_another || each.to != *first_asked;
            }
        }
        now += 50ms;
    }
    CHECK_TRUE(asked_another);
}

TEST(grant_holder, asks_the_owner_that_an_answer_names)
{
    const auto sent = holder.tick({demand_of(web, 3)}, now);
    const send_message& asked = sent.front();
    const host_id owner{asked.to == host_id{0} ? host_id{1} : host_id{0}};
    auto grant = answer_to(asked, 3);
    grant.capacities.clear();
    grant.owner_hints = {{web, owner}};
    holder.receive(asked.to, grant, now);
    now += 50ms;
    bool asked_owner = false;
    for (const send_message& each : holder.tick({demand_of(web, 3)}, now)) {
        asked_owner = asked_owner || each.to == owner;
    }
    CHECK_TRUE(asked_owner);
}
