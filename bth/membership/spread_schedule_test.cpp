#include "bth/membership/testing/fake_world.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <boost/random/uniform_int_distribution.hpp>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;
using namespace bth::membership::testing;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(spread_schedule) {};
// clang-format on

namespace {

constexpr std::uint64_t seed_count = 300;
// The time in which hosts that can reach each other again have one configuration.
constexpr duration convergence_limit = 15s;

// One seeded schedule of edits, cuts, stops, restarts and a bad network.
class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : random{seed}, world{{.seed = seed, .client_blocks = this->below(2) * 3000}}
    {
        this->world.add_control("control-a");
        this->world.add_control("control-b");
        const std::uint64_t domains = 1 + this->below(4);
        for (std::uint64_t domain = 0; domain < domains; ++domain) {
            const std::uint64_t count = 1 + this->below(6);
            for (std::uint64_t host = 0; host < count; ++host) {
                const std::string name = std::to_string(domain) + "-" + std::to_string(host);
                this->world.add_host("entry-" + name, "domain-" + std::to_string(domain),
                                     static_cast<int>(domain / 2), this->below(3) != 0,
                                     this->below(8) != 0);
            }
        }
        this->world.begin();
    }

    void run()
    {
        constexpr int steps = 40;
        for (int step = 0; step < steps; ++step) {
            this->step();
            this->world.run_for(std::chrono::milliseconds{this->below(1500)});
        }
        this->world.heal();
        for (const std::string& host : this->world.hosts()) {
            if (!this->world.is_up(host)) {
                this->world.start(host);
            }
        }
        this->world.run_for(convergence_limit);
    }

    const fake_world& result() const { return this->world; }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        boost::random::uniform_int_distribution<std::uint64_t> value{0, limit - 1};
        return value(this->random);
    }

    std::string any_host()
    {
        const std::vector<std::string> names = this->world.hosts();
        return names[this->below(names.size())];
    }

    std::string any_node()
    {
        const std::uint64_t which = this->below(8);
        return which == 0 ? "control-a" : which == 1 ? "control-b" : this->any_host();
    }

    void edit(std::uint64_t count, duration pause)
    {
        for (std::uint64_t each = 0; each < count; ++each) {
            this->world.accept_edit();
            this->world.run_for(pause);
        }
    }

    void restart()
    {
        const std::string host = this->any_host();
        if (this->world.is_up(host)) {
            this->world.stop(host);
        }
        else {
            this->world.start(host, this->below(5) != 0);
        }
    }

    void worsen_network()
    {
        constexpr double percent = 0.01;
        const auto part = [&](std::uint64_t most) {
            return percent * static_cast<double>(this->below(most + 1));
        };
        this->world.set_faults(
            {part(20), part(20), part(5), std::chrono::milliseconds{this->below(300)}});
    }

    void step()
    {
        switch (this->below(10)) {
        case 0:
        case 1:
        case 2:
            return this->edit(1 + this->below(5), std::chrono::milliseconds{this->below(50)});
        case 3:
            return this->edit(this->below(3) == 0 ? 200 : 3, 2ms);
        case 4:
        case 5:
            return this->restart();
        case 6:
            return this->world.cut(this->any_node(), this->any_node());
        case 7:
            return this->world.cut_domain("domain-" + std::to_string(this->below(5)));
        case 8:
            return this->below(2) == 0 ? this->world.heal() : this->worsen_network();
        default:
            return this->world.set_active_control(this->below(2) == 0 ? "control-a" : "control-b");
        }
    }

    std::mt19937_64 random;
    fake_world world;
};

void check_seed(std::uint64_t seed)
{
    schedule run{seed};
    run.run();
    const std::string where = "seed " + std::to_string(seed) + ": ";
    for (const std::string& each : run.result().violations()) {
        FAIL((where + each).c_str());
    }
    CHECK_TRUE_TEXT(run.result().converged(), (where + "hosts did not converge").c_str());
}

} // namespace

// BTH_SPREAD_SEED runs one seed, BTH_SPREAD_SEEDS as many from 1 on.
TEST(spread_schedule, every_seed_keeps_the_invariants_and_converges)
{
    if (const char* const one = std::getenv("BTH_SPREAD_SEED"); one != nullptr) {
        check_seed(std::strtoull(one, nullptr, 10));
        return;
    }
    const char* const many = std::getenv("BTH_SPREAD_SEEDS");
    const std::uint64_t last = many == nullptr ? seed_count : std::strtoull(many, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
        check_seed(seed);
    }
}
