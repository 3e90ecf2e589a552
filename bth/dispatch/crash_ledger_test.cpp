#include "bth/dispatch/crash_ledger.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::dispatch;
using bth::duration;
using bth::time_point;

constexpr time_point start{1h};
constexpr time_point never{1000h};
constexpr request_fingerprint culprit{1};
constexpr request_fingerprint bystander{2};
const service_key orders = make_service_key("orders");

// A ledger, and the crashes that a host records in it.
struct fixture {
    crash_ledger ledger;
    int targets{};

    // Another target crashes with these requests.
    void crash(time_point now, std::initializer_list<request_fingerprint> requests)
    {
        const auto target = make_target_key("t" + std::to_string(this->targets++));
        for (const auto request : requests) {
            this->ledger.record_crash(now, {request, target, orders, {}}, news_source::observed);
        }
    }
    crash_verdict verdict(time_point now, request_fingerprint request)
    {
        return this->ledger.judge(now, request, {}, never).verdict;
    }
};

} // namespace

TEST_GROUP(crash_ledger){};

TEST(crash_ledger, one_crash_has_no_consequence)
{
    fixture at;
    at.crash(start, {culprit});
    CHECK(at.verdict(start, culprit) == crash_verdict::clear);
    CHECK(at.verdict(start + 1min, culprit) == crash_verdict::clear);
}

TEST(crash_ledger, after_two_crashes_the_next_run_waits_for_reports_and_is_a_trial)
{
    fixture at;
    at.crash(start, {culprit});
    at.crash(start + 1s, {culprit});
    CHECK(at.verdict(start + 1s, culprit) == crash_verdict::held);
    CHECK(at.verdict(start + 1s + crash_ledger::settling_time, culprit) == crash_verdict::on_trial);
}

TEST(crash_ledger, trials_begin_at_some_hosts_before_others)
{
    fixture at;
    at.crash(start, {culprit});
    at.crash(start + 1s, {culprit});
    const auto settled = start + 1s + crash_ledger::settling_time;
    int early = 0;
    for (std::uint32_t rank = 0; rank < 8; ++rank) {
        early +=
            at.ledger.judge(settled, culprit, {rank, 8}, never).verdict == crash_verdict::on_trial;
        CHECK(at.ledger.judge(settled + 2s, culprit, {rank, 8}, never).verdict ==
              crash_verdict::on_trial);
    }
    LONGS_EQUAL(2, early);
}

TEST(crash_ledger, after_three_crashes_the_request_is_refused_until_they_are_forgotten)
{
    fixture at;
    for (int i = 0; i < 3; ++i) {
        at.crash(start + 1s * i, {culprit});
    }
    CHECK(at.verdict(start + 2s, culprit) == crash_verdict::held);
    const auto judgement =
        at.ledger.judge(start + 2s + crash_ledger::settling_time, culprit, {}, never);
    CHECK(judgement.verdict == crash_verdict::refused);
    CHECK(judgement.wait == crash_ledger::retention - crash_ledger::settling_time);
    LONGS_EQUAL(3, judgement.crashes);
    CHECK(at.verdict(start + 2s + crash_ledger::retention, culprit) == crash_verdict::clear);
    LONGS_EQUAL(0, at.ledger.size());
}

TEST(crash_ledger, a_request_with_two_crashes_is_not_held_beyond_its_deadline)
{
    fixture at;
    at.crash(start, {culprit});
    at.crash(start + 1s, {culprit});
    const auto now = start + 1s;
    CHECK(at.ledger.judge(now, culprit, {}, now + 100ms).verdict == crash_verdict::on_trial);
    CHECK_FALSE(at.ledger.is_barred(now, culprit, {}));
    at.crash(now, {culprit});
    CHECK(at.ledger.judge(now, culprit, {}, now + 100ms).verdict == crash_verdict::refused);
    CHECK_TRUE(at.ledger.is_barred(now, culprit, {}));
}

TEST(crash_ledger, a_host_out_of_contact_needs_more_crashes)
{
    fixture at;
    const host_view alone{0, 1, false};
    for (int i = 0; i < 4; ++i) {
        at.crash(start + 1s * i, {culprit});
    }
    CHECK(at.ledger.judge(start + 5s, culprit, alone, never).verdict == crash_verdict::on_trial);
    CHECK(at.verdict(start + 5s, culprit) == crash_verdict::refused);
    at.crash(start + 5s, {culprit});
    CHECK(at.ledger.judge(start + 7s, culprit, alone, never).verdict == crash_verdict::refused);
}

