// Random loads and faults on one node, with every invariant checked after every event. A failure
// names its seed.
#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/random/uniform_int_distribution.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;

constexpr std::uint64_t seeds = 200;
constexpr int events_per_seed = 600;

// One node, and what a shell would know of its requests.
struct random_run {
    explicit random_run(std::uint64_t seed)
        : generator{seed}, core{{.host_name = "a1", .life = incarnation{1}, .seed = seed}}
    {
        this->take(this->core.apply(this->models.at(0), revision{1}, {this->now, {}}));
        settle(this->core, this->now);
        warm_up(this->core, *this->models.at(0), this->now);
    }

    std::uint64_t draw(std::uint64_t below)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>{0,
                                                                      below - 1}(this->generator);
    }

    void step()
    {
        this->now += std::chrono::microseconds{this->draw(4000)};
        const std::uint64_t kind = this->draw(100);
        if (kind < 45) {
            this->arrive();
        }
        else if (kind < 85) {
            this->finish();
        }
        else if (kind < 93) {
            this->report();
        }
        else if (kind < 99) {
            this->take(this->core.tick({this->now, {}}));
        }
        else {
            this->configure();
        }
    }

    void arrive()
    {
        ++this->last_id;
        auto request = request_of(this->last_id, class_id::from_index(this->draw(3)), this->now);
        request.service = service_id::from_index(this->draw(2));
        request.home = domain_id::from_index(this->draw(3));
        // Some have come too far to go on to another domain, and must wait.
        request.hops = this->draw(3) == 0 ? 0 : most_hops;
        request.repeatable = this->draw(4) != 0;
        request.deadline = this->now + std::chrono::milliseconds{1 + this->draw(200)};
        this->open[this->last_id] = false;
        this->take(this->core.arrive(request, this->now));
    }

    // Ends a try, or takes a waiting caller away.
    void finish()
    {
        if (this->open.empty()) {
            return;
        }
        auto chosen = this->open.begin();
        std::advance(chosen, this->draw(this->open.size()));
        const std::uint64_t id = chosen->first;
        constexpr std::array outcomes{try_outcome::answered,       try_outcome::answered,
                                      try_outcome::answered,       try_outcome::not_run,
                                      try_outcome::connect_failed, try_outcome::broken,
                                      try_outcome::timed_out};
        auto result = end_of(id, outcomes.at(this->draw(outcomes.size())));
        if (!chosen->second) {
            result.outcome = try_outcome::cancelled;
        }
        result.shed = this->draw(40) == 0;
        if (result.outcome == try_outcome::answered || result.outcome == try_outcome::cancelled) {
            this->open.erase(chosen);
        }
        else {
            chosen->second = false;
        }
        this->take(this->core.finished(result, this->now));
    }

    void report()
    {
        const load_report report{target_id::from_index(this->draw(this->target_count())),
                                 static_cast<std::uint32_t>(this->draw(4)), 3, this->draw(60) == 0};
        this->take(this->core.report(report, this->now));
    }

    std::size_t target_count() const { return this->models.at(this->present)->targets.size(); }

    void configure()
    {
        this->present = this->draw(this->models.size());
        ++this->number;
        this->take(this->core.apply(this->models.at(this->present), revision{this->number},
                                    {this->now, {}}));
    }

    // Keeps what a shell keeps: which requests are open, and whether a try of them runs.
    void take(const actions& given)
    {
        for (const action& each : given) {
            if (const auto* sent = std::get_if<send_to_target>(&each)) {
                this->started(sent->id);
            }
            else if (const auto* forwarded = std::get_if<forward_to_host>(&each)) {
                this->started(forwarded->id);
            }
            else if (const auto* refused = std::get_if<refuse>(&each)) {
                CHECK_EQUAL(1, this->open.erase(refused->id.value()));
            }
        }
        CHECK_EQUAL(this->open.size(), this->core.in_flight());
    }

    void started(request_id id)
    {
        const auto found = this->open.find(id.value());
        CHECK_TRUE(found != this->open.end());
        CHECK_FALSE(found->second);
        found->second = true;
    }

    std::mt19937_64 generator;
    node core;
    time_point now{std::chrono::seconds{10}};
    std::array<std::shared_ptr<const config::model>, 3> models{
        small_site(), small_site({{R"("targets":[)", R"("targets":[{"name":"first","service":"shop",
            "failure_domain":"a","http":"127.2.0.1:80","slots":3,"connections":330},)"}}),
        small_site({{R"("slots":3)", R"("slots":2)"}, {"gold", "golden"}})};
    std::size_t present{};
    std::uint64_t number{1};
    std::uint64_t last_id{};
    // Open requests, and whether a try runs.
    std::map<std::uint64_t, bool> open;
};

} // namespace

// clang-format off
TEST_GROUP(flow_random) {};
// clang-format on

TEST(flow_random, every_invariant_holds_and_every_request_ends_once)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_run run{seed};
        for (int event = 0; event < events_per_seed; ++event) {
            run.step();
            const violations found = run.core.check_invariants();
            if (!found.empty()) {
                const std::string text = "seed " + std::to_string(seed) + " event " +
                                         std::to_string(event) + ": " +
                                         std::string{to_string(found.front().kind)};
                FAIL(text.c_str());
            }
        }
    }
}
