#include "bth/steering/shift_limiter.h"

#include "bth/steering/testing/small_site.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

namespace {

const service_id service{0};
const domain_id near{0};
const domain_id far{1};
const priority_level gold{0};
const priority_level bulk{1};

// What became of a number of requests.
struct tally {
    int kept{};
    int moved{};
    int elsewhere{};
    int refused{};
    int served() const { return this->kept + this->moved; }
};

// One domain's limiter, which owns the service, with callers that arrive evenly.
struct one_domain {
    one_domain()
    {
        this->limiter.configure(this->model, near, this->now);
        this->limiter.begin(service, this->now);
    }

    void one(tally& result, domain_id home, priority_level priority, bool direct)
    {
        const shift_query query{service, home, priority, direct};
        const shift_verdict verdict = this->limiter.decide(query, this->now);
        switch (verdict.decision) {
        case shift_decision::kept:
            ++result.kept;
            break;
        case shift_decision::moved:
            ++result.moved;
            break;
        case shift_decision::elsewhere:
            ++result.elsewhere;
            return;
        case shift_decision::refused:
            ++result.refused;
            CHECK_TRUE(verdict.retry_after > 0s);
            return;
        }
        this->limiter.admitted(query, verdict, this->now);
    }

    // Own callers at 100/s and, of them that are away, `away` per 10 ms.
    tally run(duration span, int own, int away, bool direct = false)
    {
        tally result;
        for (const time_point end = this->now + span; this->now < end; this->now += 10ms) {
            for (int each = 0; each < own; ++each) {
                this->one(this->own_result, near, bulk, true);
            }
            for (int each = 0; each < away; ++each) {
                this->one(result, far, bulk, direct);
            }
        }
        return result;
    }

    std::shared_ptr<const config::model> model = testing::small_site(
        {{"\"retry_budget\"", R"("shift_cap":{"share":0.25,"window_s":60},"retry_budget")"}});
    time_point now{1h};
    shift_limiter limiter;
    tally own_result;
};

shift_claim claim_of(domain_id home, double settled, double direct)
{
    return {service, home, request_rate{settled}, request_rate{direct}, {}};
}

} // namespace

// clang-format off
TEST_GROUP(shift_limiter) {};
// clang-format on

TEST(shift_limiter, own_callers_are_never_a_shift_while_nothing_is_settled_elsewhere)
{
    one_domain domain;
    domain.run(70s, 1, 0);
    CHECK_EQUAL(7000, domain.own_result.kept);
}

TEST(shift_limiter, forced_moves_stay_under_the_cap)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    const tally moved = domain.run(60s, 1, 2);
    // A quarter of the own callers' 6,000 requests, in 21 paced slices.
    CHECK_TRUE(moved.served() <= 1500);
    CHECK_TRUE(moved.served() >= 1300);
    CHECK_EQUAL(12000, moved.served() + moved.refused);
}

TEST(shift_limiter, callers_who_come_by_themselves_count)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    const tally moved = domain.run(60s, 1, 2, true);
    CHECK_TRUE(moved.served() <= 1500);
    CHECK_TRUE(moved.refused > 9000);
}

TEST(shift_limiter, the_window_slides_without_doubling_at_an_edge)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    // Each window of 60 s, whatever it starts with, holds the cap at most.
    domain.run(45s, 1, 0);
    tally moved = domain.run(30s, 1, 2);
    domain.run(3s, 1, 0);
    const tally more = domain.run(27s, 1, 2);
    CHECK_TRUE(moved.served() + more.moved <= 1500);
}

TEST(shift_limiter, what_was_served_for_a_window_is_settled_and_frees_the_cap)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(79s, 1, 2);
    const tally second = domain.run(60s, 1, 2);
    CHECK_TRUE(second.kept > 1000);
    CHECK_TRUE(second.moved <= 1500);
    CHECK_TRUE(second.served() > 2300);
}

TEST(shift_limiter, traffic_that_falls_takes_its_share_of_the_cap_with_it)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(60s, 0, 0);
    const tally moved = domain.run(30s, 0, 2);
    CHECK_EQUAL(0, moved.served());
}

TEST(shift_limiter, a_new_owner_lets_nothing_move_for_one_window)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.begin(service, domain.now);
    CHECK_EQUAL(0, domain.run(60s, 1, 2).served());
    CHECK_TRUE(domain.run(30s, 1, 2).served() > 0);
}

TEST(shift_limiter, a_new_owner_goes_on_with_what_its_predecessor_had_settled)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(90s, 1, 1);
    for (const addressed_claim& each : domain.limiter.tick(domain.now)) {
        if (each.to == near) {
            domain.limiter.receive(near, each.claim, domain.now);
        }
    }
    domain.limiter.begin(service, domain.now);
    const tally kept = domain.run(30s, 1, 1);
    // Some 24/s were settled; two slices of the quarter at the takeover are lost.
    CHECK_TRUE(kept.kept > 450);
    CHECK_EQUAL(0, kept.moved);
}

TEST(shift_limiter, moving_back_counts)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    // Half of the own callers' 100/s are settled in the other domain, and come here now.
    domain.own_result = {};
    domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
    const std::uint64_t limit = domain.limiter.account(service, domain.now).limit;
    for (int second = 0; second < 60; ++second) {
        domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
        domain.run(1s, 1, 0);
    }
    CHECK_TRUE(domain.own_result.moved > 0);
    CHECK_TRUE(static_cast<std::uint64_t>(domain.own_result.moved) <= limit);
    CHECK_TRUE(domain.own_result.elsewhere > 500);
}

TEST(shift_limiter, callers_who_go_back_by_themselves_are_counted_when_the_claim_says_so)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 50.0), domain.now);
    domain.run(1s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
    CHECK_EQUAL(50U, domain.limiter.account(service, domain.now).moved);
}

TEST(shift_limiter, a_silent_domain_keeps_its_claim_for_one_window)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 50.0), domain.now);
    domain.run(4s, 1, 0);
    domain.own_result = {};
    domain.run(20s, 1, 0);
    CHECK_TRUE(domain.own_result.elsewhere > 0);
    domain.run(40s, 1, 0);
    domain.own_result = {};
    domain.run(10s, 1, 0);
    CHECK_EQUAL(0, domain.own_result.elsewhere);
}

TEST(shift_limiter, the_lowest_class_is_refused_first)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    tally high;
    tally low;
    for (const time_point end = domain.now + 30s; domain.now < end; domain.now += 10ms) {
        domain.one(domain.own_result, near, bulk, true);
        domain.one(high, far, gold, false);
        domain.one(low, far, bulk, false);
    }
    CHECK_TRUE(high.refused > 0);
    CHECK_TRUE(high.moved > 650);
    // At most what it got before the higher class was first refused.
    CHECK_TRUE(low.moved < 40);
}

TEST(shift_limiter, claims_name_what_is_settled_and_end_with_a_zero)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(79s, 1, 1);
    const auto claims = domain.limiter.tick(domain.now);
    CHECK_EQUAL(2U, claims.size());
    CHECK_TRUE(claims.front().to == far);
    CHECK_TRUE(claims.front().claim.settled.value() > 15.0);
    domain.run(20s, 1, 0);
    CHECK_EQUAL(0.0, domain.limiter.tick(domain.now).front().claim.settled.value());
    domain.run(60s, 1, 0);
    CHECK_TRUE(domain.limiter.tick(domain.now).empty());
}
