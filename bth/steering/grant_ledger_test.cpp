#include "bth/steering/grant_ledger.h"

#include "bth/steering/testing/small_site.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

constexpr service_id web{0};
constexpr domain_id domain_a{0};
constexpr region_id far_region{1};

} // namespace

// The share of "web" in the cap of domain "a" is 12 requests in flight and 1333 per second.
// clang-format off
TEST_GROUP(grant_ledger)
{
    std::shared_ptr<const config::model> model{testing::small_site()};
    time_point now{10s};
    grant_ledger ledger;
    grant_context state;
    host_id b1;
    host_id c1;
    std::uint64_t sequence{};

    void setup() override
    {
        this->b1 = *config::find_host(*this->model, "b1");
        this->c1 = *config::find_host(*this->model, "c1");
        this->ledger.apply(this->model, domain_a, nullptr, this->now);
        this->state.owned_until = this->now + 60s;
        this->state.usable_slots = 12;
        this->state.service_time = 5ms;
    }
    void teardown() override { this->check_caps(); }

    void check_caps()
    {
        for (const ledger_usage& each : this->ledger.usage(this->now)) {
            CHECK_TRUE(each.own_in_flight + each.granted_in_flight <= each.cap.in_flight);
            CHECK_TRUE((each.own_rate + each.granted_rate).value() <=
                       each.cap.rate.value() * (1.0 + 1e-9));
            for (std::size_t at = 0; at < each.granted_link_capacity.size(); ++at) {
                CHECK_TRUE(each.granted_link_capacity.at(at).answer_bytes <=
                           each.link_cap.at(at).answer_bytes * (1.0 + 1e-9));
            }
        }
    }
    capacity_grant ask(host_id from, std::uint32_t slots, double rate, std::uint8_t level = 0)
    {
        grant_request request;
        request.source = this->model->at(from).domain;
        request.incarnation_number = incarnation{1};
        request.sequence = ++this->sequence;
        request.services = {{web, {{priority_level{level}, request_rate{rate}, slots}}}};
        auto grant = this->ledger.answer(from, request, {this->state}, this->now);
        this->check_caps();
        return grant;
    }
    std::uint32_t granted() { return this->ledger.usage(this->now).front().granted_in_flight; }
};
// clang-format on

TEST(grant_ledger, granted_capacity_counts_before_it_is_used)
{
    CHECK_EQUAL(8, ask(b1, 8, 400.0).capacities.front().in_flight);
    CHECK_EQUAL(4, ask(c1, 8, 400.0).capacities.front().in_flight);
    CHECK_EQUAL(12, granted());
    CHECK_FALSE(ledger.try_start(web, std::nullopt, now));
}

TEST(grant_ledger, larger_earlier_grant_stays_outstanding_until_its_lease_expires)
{
    ask(b1, 8, 400.0);
    now += 300ms;
    CHECK_EQUAL(2, ask(b1, 2, 100.0).capacities.front().in_flight);
    CHECK_EQUAL(8, granted());
    CHECK_EQUAL(4, ask(c1, 12, 100.0).capacities.front().in_flight);
    now += 800ms;
    CHECK_EQUAL(6, granted());
}

TEST(grant_ledger, granter_counts_a_lease_longer_than_the_holder_may_use_it)
{
    const auto grant = ask(b1, 3, 100.0);
    now += grant.lease;
    CHECK_EQUAL(3, granted());
    now += 50ms;
    CHECK_EQUAL(0, granted());
}

TEST(grant_ledger, no_grant_outlives_the_ownership_lease)
{
    state.owned_until = now + 400ms;
    const auto grant = ask(b1, 3, 100.0);
    CHECK_TRUE(grant.lease < 400ms);
    now += 400ms;
    CHECK_EQUAL(0, granted());
}

TEST(grant_ledger, host_without_ownership_grants_nothing_and_names_the_owner)
{
    state.owned_until = time_point::min();
    state.owner = host_id{1};
    const auto grant = ask(b1, 3, 100.0);
    CHECK_EQUAL(0, grant.capacities.size());
    CHECK_TRUE(grant.owner_hints.front().owner == host_id{1});
    CHECK_EQUAL(0, granted());
}

