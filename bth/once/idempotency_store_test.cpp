#include "bth/once/idempotency_store.h"

#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::once;
using namespace std::chrono_literals;

namespace {

idempotency_store_settings make_settings(const std::string& host, std::uint64_t incarnation_number)
{
    idempotency_store_settings settings;
    settings.host_name = host;
    settings.incarnation_number = incarnation{incarnation_number};
    return settings;
}

stored_answer make_answer(std::string body)
{
    return {201, {{"Content-Type", "text/plain"}}, std::move(body)};
}

constexpr std::uint64_t fee_fingerprint = 1;
constexpr std::uint64_t other_fingerprint = 2;

} // namespace

// clang-format off
TEST_GROUP(idempotency_store)
{
    time_point now{1h};
    idempotency_store store{make_settings("a1", 1)};
    std::string key = store.prefix(now) + "fee-4711";

    bool is_refusal(const verdict& result, refusal_reason reason, run_state run)
    {
        return result.action == decision::refuse && result.reason == reason && result.run == run;
    }
    bool refused_as_already_run(const verdict& result)
    {
        return is_refusal(result, refusal_reason::already_run, run_state::unknown);
    }
};
// clang-format on

TEST(idempotency_store, parses_own_prefix_and_rejects_malformed_ones)
{
    const auto origin = parse_origin(this->key);
    CHECK_TRUE(origin == (key_origin{"a1", incarnation{1}, 0}));
    for (const char* malformed : {"", "fee", "bth:", "bth:a1:1:", "bth:a1:x:1:", "bth::1:1:fee",
                                  "bth:a1:1:-1:fee", "bth:a1:99999999999999999999:1:fee"}) {
        CHECK_FALSE(parse_origin(malformed).has_value());
    }
}

TEST(idempotency_store, issues_unique_prefixes)
{
    CHECK_TRUE(this->store.prefix(this->now) != this->store.prefix(this->now));
}

TEST(idempotency_store, refuses_resend_immediately_while_first_run_is_in_flight)
{
    CHECK_TRUE(this->store.begin(this->key, fee_fingerprint, this->now).action == decision::run);
    const verdict resend = this->store.begin(this->key, fee_fingerprint, this->now);
    CHECK_TRUE(this->refused_as_already_run(resend));
    CHECK_TRUE(resend.retry_after > 0s);
}

TEST(idempotency_store, replays_answer_to_resend)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    this->store.finish(this->key, run_outcome::answered, make_answer("paid"), this->now);
    const verdict resend = this->store.begin(this->key, fee_fingerprint, this->now + 5min);
    CHECK_TRUE(resend.action == decision::replay);
    STRCMP_EQUAL("paid", resend.answer->body.c_str());
}

TEST(idempotency_store, allows_another_run_after_not_run)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    this->store.finish(this->key, run_outcome::not_run, std::nullopt, this->now);
    CHECK_TRUE(this->store.begin(this->key, fee_fingerprint, this->now).action == decision::run);
}

TEST(idempotency_store, refuses_another_run_after_unknown_outcome)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    this->store.finish(this->key, run_outcome::unknown, std::nullopt, this->now);
    CHECK_TRUE(
        this->refused_as_already_run(this->store.begin(this->key, fee_fingerprint, this->now)));
}

TEST(idempotency_store, refuses_same_key_with_another_fingerprint)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    this->store.finish(this->key, run_outcome::answered, make_answer("paid"), this->now);
    const verdict other = this->store.begin(this->key, other_fingerprint, this->now);
    CHECK_TRUE(this->is_refusal(other, refusal_reason::bad_request, run_state::no));
}

TEST(idempotency_store, forwards_key_of_another_host)
{
    idempotency_store other{make_settings("b1", 7)};
    const verdict result = other.begin(this->key, fee_fingerprint, this->now);
    CHECK_TRUE(result.action == decision::forward);
    STRCMP_EQUAL("a1", result.host.c_str());
}

TEST(idempotency_store, refuses_key_of_earlier_incarnation)
{
    idempotency_store restarted{make_settings("a1", 2)};
    CHECK_TRUE(
        this->refused_as_already_run(restarted.begin(this->key, fee_fingerprint, this->now)));
}