TEST(crash_ledger, a_crash_has_one_cause)
{
    fixture at;
    // The bystander was repeated with the culprit three times.
    at.crash(start, {culprit});
    for (int i = 1; i < 4; ++i) {
        at.crash(start + 1s * i, {culprit, bystander});
    }
    CHECK(at.verdict(start + 5s, culprit) == crash_verdict::refused);
    CHECK(at.verdict(start + 5s, bystander) == crash_verdict::clear);
}

TEST(crash_ledger, requests_that_were_at_the_same_crashes_are_told_apart_by_the_next)
{
    fixture at;
    for (int i = 0; i < 3; ++i) {
        at.crash(start + 1s * i, {culprit, bystander});
    }
    CHECK(at.verdict(start + 5s, culprit) == crash_verdict::on_trial);
    CHECK(at.verdict(start + 5s, bystander) == crash_verdict::on_trial);
    at.crash(start + 5s, {culprit});
    CHECK(at.verdict(start + 7s, culprit) == crash_verdict::refused);
    CHECK(at.verdict(start + 7s, bystander) == crash_verdict::clear);
}

TEST(crash_ledger, an_answer_clears_a_request_of_earlier_crashes)
{
    fixture at;
    for (int i = 0; i < 3; ++i) {
        at.crash(start + 1s * i, {bystander});
    }
    CHECK(at.verdict(start + 4s, bystander) == crash_verdict::refused);
    CHECK_TRUE(at.ledger.record_completion(start + 4s, bystander));
    CHECK(at.verdict(start + 4s, bystander) == crash_verdict::clear);
    CHECK_FALSE(at.ledger.record_completion(start + 5s, bystander));
}

TEST(crash_ledger, crash_of_a_moment_is_not_forgotten_when_the_requests_there_are_answered)
{
    constexpr request_fingerprint answered{3};
    fixture at;
    // Two of three targets that crash together, and one of three again.
    at.crash(start, {answered});
    at.crash(start, {bystander});
    at.crash(start, {bystander});
    at.ledger.record_completion(start + 1s, answered);
    at.crash(start + 2s, {bystander});
    CHECK(at.verdict(start + 1min, bystander) != crash_verdict::refused);
}

TEST(crash_ledger, crash_of_a_moment_counts_though_it_is_heard_of_after_the_answer)
{
    constexpr request_fingerprint answered{3};
    fixture at;
    at.crash(start, {bystander});
    at.crash(start, {bystander});
    const completion_report answer{answered, 500ms};
    at.ledger.merge(start + 1s, {{}, {answer}}, news_source::relayed);
    const crash_report late{answered, make_target_key("other"), orders, 1s};
    at.ledger.merge(start + 1s, {{late}, {}}, news_source::relayed);
    at.crash(start + 2s, {bystander});
    CHECK(at.verdict(start + 1min, bystander) != crash_verdict::refused);
}

TEST(crash_ledger, a_report_that_arrives_after_a_later_answer_is_void_on_all_hosts)
{
    fixture here;
    here.ledger.record_completion(start + 1s, bystander);
    const crash_report earlier{bystander, make_target_key("t"), orders, 500ms};
    CHECK_TRUE(here.ledger.record_crash(start + 1200ms, earlier, news_source::relayed));
    LONGS_EQUAL(0, here.ledger.size());
    fixture elsewhere;
    elsewhere.ledger.record_crash(start + 1200ms, earlier, news_source::observed);
    std::uint64_t cursor = 0;
    elsewhere.ledger.merge(start + 1300ms,
                           here.ledger.news_since(start + 1200ms, cursor, news_scope::observed),
                           news_source::relayed);
    LONGS_EQUAL(0, elsewhere.ledger.size());
}

TEST(crash_ledger, a_request_that_is_everywhere_is_found_at_once)
{
    // Twelve hosts have sent it before the first crash is known.
    fixture at;
    for (int i = 0; i < 12; ++i) {
        at.crash(start + 10ms * i, {culprit, request_fingerprint{100 + std::uint64_t(i)}});
    }
    CHECK(at.verdict(start + 1s, culprit) == crash_verdict::refused);
    CHECK(at.verdict(start + 1s, request_fingerprint{100}) == crash_verdict::clear);
}

TEST(crash_ledger, crashes_of_many_targets_at_once_count_little_against_one_request)
{
    fixture at;
    // Four copies of a request are at four of twelve targets that a lost rack takes along, twice.
    for (int wave = 0; wave < 2; ++wave) {
        for (int i = 0; i < 12; ++i) {
            const auto other = request_fingerprint{100 + std::uint64_t(wave * 12 + i)};
            const auto now = start + 5s * wave + 5ms * i;
            if (i < 4) {
                at.crash(now, {bystander, other});
            }
            else {
                at.crash(now, {other});
            }
        }
    }
    CHECK(at.verdict(start + 10s, bystander) != crash_verdict::refused);
}

