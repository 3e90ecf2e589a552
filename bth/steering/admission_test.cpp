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

    waiting_request request(std::uint8_t level, std::uint16_t home = 0)
    {
        ++this->last_id;
        return {request_id{this->last_id}, web, priority_level{level}, domain_id{home},
                this->now + 2s};
    }
    offer_result offer(std::uint8_t level, std::uint16_t home = 0)
    {
        return this->queues.offer(this->request(level, home), six_slots, this->now);
    }
};
// clang-format on

TEST(admission, the_bound_follows_from_the_slots)
{
    for (int count = 0; count < 24; ++count) {
        CHECK_FALSE(offer(1).refused.has_value());
    }
    CHECK_TRUE(offer(1).refused == refusal_reason::queue_full);
    CHECK_TRUE(offer(2).refused == refusal_reason::priority);
}

TEST(admission, a_queue_that_stands_is_cut_to_one_service_time)
{
    for (int count = 0; count < 7; ++count) {
        offer(1);
    }
    now += 200ms;
    CHECK_TRUE(offer(1).refused == refusal_reason::queue_full);
    CHECK_EQUAL(7, queues.waiting(web));
}

TEST(admission, one_domain_with_many_requests_gives_way_to_another_of_the_same_class)
{
    for (int count = 0; count < 24; ++count) {
        offer(1, 0);
    }
    const auto answer = offer(1, 1);
    CHECK_FALSE(answer.refused.has_value());
    CHECK_EQUAL(1, answer.dropped.size());
    CHECK_TRUE(answer.dropped.front().home == domain_id{0});
}

TEST(admission, domains_take_turns_within_a_class)
{
    std::vector<waiting_request> all;
    const std::vector<std::uint16_t> homes{0, 0, 0, 1};
    for (const std::uint16_t home : homes) {
        all.push_back(request(1, home));
        queues.offer(all.back(), six_slots, now);
    }
    queues.remove(all.at(0));
    CHECK_TRUE(queues.next(web) == all.at(3).id);
    queues.remove(all.at(3));
    CHECK_TRUE(queues.next(web) == all.at(1).id);
}

TEST(admission, what_would_wait_past_its_deadline_is_refused_at_once)
{
    for (int count = 0; count < 12; ++count) {
        offer(1);
    }
    auto hurried = request(1);
    hurried.deadline = now + 15ms;
    CHECK_TRUE(queues.offer(hurried, six_slots, now).refused == refusal_reason::deadline);
    hurried.level = priority_level{0};
    CHECK_FALSE(queues.offer(hurried, six_slots, now).refused.has_value());
}

TEST(admission, what_has_waited_too_long_comes_out)
{
    auto hurried = request(1);
    hurried.deadline = now + 20ms;
    queues.offer(hurried, six_slots, now);
    CHECK_EQUAL(0, queues.expire(web, six_slots, now + 10ms).size());
    CHECK_EQUAL(1, queues.expire(web, six_slots, now + 15ms).size());
    CHECK_EQUAL(0, queues.waiting(web));
}

TEST(admission, the_time_to_come_back_grows_with_what_was_refused)
{
    const auto calm = queues.retry_after(web, priority_level{1}, six_slots, now);
    for (int count = 0; count < 2000; ++count) {
        queues.count_refusal(web, priority_level{1}, now);
    }
    const auto strained = queues.retry_after(web, priority_level{1}, six_slots, now);
    CHECK_TRUE(strained >= 2s);
    CHECK_TRUE(calm < 1s);
    CHECK_TRUE(queues.retry_after(web, priority_level{0}, six_slots, now) < 1s);
}
