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

// Numbers of requests by decision.
struct tally {
    int unshifted{};
    int shifted{};
    int settled_elsewhere{};
    int refused{};
    int served() const { return this->unshifted + this->shifted; }
};

// The limiter of one domain, which owns the service. Requests arrive at regular intervals.
struct one_domain {
    one_domain()
    {
        this->limiter.configure(this->model, near, this->now);
        this->limiter.start_ownership(service, this->now);
    }

    // Decides about one request and adds the decision to `result`.
    void send_one(tally& result, domain_id home, priority_level priority, bool direct)
    {
        const shift_query query{service, home, priority, direct};
        const shift_verdict verdict = this->limiter.decide(query, this->now);
        switch (verdict.decision) {
        case shift_decision::not_a_shift:
            ++result.unshifted;
            break;
        case shift_decision::allowed_shift:
            ++result.shifted;
            break;
        case shift_decision::settled_elsewhere:
            ++result.settled_elsewhere;
            return;
        case shift_decision::refused:
            ++result.refused;
            CHECK_TRUE(verdict.retry_after > 0s);
            return;
        }
        this->limiter.record_admitted(query, verdict, this->now);
    }

    // Sends `own_per_step` requests of this domain's callers and `foreign_per_step` requests of the
    // other domain's callers every 10 ms. Returns the decisions about the latter, and adds those
    // about the former to `own_result`. `direct` tells whether the foreign callers come directly.
    tally run(duration span, int own_per_step, int foreign_per_step, bool direct = false)
    {
        tally result;
        for (const time_point end = this->now + span; this->now < end; this->now += 10ms) {
            for (int each = 0; each < own_per_step; ++each) {
                this->send_one(this->own_result, near, bulk, true);
            }
            for (int each = 0; each < foreign_per_step; ++each) {
                this->send_one(result, far, bulk, direct);
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

TEST(shift_limiter, requests_of_own_callers_are_no_shifts_while_nothing_is_settled_elsewhere)
{
    one_domain domain;
    domain.run(70s, 1, 0);
    CHECK_EQUAL(7000, domain.own_result.unshifted);
}

TEST(shift_limiter, forced_shifts_stay_within_the_cap)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    const tally foreign = domain.run(60s, 1, 2);
    // The limit is a quarter of the own callers' 6,000 requests, spread over 21 slices.
    CHECK_TRUE(foreign.served() <= 1500);
    CHECK_TRUE(foreign.served() >= 1300);
    CHECK_EQUAL(12000, foreign.served() + foreign.refused);
}

TEST(shift_limiter, requests_that_callers_send_directly_count_as_shifts)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    const tally foreign = domain.run(60s, 1, 2, true);
    CHECK_TRUE(foreign.served() <= 1500);
    CHECK_TRUE(foreign.refused > 9000);
}

TEST(shift_limiter, sliding_window_never_admits_twice_the_cap_across_a_boundary)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    // Every window of 60 s holds at most the cap, wherever it starts.
    domain.run(45s, 1, 0);
    tally foreign = domain.run(30s, 1, 2);
    domain.run(3s, 1, 0);
    const tally later = domain.run(27s, 1, 2);
    CHECK_TRUE(foreign.served() + later.shifted <= 1500);
}

TEST(shift_limiter, traffic_served_for_a_window_is_settled_and_frees_the_cap)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(79s, 1, 2);
    const tally second = domain.run(60s, 1, 2);
    CHECK_TRUE(second.unshifted > 1000);
    CHECK_TRUE(second.shifted <= 1500);
    CHECK_TRUE(second.served() > 2300);
}

TEST(shift_limiter, cap_shrinks_with_the_traffic)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(60s, 0, 0);
    const tally foreign = domain.run(30s, 0, 2);
    CHECK_EQUAL(0, foreign.served());
}

TEST(shift_limiter, new_owner_admits_no_shifts_for_one_window)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.start_ownership(service, domain.now);
    CHECK_EQUAL(0, domain.run(60s, 1, 2).served());
    CHECK_TRUE(domain.run(30s, 1, 2).served() > 0);
}

TEST(shift_limiter, new_owner_keeps_the_settled_traffic_of_its_predecessor)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.run(90s, 1, 1);
    for (const addressed_claim& each : domain.limiter.tick(domain.now)) {
        if (each.to == near) {
            domain.limiter.receive(near, each.claim, domain.now);
        }
    }
    domain.limiter.start_ownership(service, domain.now);
    const tally after_takeover = domain.run(30s, 1, 1);
    // About 24 requests/s were settled. Two slices of the quarter are lost at the takeover.
    CHECK_TRUE(after_takeover.unshifted > 450);
    CHECK_EQUAL(0, after_takeover.shifted);
}

TEST(shift_limiter, moves_back_count_as_shifts)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    // Half of the own callers' 100 requests/s are settled in the other domain, and come here now.
    domain.own_result = {};
    domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
    const std::uint64_t limit = domain.limiter.cap_usage(service, domain.now).limit;
    for (int second = 0; second < 60; ++second) {
        domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
        domain.run(1s, 1, 0);
    }
    CHECK_TRUE(domain.own_result.shifted > 0);
    CHECK_TRUE(static_cast<std::uint64_t>(domain.own_result.shifted) <= limit);
    CHECK_TRUE(domain.own_result.settled_elsewhere > 500);
}

TEST(shift_limiter, direct_moves_back_are_counted_when_a_claim_announces_them)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 50.0), domain.now);
    domain.run(1s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 0.0), domain.now);
    CHECK_EQUAL(50U, domain.limiter.cap_usage(service, domain.now).shifts);
}

TEST(shift_limiter, claim_of_a_silent_domain_holds_for_one_window)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    domain.limiter.receive(far, claim_of(near, 50.0, 50.0), domain.now);
    domain.run(4s, 1, 0);
    domain.own_result = {};
    domain.run(20s, 1, 0);
    CHECK_TRUE(domain.own_result.settled_elsewhere > 0);
    domain.run(40s, 1, 0);
    domain.own_result = {};
    domain.run(10s, 1, 0);
    CHECK_EQUAL(0, domain.own_result.settled_elsewhere);
}

TEST(shift_limiter, lowest_priority_is_refused_first)
{
    one_domain domain;
    domain.run(61s, 1, 0);
    tally high;
    tally low;
    for (const time_point end = domain.now + 30s; domain.now < end; domain.now += 10ms) {
        domain.send_one(domain.own_result, near, bulk, true);
        domain.send_one(high, far, gold, false);
        domain.send_one(low, far, bulk, false);
    }
    CHECK_TRUE(high.refused > 0);
    CHECK_TRUE(high.shifted > 650);
    // At most the shifts before the higher priority was first refused.
    CHECK_TRUE(low.shifted < 40);
}

TEST(shift_limiter, claims_give_the_settled_traffic_and_end_with_a_zero)
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