TEST(crash_ledger, crashes_of_other_services_do_not_matter)
{
    fixture at;
    for (int i = 0; i < 3; ++i) {
        at.crash(start + 1s * i, {culprit});
        for (int other = 0; other < 10; ++other) {
            at.ledger.record_crash(start + 1s * i,
                                   {request_fingerprint{50 + std::uint64_t(10 * i + other)},
                                    make_target_key("other" + std::to_string(10 * i + other)),
                                    make_service_key("quotes"),
                                    {}},
                                   news_source::observed);
        }
    }
    CHECK(at.verdict(start + 5s, culprit) == crash_verdict::refused);
}

TEST(crash_ledger, reports_of_one_crash_by_two_hosts_count_once)
{
    fixture at;
    const auto target = make_target_key("t");
    CHECK_TRUE(at.ledger.record_crash(start, {culprit, target, orders, {}}, news_source::observed));
    CHECK_FALSE(at.ledger.record_crash(start + 400ms, {culprit, target, orders, 350ms},
                                       news_source::relayed));
    LONGS_EQUAL(1, at.ledger.size());
    // A target that starts again under its id can crash again.
    CHECK_TRUE(
        at.ledger.record_crash(start + 5s, {culprit, target, orders, {}}, news_source::observed));
}

TEST(crash_ledger, a_host_that_hears_all_at_once_judges_like_the_others)
{
    fixture first;
    first.crash(start, {culprit, bystander});
    first.crash(start + 1s, {culprit});
    first.crash(start + 2s, {culprit, bystander});
    first.ledger.record_completion(start + 3s, bystander);
    crash_ledger started;
    std::uint64_t cursor = 0;
    started.merge(start + 1min, first.ledger.news_since(start + 1min, cursor, news_scope::all),
                  news_source::relayed);
    CHECK_FALSE(first.ledger.has_news_since(cursor));
    const auto now = start + 1min + crash_ledger::settling_time;
    CHECK(started.judge(now, culprit, {}, never).verdict == crash_verdict::refused);
    CHECK(started.judge(now, bystander, {}, never).verdict == crash_verdict::clear);
}

TEST(crash_ledger, relayed_news_are_not_passed_on_to_those_who_have_them)
{
    crash_ledger ledger;
    const crash_news news{{{culprit, make_target_key("t"), orders, 1s}}, {{bystander, 1s}}};
    CHECK_TRUE(ledger.merge(start, news, news_source::relayed));
    const crash_news same_news{{{culprit, make_target_key("t"), orders, 1450ms}},
                               {{bystander, 1450ms}}};
    CHECK_FALSE(ledger.merge(start + 400ms, same_news, news_source::relayed));
    std::uint64_t cursor = 0;
    CHECK_TRUE(ledger.news_since(start, cursor, news_scope::observed).empty());
    cursor = 0;
    CHECK(ledger.news_since(start, cursor, news_scope::all) == news);
}

TEST(crash_ledger, memory_and_messages_are_bounded_where_every_request_differs)
{
    crash_ledger ledger;
    const auto repeated_target = make_target_key("repeated");
    ledger.record_crash(start, {culprit, repeated_target, orders, {}}, news_source::observed);
    ledger.record_crash(start + 5s, {culprit, repeated_target, orders, {}}, news_source::observed);
    for (std::uint64_t i = 0; i < 3 * crash_ledger::max_crashes; ++i) {
        ledger.record_crash(
            start + 6s + 10ms * i,
            {request_fingerprint{10 + i}, make_target_key(std::to_string(i)), orders, {}},
            news_source::observed);
        CHECK(ledger.size() <= crash_ledger::max_crashes);
    }
    const auto now = start + 2min;
    std::uint64_t cursor = 0;
    std::size_t reported = 0;
    bool has_culprit = false;
    while (ledger.has_news_since(cursor)) {
        const auto news = ledger.news_since(now, cursor, news_scope::all);
        CHECK(news.crashes.size() + news.completions.size() <= crash_ledger::max_news);
        reported += news.crashes.size();
        for (const auto& each : news.crashes) {
            has_culprit = has_culprit || each.request == culprit;
        }
    }
    LONGS_EQUAL(ledger.size(), reported);
    CHECK_TRUE(has_culprit);
}
