#include "bth/steering/admission.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

constexpr service_capacity six_slots{6, 6ms};

} // namespace

// clang-format off
TEST_GROUP(admission)
{
    admission queues;
    time_point now{10s};
    std::uint64_t last_id{};

    void setup() override { this->queues.apply(*small_site(), nullptr); }

    waiting_request request(std::uint8_t level, std::uint16_t caller_domain = 0)
    {
        ++this->last_id;
        return {request_id{this->last_id}, web, priority_level{level}, domain_id{caller_domain},
                this->now + 2s};
    }
    offer_result offer(std::uint8_t level, std::uint16_t caller_domain = 0)
    {
        return this->queues.offer(this->request(level, caller_domain), six_slots, this->now);
    }
};
// clang-format on

TEST(admission, the_queue_limit_follows_from_the_slots)
{
    for (int count = 0; count < 24; ++count) {
        CHECK_FALSE(offer(1).refused.has_value());
    }
    CHECK_TRUE(offer(1).refused == refusal_reason::queue_full);
    CHECK_TRUE(offer(2).refused == refusal_reason::priority);
}

TEST(admission, a_standing_queue_is_limited_to_one_service_time)
{
    for (int count = 0; count < 7; ++count) {
        offer(1);
    }
    now += 200ms;
    CHECK_TRUE(offer(1).refused == refusal_reason::queue_full);
    CHECK_EQUAL(7, queues.waiting(web));
}

TEST(admission, a_domain_with_many_requests_is_displaced_by_another_of_the_same_class)
{
    for (int count = 0; count < 24; ++count) {
        offer(1, 0);
    }
    const auto answer = offer(1, 1);
    CHECK_FALSE(answer.refused.has_value());
    CHECK_EQUAL(1, answer.dropped.size());
    CHECK_TRUE(answer.dropped.front().caller_domain == domain_id{0});
}

TEST(admission, domains_are_served_round_robin_within_a_class)
{
    std::vector<waiting_request> all;
    const std::vector<std::uint16_t> caller_domains{0, 0, 0, 1};
    for (const std::uint16_t caller_domain : caller_domains) {
        all.push_back(request(1, caller_domain));
        queues.offer(all.back(), six_slots, now);
    }
    queues.remove(all.at(0));
    CHECK_TRUE(queues.next(web) == all.at(3).id);
    queues.remove(all.at(3));
    CHECK_TRUE(queues.next(web) == all.at(1).id);
}

TEST(admission, a_request_that_would_wait_past_its_deadline_is_refused_immediately)
{
    for (int count = 0; count < 12; ++count) {
        offer(1);
    }
    auto urgent = request(1);
    urgent.deadline = now + 15ms;
    CHECK_TRUE(queues.offer(urgent, six_slots, now).refused == refusal_reason::deadline);
    urgent.level = priority_level{0};
    CHECK_FALSE(queues.offer(urgent, six_slots, now).refused.has_value());
}

TEST(admission, a_request_that_can_no_longer_meet_its_deadline_expires)
{
    auto urgent = request(1);
    urgent.deadline = now + 20ms;
    queues.offer(urgent, six_slots, now);
    CHECK_EQUAL(0, queues.expire(web, six_slots, now + 10ms).size());
    CHECK_EQUAL(1, queues.expire(web, six_slots, now + 15ms).size());
    CHECK_EQUAL(0, queues.waiting(web));
}

TEST(admission, retry_after_grows_with_the_number_of_refusals)
{
    const auto without_refusals = queues.retry_after(web, priority_level{1}, six_slots, now);
    for (int count = 0; count < 2000; ++count) {
        queues.count_refusal(web, priority_level{1}, now);
    }
    const auto after_refusals = queues.retry_after(web, priority_level{1}, six_slots, now);
    CHECK_TRUE(after_refusals >= 2s);
    CHECK_TRUE(without_refusals < 1s);
    CHECK_TRUE(queues.retry_after(web, priority_level{0}, six_slots, now) < 1s);
}
