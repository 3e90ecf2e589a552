#include "bth/gateway/handoff.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
using bth::dispatch::send_outcome;

template <class Message>
Message again(const Message& sent)
{
    return std::get<Message>(*decode_handoff(encode_handoff(sent)));
}

} // namespace

TEST_GROUP(handoff){};

TEST(handoff, an_order_comes_back_whole)
{
    const std::string binary{"GET / HTTP/1.1\r\n\r\n\0\xff", 20};
    const auto got = again(
        handoff_order{7, "t", "route", "orders", "id", 8, binary, true, true, 800ms, 250ms, 2});
    LONGS_EQUAL(7, got.id);
    STRCMP_EQUAL("t", got.target.c_str());
    CHECK(got.bytes == binary);
    CHECK_TRUE(got.to_head && got.once);
    DOUBLES_EQUAL(800, got.time_left.count(), 0.1);
    DOUBLES_EQUAL(250, got.objective_left.count(), 0.1);
    LONGS_EQUAL(2, got.priority);
}

TEST(handoff, an_outcome_comes_back_whole)
{
    handoff_outcome sent;
    sent.id = 9;
    sent.result = {send_outcome::failed, true, true, answer{500, "A: b\r\n", "body", "", false},
                   std::nullopt};
    sent.known = true;
    sent.took = 120ms;
    sent.wait = 30ms;
    sent.at_target = 4;
    const auto got = again(sent);
    CHECK(got.result.outcome == send_outcome::failed);
    CHECK_TRUE(got.result.may_have_run && got.result.arrived && got.known);
    LONGS_EQUAL(500, got.result.got->status);
    STRCMP_EQUAL("body", got.result.got->body.c_str());
    LONGS_EQUAL(4, got.at_target);
    CHECK(got.declined == decline::none);
}

TEST(handoff, a_declined_order_says_that_nothing_was_sent)
{
    handoff_outcome sent;
    sent.declined = decline::full;
    sent.wait = 90ms;
    const auto got = again(sent);
    CHECK(got.declined == decline::full);
    CHECK_FALSE(got.result.may_have_run);
    CHECK_FALSE(got.result.got.has_value());
}

TEST(handoff, damaged_bytes_are_refused)
{
    CHECK_FALSE(decode_handoff("").has_value());
    const std::string damaged(64, '\x7f');
    CHECK_FALSE(decode_handoff(damaged).has_value());
}
