#include "bth/once/keeper.h"

#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::once;
using namespace std::chrono_literals;

namespace {

keeper_settings settings_of(const std::string& host, std::uint64_t life)
{
    keeper_settings made;
    made.host_name = host;
    made.life = incarnation{life};
    return made;
}

stored_answer receipt(std::string body)
{
    return {201, {{"Content-Type", "text/plain"}}, std::move(body)};
}

constexpr std::uint64_t fee = 1;
constexpr std::uint64_t other_fee = 2;

} // namespace

// clang-format off
TEST_GROUP(keeper)
{
    time_point now{1h};
    keeper records{settings_of("a1", 1)};
    std::string key = records.prefix(now) + "fee-4711";

    bool refused(const verdict& what, refusal_reason reason, run_state run)
    {
        return what.what == decision::refuse && what.reason == reason && what.run == run;
    }
    bool ran_before(const verdict& what)
    {
        return refused(what, refusal_reason::already_run, run_state::unknown);
    }
};
// clang-format on

TEST(keeper, a_prefix_is_read_back_and_other_keys_have_none)
{
    const auto origin = parse_origin(this->key);
    CHECK_TRUE(origin == (key_origin{"a1", incarnation{1}, 0}));
    for (const char* plain : {"", "fee", "bth:", "bth:a1:1:", "bth:a1:x:1:", "bth::1:1:fee",
                              "bth:a1:1:-1:fee", "bth:a1:99999999999999999999:1:fee"}) {
        CHECK_FALSE(parse_origin(plain).has_value());
    }
}

TEST(keeper, no_two_look_ups_get_the_same_prefix)
{
    CHECK_TRUE(this->records.prefix(this->now) != this->records.prefix(this->now));
}

TEST(keeper, a_resend_while_the_first_runs_gets_a_final_answer_at_once)
{
    CHECK_TRUE(this->records.begin(this->key, fee, this->now).what == decision::run);
    const verdict resend = this->records.begin(this->key, fee, this->now);
    CHECK_TRUE(this->ran_before(resend));
    CHECK_TRUE(resend.retry_after > 0s);
}

TEST(keeper, a_resend_after_the_first_gets_its_answer)
{
    this->records.begin(this->key, fee, this->now);
    this->records.finish(this->key, ending::answered, receipt("paid"), this->now);
    const verdict resend = this->records.begin(this->key, fee, this->now + 5min);
    CHECK_TRUE(resend.what == decision::replay);
    STRCMP_EQUAL("paid", resend.answer->body.c_str());
}

TEST(keeper, what_certainly_did_not_run_may_run_again)
{
    this->records.begin(this->key, fee, this->now);
    this->records.finish(this->key, ending::not_run, std::nullopt, this->now);
    CHECK_TRUE(this->records.begin(this->key, fee, this->now).what == decision::run);
}

TEST(keeper, what_may_have_run_never_runs_again)
{
    this->records.begin(this->key, fee, this->now);
    this->records.finish(this->key, ending::unknown, std::nullopt, this->now);
    CHECK_TRUE(this->ran_before(this->records.begin(this->key, fee, this->now)));
}

TEST(keeper, another_request_under_the_same_key_is_refused)
{
    this->records.begin(this->key, fee, this->now);
    this->records.finish(this->key, ending::answered, receipt("paid"), this->now);
    const verdict other = this->records.begin(this->key, other_fee, this->now);
    CHECK_TRUE(this->refused(other, refusal_reason::bad_request, run_state::no));
}

TEST(keeper, a_key_of_another_host_is_forwarded_to_it)
{
    keeper other{settings_of("b1", 7)};
    const verdict what = other.begin(this->key, fee, this->now);
    CHECK_TRUE(what.what == decision::forward);
    STRCMP_EQUAL("a1", what.host.c_str());
}

TEST(keeper, a_key_of_an_earlier_life_runs_nothing)
{
    keeper restarted{settings_of("a1", 2)};
    CHECK_TRUE(this->ran_before(restarted.begin(this->key, fee, this->now)));
}

