#include "bth/gateway/handoff.h"

#include <chrono>
#include <limits>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
using bth::dispatch::send_outcome;

template <class Message>
Message encode_and_decode(const Message& sent)
{
    return std::get<Message>(*decode_handoff(encode_handoff(sent)));
}

} // namespace

TEST_GROUP(handoff){};

TEST(handoff, request_survives_a_round_trip)
{
    const std::string binary{"GET / HTTP/1.1\r\n\r\n\0\xff", 20};
    const auto decoded = encode_and_decode(handoff_request{7, "t", "route", "orders", "id",
                                                           bth::dispatch::request_fingerprint{9}, 8,
                                                           binary, true, true, 800ms, 250ms, 2});
    LONGS_EQUAL(7, decoded.id);
    LONGS_EQUAL(9, decoded.fingerprint.value());
    STRCMP_EQUAL("t", decoded.target.c_str());
    CHECK(decoded.request_bytes == binary);
    CHECK_TRUE(decoded.is_head && decoded.at_most_once);
    DOUBLES_EQUAL(800, decoded.remaining_time.count(), 0.1);
    DOUBLES_EQUAL(250, decoded.remaining_objective_time.count(), 0.1);
    LONGS_EQUAL(2, decoded.priority);
    CHECK_FALSE(decoded.selects_target());
    CHECK_TRUE(decoded.allowed_regions.empty());
    handoff_request relayed;
    relayed.allowed_regions = {"north"};
    CHECK_TRUE(encode_and_decode(relayed).selects_target());
    CHECK(encode_and_decode(relayed).allowed_regions == relayed.allowed_regions);
}

TEST(handoff, signals_of_a_target_survive_a_round_trip)
{
    handoff_outcome sent;
    CHECK_FALSE(encode_and_decode(sent).result.signals.leaves);
    CHECK_FALSE(encode_and_decode(sent).result.signals.rest.has_value());
    sent.result.signals.leaves = true;
    sent.result.signals.rest = 2500ms;
    CHECK_TRUE(encode_and_decode(sent).result.signals.leaves);
    CHECK(encode_and_decode(sent).result.signals.rest == 2500ms);
}

TEST(handoff, whether_a_target_refuses_connections_survives_a_round_trip)
{
    handoff_outcome sent;
    CHECK_FALSE(encode_and_decode(sent).result.target_refuses);
    sent.result.target_refuses = true;
    CHECK_TRUE(encode_and_decode(sent).result.target_refuses);
}

TEST(handoff, what_hosts_know_of_a_shared_out_target_survives_a_round_trip)
{
    handoff_request request;
    CHECK_FALSE(encode_and_decode(request).limit.has_value());
    request.remaining_cold_time = 1500ms;
    request.limit = 1.25;
    DOUBLES_EQUAL(1500, encode_and_decode(request).remaining_cold_time.count(), 0.1);
    DOUBLES_EQUAL(1.25, *encode_and_decode(request).limit, 0);
    handoff_outcome sent;
    CHECK_FALSE(encode_and_decode(sent).result.signals.limit.has_value());
    CHECK_FALSE(encode_and_decode(sent).result.signals.has_no_limit);
    sent.result.signals.limit = 0.0;
    CHECK_TRUE(encode_and_decode(sent).result.signals.limit.has_value());
    sent.result.signals.limit = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(encode_and_decode(sent).result.signals.limit.has_value());
    sent.result.signals.has_no_limit = true;
    CHECK_TRUE(encode_and_decode(sent).result.signals.has_no_limit);
}

TEST(handoff, outcome_survives_a_round_trip)
{
    handoff_outcome sent;
    sent.id = 9;
    sent.result = {send_outcome::failed,
                   true,
                   true,
                   caller_response{500, "A: b\r\n", "body", "", false},
                   std::nullopt,
                   std::nullopt,
                   false};
    sent.object_sent_recently = true;
    sent.took = 120ms;
    sent.expected_wait = 30ms;
    sent.at_target = 4;
    const auto decoded = encode_and_decode(sent);
    CHECK(decoded.result.outcome == send_outcome::failed);
    CHECK_TRUE(decoded.result.may_have_run && decoded.result.may_have_arrived &&
               decoded.object_sent_recently);
    LONGS_EQUAL(500, decoded.result.response->status);
    STRCMP_EQUAL("body", decoded.result.response->body.c_str());
    LONGS_EQUAL(4, decoded.at_target);
    CHECK(decoded.declined == decline_reason::none);
}

TEST(handoff, declined_outcome_states_that_nothing_was_sent)
{
    handoff_outcome sent;
    sent.declined = decline_reason::full;
    sent.expected_wait = 90ms;
    const auto decoded = encode_and_decode(sent);
    CHECK(decoded.declined == decline_reason::full);
    CHECK_FALSE(decoded.result.may_have_run);
    CHECK_FALSE(decoded.result.response.has_value());
}

// A host of an earlier build passes on what a target wrote, such as a status of 000.
TEST(handoff, response_whose_head_is_none_is_a_broken_attempt)
{
    handoff_outcome outcome;
    outcome.result.outcome = bth::dispatch::send_outcome::answered;
    const auto sent_on = [&](caller_response response) {
        outcome.result.response = std::move(response);
        const auto decoded = decode_handoff(encode_handoff(outcome));
        return std::get<handoff_outcome>(decoded.value()).result;
    };
    CHECK_TRUE(sent_on({200, "A: 1\r\n", "body", "", false}).response.has_value());
    for (const auto& response :
         {caller_response{0, "A: 1\r\n", "body", "", false}, caller_response{99, "", "", "", false},
          caller_response{103, "", "", "", false}, caller_response{600, "", "", "", false},
          caller_response{200, "A b: 1\r\n", "", "", false},
          caller_response{200, "A: 1\r\n\r\n", "", "", false},
          caller_response{200, "", "", "2, 2", false}}) {
        const auto result = sent_on(response);
        CHECK_FALSE(result.response.has_value());
        CHECK_TRUE(result.outcome == bth::dispatch::send_outcome::broken);
        CHECK_TRUE(result.may_have_run);
    }
}

TEST(handoff, malformed_bytes_are_rejected)
{
    CHECK_FALSE(decode_handoff("").has_value());
    const std::string damaged(64, '\x7f');
    CHECK_FALSE(decode_handoff(damaged).has_value());
}