TEST(idempotency_store, refuses_expired_key)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    this->store.finish(this->key, run_outcome::answered, make_answer("paid"), this->now);
    CHECK_TRUE(this->refused_as_already_run(
        this->store.begin(this->key, fee_fingerprint, this->now + 11min)));
    CHECK_EQUAL(0U, this->store.size());
    // The same holds for a key of the same age that was never used.
    const std::string unused = make_prefix({"a1", incarnation{1}, 0}) + "late";
    CHECK_TRUE(this->refused_as_already_run(
        this->store.begin(unused, fee_fingerprint, this->now + 11min)));
}

TEST(idempotency_store, refuses_key_of_future_epoch)
{
    const std::string early = make_prefix({"a1", incarnation{1}, 1}) + "early";
    CHECK_TRUE(this->refused_as_already_run(this->store.begin(early, fee_fingerprint, this->now)));
}

TEST(idempotency_store, keeps_record_while_run_outlasts_key_expiry)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    CHECK_TRUE(this->refused_as_already_run(
        this->store.begin(this->key, fee_fingerprint, this->now + 12min)));
    CHECK_EQUAL(1U, this->store.size());
    CHECK_EQUAL(1U, this->store.running_requests());
    this->store.finish(this->key, run_outcome::answered, make_answer("paid"), this->now + 13min);
    CHECK_TRUE(this->refused_as_already_run(
        this->store.begin(this->key, fee_fingerprint, this->now + 15min)));
    CHECK_EQUAL(0U, this->store.size());
}

TEST(idempotency_store, refuses_new_keys_when_full_and_keeps_known_ones)
{
    idempotency_store_settings small = make_settings("a1", 1);
    small.max_records = 1;
    idempotency_store table{small};
    const std::string prefix = table.prefix(this->now);
    table.begin(prefix + "1", fee_fingerprint, this->now);
    const verdict second = table.begin(prefix + "2", fee_fingerprint, this->now);
    CHECK_TRUE(this->is_refusal(second, refusal_reason::queue_full, run_state::no));
    CHECK_TRUE(this->refused_as_already_run(table.begin(prefix + "1", fee_fingerprint, this->now)));
}

TEST(idempotency_store, refuses_resend_when_answer_is_too_large_to_store)
{
    this->store.begin(this->key, fee_fingerprint, this->now);
    const std::string large(idempotency_store_settings{}.max_answer_bytes + 1, 'x');
    this->store.finish(this->key, run_outcome::answered, make_answer(large), this->now);
    CHECK_TRUE(
        this->refused_as_already_run(this->store.begin(this->key, fee_fingerprint, this->now)));
}

TEST(idempotency_store, remembers_key_without_prefix_until_it_expires)
{
    CHECK_TRUE(this->store.begin("plain", fee_fingerprint, this->now).action == decision::run);
    this->store.finish("plain", run_outcome::answered, make_answer("paid"), this->now);
    CHECK_TRUE(this->store.begin("plain", fee_fingerprint, this->now + 9min).action ==
               decision::replay);
}

TEST(idempotency_store, random_schedule_never_runs_prefixed_key_twice)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random{seed};
        time_point at{1h};
        std::uint64_t incarnation_number = 1;
        idempotency_store host{make_settings("a1", incarnation_number)};
        std::vector<std::string> keys;
        std::set<std::string> ran;
        for (int step = 0; step < 300; ++step) {
            at += std::chrono::seconds{random() % 60};
            if (random() % 40 == 0) {
                host = idempotency_store{make_settings("a1", ++incarnation_number)};
            }
            if (keys.empty() || random() % 4 == 0) {
                keys.push_back(host.prefix(at) + std::to_string(step));
            }
            const std::string& chosen = keys.at(random() % keys.size());
            if (host.begin(chosen, fee_fingerprint, at).action == decision::run) {
                const bool runs = random() % 3 != 0;
                CHECK_TRUE(ran.count(chosen) == 0);
                if (runs) {
                    ran.insert(chosen);
                }
                host.finish(chosen, runs ? run_outcome::answered : run_outcome::not_run,
                            make_answer("paid"), at);
            }
        }
    }
}
