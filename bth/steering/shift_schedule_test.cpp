// Seeded random schedules for the shift cap: three domains whose owners die, come back and are
// replaced, callers who move by themselves, claims that are late or lost.
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
    // What the hosts of the domain know survives in the standby, which hears all claims.
    shift_limiter owner;
    shift_limiter standby;
    bool up{true};
    time_point back_at;
    // The share of this domain's callers who go elsewhere by themselves.
    double movers{};
    // Requests per step.
    int demand{4};
};

struct late_claim {
    time_point at;
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
            each.owner.begin(web, this->now);
        }
    }

    std::uint64_t pick(std::uint64_t below) { return this->random() % below; }

    void disturb()
    {
        domain_state& each = this->domains.at(this->pick(domain_count));
        switch (this->pick(6)) {
        case 0: // The owner dies; another host takes over, or the whole domain is away for long.
            each.up = false;
            each.back_at = this->now + std::chrono::seconds{1 + this->pick(3) * this->pick(60)};
            break;
        case 1:
        case 2:
            each.movers = static_cast<double>(this->pick(11)) / 10.0;
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
            if (!each.up && this->now >= each.back_at) {
                each.up = true;
                each.owner = each.standby;
                each.owner.begin(web, this->now);
            }
        }
    }

    // Runs the request at `at` if that domain's limiter lets it; says where it belongs if not.
    bool run(domain_id at, domain_id home, bool direct, std::optional<domain_id>* belongs)
    {
        domain_state& serving = this->domains.at(at.index());
        if (!serving.up) {
            return false;
        }
        const priority_level level{static_cast<std::uint8_t>(this->pick(3))};
        const shift_query query{web, home, level, direct};
        const shift_verdict verdict = serving.owner.decide(query, this->now);
        if (belongs != nullptr) {
            *belongs = verdict.at;
        }
        if (verdict.decision == shift_decision::elsewhere ||
            verdict.decision == shift_decision::refused) {
            return false;
        }
        serving.owner.admitted(query, verdict, this->now);
        this->audit.served(web, at, home, this->now);
        return true;
    }

    void arrive(domain_id home)
    {
        const domain_state& own = this->domains.at(home.index());
        const auto next = domain_id::from_index((home.index() + 1 + this->pick(2)) % domain_count);
        const bool moves = static_cast<double>(this->pick(100)) < own.movers * 100.0;
        if (!own.up || moves) {
            this->run(next, home, true, nullptr);
            return;
        }
        std::optional<domain_id> belongs;
        const bool full = this->pick(8) == 0;
        if (full || !this->run(home, home, true, &belongs)) {
            this->run(belongs.value_or(next), home, false, nullptr);
        }
    }

    void tell()
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
        std::erase_if(this->claims, [&](const late_claim& each) {
            if (each.at > this->now) {
                return false;
            }
            domain_state& to = this->domains.at(each.claim.to.index());
            to.owner.receive(each.from, each.claim.claim, this->now);
            to.standby.receive(each.from, each.claim.claim, this->now);
            return true;
        });
    }

    void play(duration span)
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
            this->tell();
        }
    }

    std::shared_ptr<const config::model> model = testing::small_site(
        {{"\"retry_budget\"", R"("shift_cap":{"share":0.25,"window_s":20},"retry_budget")"}});
    time_point now{1h};
    std::mt19937_64 random;
    std::vector<domain_state> domains{domain_count};
    std::vector<late_claim> claims;
    shift_audit audit{this->model, this->now};
};

} // namespace

// clang-format off
TEST_GROUP(shift_schedule) {};
// clang-format on

TEST(shift_schedule, no_window_exceeds_the_cap_through_deaths_takeovers_and_callers_who_move)
{
    constexpr std::uint64_t seeds = 200;
    std::uint64_t shifts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule run{seed};
        run.play(5min);
        shifts += run.audit.shifts();
        for (const violation& each : run.audit.found()) {
            FAIL(StringFromFormat("seed %d: %d shifts, %d allowed", static_cast<int>(seed),
                                  static_cast<int>(each.observed), static_cast<int>(each.allowed))
                     .asCharString());
        }
    }
    // The schedules do shift.
    CHECK_TRUE(shifts > 100 * seeds);
}