TEST(keeper, a_key_whose_record_has_expired_runs_nothing)
{
    this->records.begin(this->key, fee, this->now);
    this->records.finish(this->key, ending::answered, receipt("paid"), this->now);
    CHECK_TRUE(this->ran_before(this->records.begin(this->key, fee, this->now + 11min)));
    CHECK_EQUAL(0U, this->records.size());
    // Nor does a key that was handed out long ago and never used.
    const std::string unused = make_prefix({"a1", incarnation{1}, 0}) + "late";
    CHECK_TRUE(this->ran_before(this->records.begin(unused, fee, this->now + 11min)));
}

TEST(keeper, a_key_of_an_epoch_to_come_runs_nothing)
{
    const std::string early = make_prefix({"a1", incarnation{1}, 1}) + "early";
    CHECK_TRUE(this->ran_before(this->records.begin(early, fee, this->now)));
}

TEST(keeper, a_run_that_outlives_its_key_keeps_its_record)
{
    this->records.begin(this->key, fee, this->now);
    CHECK_TRUE(this->ran_before(this->records.begin(this->key, fee, this->now + 12min)));
    CHECK_EQUAL(1U, this->records.size());
    CHECK_EQUAL(1U, this->records.running());
    this->records.finish(this->key, ending::answered, receipt("paid"), this->now + 13min);
    CHECK_TRUE(this->ran_before(this->records.begin(this->key, fee, this->now + 15min)));
    CHECK_EQUAL(0U, this->records.size());
}

TEST(keeper, a_full_table_refuses_new_keys_and_forgets_none)
{
    keeper_settings small = settings_of("a1", 1);
    small.most_records = 1;
    keeper table{small};
    const std::string prefix = table.prefix(this->now);
    table.begin(prefix + "1", fee, this->now);
    const verdict second = table.begin(prefix + "2", fee, this->now);
    CHECK_TRUE(this->refused(second, refusal_reason::queue_full, run_state::no));
    CHECK_TRUE(this->ran_before(table.begin(prefix + "1", fee, this->now)));
}

TEST(keeper, an_answer_too_large_to_keep_still_counts_as_run)
{
    this->records.begin(this->key, fee, this->now);
    const std::string large(keeper_settings{}.most_answer_bytes + 1, 'x');
    this->records.finish(this->key, ending::answered, receipt(large), this->now);
    CHECK_TRUE(this->ran_before(this->records.begin(this->key, fee, this->now)));
}

TEST(keeper, a_key_without_prefix_is_known_at_this_host_until_it_expires)
{
    CHECK_TRUE(this->records.begin("plain", fee, this->now).what == decision::run);
    this->records.finish("plain", ending::answered, receipt("paid"), this->now);
    CHECK_TRUE(this->records.begin("plain", fee, this->now + 9min).what == decision::replay);
}

TEST(keeper, no_schedule_of_resends_restarts_and_time_runs_a_minted_key_twice)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random{seed};
        time_point at{1h};
        std::uint64_t life = 1;
        keeper host{settings_of("a1", life)};
        std::vector<std::string> keys;
        std::set<std::string> ran;
        for (int step = 0; step < 300; ++step) {
            at += std::chrono::seconds{random() % 60};
            if (random() % 40 == 0) {
                host = keeper{settings_of("a1", ++life)};
            }
            if (keys.empty() || random() % 4 == 0) {
                keys.push_back(host.prefix(at) + std::to_string(step));
            }
            const std::string& chosen = keys.at(random() % keys.size());
            if (host.begin(chosen, fee, at).what == decision::run) {
                const bool runs = random() % 3 != 0;
                CHECK_TRUE(ran.count(chosen) == 0);
                if (runs) {
                    ran.insert(chosen);
                }
                host.finish(chosen, runs ? ending::answered : ending::not_run, receipt("paid"), at);
            }
        }
    }
}
