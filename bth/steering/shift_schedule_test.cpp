// Checks the shift cap in seeded random schedules: three domains whose owners fail, recover and are
// replaced, callers who send requests to other domains directly, and claims that are late or lost.
#include "bth/steering/shift_audit.h"
#include "bth/steering/shift_limiter.h"
#include "bth/steering/testing/small_site.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

const service_id web{0};
constexpr std::size_t domain_count = 3;
constexpr duration step = 50ms;

struct domain_state {
    shift_limiter owner;
    // The limiter of the other hosts of the domain. It receives all claims, and replaces a failed
    // owner.
    shift_limiter standby;
    bool up{true};
    // When a failed domain has an owner again.
    time_point recovers_at;
    // The fraction of this domain's callers who send their requests to other domains directly.
    double direct_share{};
    // Requests per step.
    int demand{4};
};

struct delayed_claim {
    time_point arrives_at;
    domain_id from;
    addressed_claim claim;
};

struct schedule {
    explicit schedule(std::uint64_t seed) : random{seed}
    {
        for (std::size_t index = 0; index < domain_count; ++index) {
            domain_state& each = this->domains.at(index);
            each.owner.configure(this->model, domain_id::from_index(index), this->now);
            each.standby = each.owner;
            each.owner.start_ownership(web, this->now);
        }
    }

    std::uint64_t pick(std::uint64_t below) { return this->random() % below; }

    // Fails one domain's owner, or changes its callers' behaviour, at random.
    void disturb()
    {
        domain_state& each = this->domains.at(this->pick(domain_count));
        switch (this->pick(6)) {
        case 0: // The owner fails. Another host takes over, or the whole domain is down for longer.
            each.up = false;
            each.recovers_at = this->now + std::chrono::seconds{1 + this->pick(3) * this->pick(60)};
            break;
        case 1:
        case 2:
            each.direct_share = static_cast<double>(this->pick(11)) / 10.0;
            break;
        case 3:
            each.demand = static_cast<int>(this->pick(9));
            break;
        default:
            break;
        }
    }

    void recover()
    {
        for (domain_state& each : this->domains) {
            if (!each.up && this->now >= each.recovers_at) {
                each.up = true;
                each.owner = each.standby;
                each.owner.start_ownership(web, this->now);
            }
        }
    }

    // Serves the request in `at` if that domain is up and its limiter allows it. Returns whether it
    // was served, and in `settled_domain`, unless null, the domain in which the request is settled.
    bool serve(domain_id at, domain_id home, bool direct, std::optional<domain_id>* settled_domain)
    {
        domain_state& serving = this->domains.at(at.index());
        if (!serving.up) {
            return false;
        }
        const priority_level level{static_cast<std::uint8_t>(this->pick(3))};
        const shift_query query{web, home, level, direct};
        const shift_verdict verdict = serving.owner.decide(query, this->now);
        if (settled_domain != nullptr) {
            *settled_domain = verdict.settled_domain;
        }
        if (verdict.decision == shift_decision::settled_elsewhere ||
            verdict.decision == shift_decision::refused) {
            return false;
        }
        serving.owner.record_admitted(query, verdict, this->now);
        this->audit.record_request(web, at, home, this->now);
        return true;
    }

    // Sends one request of a caller of `home`.
    void arrive(domain_id home)
    {
        const domain_state& own = this->domains.at(home.index());
        const auto next = domain_id::from_index((home.index() + 1 + this->pick(2)) % domain_count);
        const bool goes_direct = static_cast<double>(this->pick(100)) < own.direct_share * 100.0;
        if (!own.up || goes_direct) {
            this->serve(next, home, true, nullptr);
            return;
        }
        std::optional<domain_id> settled_domain;
        const bool home_is_full = this->pick(8) == 0;
        if (home_is_full || !this->serve(home, home, true, &settled_domain)) {
            this->serve(settled_domain.value_or(next), home, false, nullptr);
        }
    }

    // Sends the claims that are due, of which some get lost, and delivers those that have arrived.
    void exchange_claims()
    {
        for (std::size_t index = 0; index < domain_count; ++index) {
            domain_state& each = this->domains.at(index);
            if (!each.up) {
                continue;
            }
            for (const addressed_claim& claim : each.owner.tick(this->now)) {
                if (this->pick(10) != 0) {
                    const auto delay = std::chrono::milliseconds{this->pick(400)};
                    this->claims.push_back(
                        {this->now + delay, domain_id::from_index(index), claim});
                }
            }
        }
        std::erase_if(this->claims, [&](const delayed_claim& each) {
            if (each.arrives_at > this->now) {
                return false;
            }
            domain_state& to = this->domains.at(each.claim.to.index());
            to.owner.receive(each.from, each.claim.claim, this->now);
            to.standby.receive(each.from, each.claim.claim, this->now);
            return true;
        });
    }

    void run(duration span)
    {
        for (const time_point end = this->now + span; this->now < end; this->now += step) {
            if (this->pick(100) == 0) {
                this->disturb();
            }
            this->recover();
            for (std::size_t home = 0; home < domain_count; ++home) {
                for (int each = 0; each < this->domains.at(home).demand; ++each) {
                    this->arrive(domain_id::from_index(home));
                }
            }
            this->exchange_claims();
        }
    }

    std::shared_ptr<const config::model> model = testing::small_site(
        {{"\"retry_budget\"", R"("shift_cap":{"share":0.25,"window_s":20},"retry_budget")"}});
    time_point now{1h};
    std::mt19937_64 random;
    std::vector<domain_state> domains{domain_count};
    std::vector<delayed_claim> claims;
    shift_audit audit{this->model, this->now};
};

} // namespace

// clang-format off
TEST_GROUP(shift_schedule) {};
// clang-format on

TEST(shift_schedule, no_window_exceeds_the_cap_despite_failures_takeovers_and_direct_requests)
{
    constexpr std::uint64_t seeds = 200;
    std::uint64_t shifts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule scenario{seed};
        scenario.run(5min);
        shifts += scenario.audit.shifts();
        for (const violation& each : scenario.audit.found_violations()) {
            FAIL(StringFromFormat("seed %d: %d shifts in a window, the cap allows %d",
                                  static_cast<int>(seed), static_cast<int>(each.observed),
                                  static_cast<int>(each.allowed))
                     .asCharString());
        }
    }
    // With fewer shifts the schedules wouldn't test the cap.
    CHECK_TRUE(shifts > 100 * seeds);
}
