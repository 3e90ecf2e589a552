#include "bth/dispatch/shared_rate.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using bth::duration;
using bth::time_point;
using bth::dispatch::shared_rate;

constexpr time_point start{1h};
constexpr duration window = 4s;

// The most requests that senders, each with more requests than it may send, send in one window.
// They learn the limit at different times and were idle for a while before.
std::size_t most_in_a_window(double limit, std::size_t senders, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::vector<shared_rate> rates(senders);
    for (auto& each : rates) {
        each.set(start + std::chrono::milliseconds{random() % 1000}, limit);
    }
    std::vector<time_point> sent;
    std::size_t first = 0;
    std::size_t most = 0;
    for (auto now = start + 60s; now < start + 90s; now += 1ms) {
        for (auto& each : rates) {
            while (each.wait(now) == duration{}) {
                each.count(now);
                sent.push_back(now);
            }
        }
        while (first < sent.size() && sent[first] + window <= now) {
            ++first;
        }
        most = std::max(most, sent.size() - first);
    }
    return most;
}

} // namespace

TEST_GROUP(shared_rate){};

TEST(shared_rate, senders_and_one_more_keep_one_and_a_half_times_the_limit)
{
    for (const double limit : {0.0, 0.2, 0.75, 1.2, 2.0, 7.5, 40.0, 300.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CHECK(static_cast<double>(most_in_a_window(limit, shared_rate::senders + 1, seed)) <=
                  1.5 * limit * 4 + 5);
        }
    }
}

TEST(shared_rate, senders_use_most_of_the_limit)
{
    for (const double limit : {0.75, 2.0, 7.5, 40.0}) {
        CHECK(static_cast<double>(most_in_a_window(limit, shared_rate::senders, 1)) >=
              0.8 * limit * 4);
    }
}

TEST(shared_rate, without_a_limit_nothing_waits)
{
    shared_rate rate;
    for (int i = 0; i < 100; ++i) {
        CHECK(rate.wait(start) == duration{});
        rate.count(start);
    }
    rate.set(start, 1);
    CHECK(rate.wait(start) > duration{});
    rate.lift();
    CHECK(rate.wait(start) == duration{});
}

TEST(shared_rate, same_limit_named_again_and_again_changes_nothing)
{
    shared_rate rate;
    rate.set(start, 1);
    const auto due = start + rate.wait(start);
    for (auto now = start; now < due; now += 10ms) {
        rate.set(now, 1);
        CHECK(rate.wait(now) == due - now);
    }
}

TEST(shared_rate, higher_limit_shortens_the_wait)
{
    shared_rate rate;
    rate.set(start, 0.05);
    rate.set(start, 30);
    CHECK(rate.wait(start) <= 100ms);
}

// Hosts of other regions have all been told the limit at the same time.
TEST(shared_rate, probes_of_all_hosts_use_a_small_part_of_the_limit)
{
    for (const double limit : {0.2, 1.2, 7.5}) {
        for (const std::uint32_t hosts : {6U, 85U, 273U}) {
            std::vector<time_point> probes;
            for (std::uint32_t rank = 0; rank < hosts; ++rank) {
                auto at = start;
                for (int i = 0; i < 3; ++i) {
                    at += bth::dispatch::limit_probe_delay(limit, hosts, rank);
                    probes.push_back(at);
                }
            }
            std::sort(probes.begin(), probes.end());
            for (auto first = probes.begin(); first != probes.end(); ++first) {
                const auto in_window =
                    std::lower_bound(first, probes.end(), *first + window) - first;
                CHECK(static_cast<double>(in_window) <= 1.5 * limit + 2);
            }
        }
    }
}

TEST(shared_rate, extreme_limits_are_bounded)
{
    shared_rate rate;
    for (const double limit : {-1.0, 0.0, std::numeric_limits<double>::infinity(), 1e300,
                               std::numeric_limits<double>::denorm_min()}) {
        rate.lift();
        rate.set(start, limit);
        CHECK(*rate.per_second() >= shared_rate::min_limit &&
              *rate.per_second() <= shared_rate::max_limit);
        CHECK(rate.wait(start) <= 60s);
        rate.count(start);
    }
}