TEST(grant_ledger, slots_used_by_own_callers_are_not_granted)
{
    for (int count = 0; count < 9; ++count) {
        CHECK_TRUE(ledger.try_start(web, std::nullopt, now));
    }
    CHECK_EQUAL(3, ask(b1, 8, 400.0).capacities.front().in_flight);
    CHECK_FALSE(ledger.try_start(web, std::nullopt, now));
    ledger.finish(web, std::nullopt);
    CHECK_TRUE(ledger.try_start(web, std::nullopt, now));
}

TEST(grant_ledger, own_callers_precede_holders_of_the_same_priority)
{
    state.own_demand = {{priority_level{0}, request_rate{1200.0}}};
    // 1200 requests per second of 5 ms, plus the margin for the measurement error, need 9 of the 12
    // slots.
    CHECK_EQUAL(3, ask(b1, 12, 400.0).capacities.front().in_flight);
    now += 2s;
    state.own_demand = {{priority_level{2}, request_rate{1200.0}}};
    CHECK_EQUAL(12, ask(b1, 12, 400.0).capacities.front().in_flight);
}

TEST(grant_ledger, scarce_capacity_goes_to_the_most_urgent_demand_of_all_holders)
{
    ask(c1, 10, 300.0, 0);
    ask(b1, 10, 300.0, 2);
    now += 2s;
    CHECK_EQUAL(10, ask(c1, 10, 300.0, 0).capacities.front().in_flight);
    CHECK_EQUAL(2, ask(b1, 10, 300.0, 2).capacities.front().in_flight);
}

TEST(grant_ledger, holders_of_the_same_priority_share_scarce_capacity)
{
    ask(c1, 12, 400.0);
    ask(b1, 12, 400.0);
    for (int round = 0; round < 4; ++round) {
        now += 400ms;
        ask(c1, 12, 400.0);
        ask(b1, 12, 400.0);
    }
    const auto last = ask(b1, 12, 400.0);
    CHECK_EQUAL(6, last.capacities.front().in_flight);
}

TEST(grant_ledger, forwarded_request_consumes_an_unexpired_grant_within_its_rate)
{
    CHECK_FALSE(ledger.try_consume(web, b1, now));
    ask(b1, 4, 20.0);
    int admitted = 0;
    for (int count = 0; count < 100; ++count) {
        admitted += ledger.try_consume(web, b1, now) ? 1 : 0;
    }
    CHECK_EQUAL(3, admitted);
    now += 500ms;
    CHECK_TRUE(ledger.try_consume(web, b1, now));
    now += 1s;
    CHECK_FALSE(ledger.try_consume(web, b1, now));
}

TEST(grant_ledger, grant_stays_within_the_links_between_regions)
{
    const limits domain_limits{*model, domain_a};
    const double bytes = domain_limits.link(web, far_region).answer_bytes.value();
    const auto grant = ask(c1, 12, 1300.0);
    const double max_rate = bytes / static_cast<double>(model->at(web).answer_bytes);
    CHECK_TRUE(grant.capacities.front().rate.value() <= max_rate);
    CHECK_TRUE(ask(b1, 0, 0.0).capacities.front().answer_bytes.value() == 0.0);
}

TEST(grant_ledger, handed_over_grants_are_outstanding_at_the_new_owner)
{
    ask(b1, 8, 400.0);
    grant_ledger new_owner;
    new_owner.apply(model, domain_a, nullptr, now);
    new_owner.import_grants(web, ledger.outstanding_grants(web, now), now);
    CHECK_EQUAL(8, new_owner.usage(now).front().granted_in_flight);
    CHECK_TRUE(new_owner.try_consume(web, b1, now));
    new_owner.set_former_owner_in_flight(web, 4);
    CHECK_FALSE(new_owner.try_start(web, std::nullopt, now));
    CHECK_TRUE(new_owner.try_start(web, b1, now));
}

TEST(grant_ledger, request_older_than_the_latest_changes_nothing)
{
    ask(b1, 2, 100.0);
    sequence = 0;
    ask(b1, 8, 400.0);
    CHECK_EQUAL(2, granted());
}
