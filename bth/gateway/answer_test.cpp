#include "bth/gateway/answer.h"

#include "bth/gateway/split.h"
#include "bth/gateway/stop_plan.h"

#include <chrono>
#include <map>
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

target_answer make_target_answer()
{
    target_answer from{http::status::ok, 11};
    from.set("Receipt", "abc");
    from.set("Connection", "keep-alive, X-Hop");
    from.set("X-Hop", "1");
    from.set("Keep-Alive", "timeout=5");
    from.set("Transfer-Encoding", "chunked");
    from.body() = "bytes";
    return from;
}

} // namespace

TEST_GROUP(gateway_answer){};

TEST(gateway_answer, passes_on_all_but_the_fields_of_the_connection)
{
    const auto text = serialize(pass_on(make_target_answer(), false), false);
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nReceipt: abc\r\nContent-Length: 5\r\n\r\nbytes", text.c_str());
}

TEST(gateway_answer, an_answer_to_head_states_the_length_without_a_body)
{
    auto from = make_target_answer();
    from.erase("Transfer-Encoding");
    from.set("Content-Length", "42");
    from.body().clear();
    const auto text = serialize(pass_on(std::move(from), true), false);
    CHECK_TRUE(contains(text, "Content-Length: 42\r\n"));
}

TEST(gateway_answer, a_refusal_promises_not_run_only_where_that_is_known)
{
    const auto not_run = make_refusal({refusal_reason::queue_full, run_state::no, 250ms});
    LONGS_EQUAL(503, not_run.status);
    CHECK_TRUE(contains(not_run.fields, "Retry-After: 0.250\r\n"));
    const auto failed = make_refusal({refusal_reason::target_failed, run_state::unknown, 250ms});
    LONGS_EQUAL(502, failed.status);
    CHECK_FALSE(contains(failed.fields, "Retry-After"));
    LONGS_EQUAL(504, make_refusal({refusal_reason::deadline, run_state::unknown, {}}).status);
}

TEST(gateway_answer, closing_is_stated)
{
    CHECK_TRUE(
        contains(serialize(make_plain(400, "bad_request", true), true), "Connection: close\r\n"));
}

TEST_GROUP(weighted_split){};

TEST(weighted_split, every_run_of_requests_has_the_shares)
{
    weighted_split split;
    const std::vector<bth::route::service_share> parts{{"old", 90}, {"new", 10}};
    std::map<std::string, int> counts;
    for (int each = 0; each < 100; ++each) {
        ++counts[split.next(parts)];
    }
    LONGS_EQUAL(90, counts["old"]);
    LONGS_EQUAL(10, counts["new"]);
}

TEST(weighted_split, a_part_without_weight_gets_nothing)
{
    weighted_split split;
    const std::vector<bth::route::service_share> parts{{"off", 0}, {"on", 5}};
    for (int each = 0; each < 10; ++each) {
        STRCMP_EQUAL("on", split.next(parts).c_str());
    }
}

TEST_GROUP(stop_plan){};

// Callers keep a look-up for up to three times its time; none of them may find the host gone.
TEST(stop_plan, callers_with_the_oldest_look_up_are_still_served)
{
    const auto plan = plan_stop(6s, 5s);
    CHECK(plan.accept_until >= look_up_ttl(5s) * 3);
    CHECK(plan.leave_by < 6s);
    CHECK(plan.leave_by - plan.accept_until >= 1900ms);
}

TEST(stop_plan, a_short_grace_is_never_exceeded)
{
    const auto plan = plan_stop(1s, 5s);
    CHECK(plan.accept_until <= plan.leave_by);
    CHECK(plan.leave_by < 1s);
}
