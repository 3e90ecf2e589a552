#include "bth/gateway/caller_response.h"

#include "bth/gateway/stop_plan.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
using bth::refusal_reason;
using bth::run_state;

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

target_response make_target_response()
{
    target_response received{http::status::ok, 11};
    received.set("Receipt", "abc");
    received.set("Connection", "keep-alive, X-Hop");
    received.set("X-Hop", "1");
    received.set("Keep-Alive", "timeout=5");
    received.set("Transfer-Encoding", "chunked");
    received.body() = "bytes";
    return received;
}

} // namespace

TEST_GROUP(caller_response){};

TEST(caller_response, relays_all_but_hop_by_hop_fields)
{
    const auto text = serialize(make_relayed_response(make_target_response(), false), false);
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nReceipt: abc\r\nContent-Length: 5\r\n\r\nbytes", text.c_str());
}

TEST(caller_response, response_to_head_states_length_without_body)
{
    auto received = make_target_response();
    received.erase("Transfer-Encoding");
    received.set("Content-Length", "42");
    received.body().clear();
    const auto text = serialize(make_relayed_response(std::move(received), true), false);
    CHECK_TRUE(contains(text, "Content-Length: 42\r\n"));
}

TEST(caller_response, refusal_states_not_run_only_if_known)
{
    const auto not_run = make_refusal_response({refusal_reason::queue_full, run_state::no, 250ms});
    LONGS_EQUAL(503, not_run.status);
    CHECK_TRUE(contains(not_run.header_lines, "Retry-After: 0.250\r\n"));
    const auto failed =
        make_refusal_response({refusal_reason::target_failed, run_state::unknown, 250ms});
    LONGS_EQUAL(502, failed.status);
    CHECK_FALSE(contains(failed.header_lines, "Retry-After"));
    LONGS_EQUAL(504,
                make_refusal_response({refusal_reason::deadline, run_state::unknown, {}}).status);
}

// The body of a refusal of HEAD stood where the next response was due.
TEST(caller_response, response_of_this_host_to_head_has_no_body)
{
    const auto refused = make_refusal_response({refusal_reason::queue_full, run_state::no, 250ms});
    const auto text = serialize(refused, false, true);
    CHECK_TRUE(contains(text, "Content-Length: " + std::to_string(refused.body.size()) + "\r\n"));
    CHECK_TRUE(text.ends_with("\r\n\r\n"));
    CHECK_TRUE(serialize(refused, false).ends_with(refused.body));
}

TEST(caller_response, closing_response_states_connection_close)
{
    CHECK_TRUE(contains(serialize(make_error_response(400, "bad_request", true), true),
                        "Connection: close\r\n"));
}

TEST_GROUP(stop_plan){};

// Guards against a host that stops accepting requests while callers still send to it. Some callers
// use a lookup response that names the host for up to three times its TTL.
TEST(stop_plan, callers_with_the_oldest_lookup_are_still_served)
{
    const auto plan = plan_stop(6s, 5s);
    CHECK(plan.accept_until >= look_up_ttl(5s) * 3);
    CHECK(plan.exit_by < 6s);
    CHECK(plan.exit_by - plan.accept_until >= 1900ms);
    CHECK(plan.answer_by > plan.accept_until);
    CHECK(plan.answer_by < plan.exit_by);
}

TEST(stop_plan, deadlines_stay_within_a_short_grace_time)
{
    const auto plan = plan_stop(1s, 5s);
    CHECK(plan.accept_until <= plan.exit_by);
    CHECK(plan.answer_by < plan.exit_by);
    CHECK(plan.exit_by < 1s);
}

TEST(stop_plan, requests_that_may_outlast_the_stop_are_accepted_in_its_first_half)
{
    for (const auto grace : {1s, 3s, 6s, 30s}) {
        CHECK(plan_stop(grace, 5s).accept_long_until == bth::duration{grace} / 2);
    }
}

TEST(stop_plan, requests_in_flight_keep_most_of_any_grace_time)
{
    for (const auto grace : {1s, 2s, 3s, 6s, 30s}) {
        const auto plan = plan_stop(grace, 5s);
        CHECK(plan.end_requests_at >= bth::duration{grace} * 5 / 6 - 1ms);
        CHECK(plan.answer_by < plan.end_requests_at);
        CHECK(plan.end_requests_at < plan.exit_by);
        CHECK(plan.exit_by < grace);
    }
}
