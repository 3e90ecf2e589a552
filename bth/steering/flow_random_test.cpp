// Applies random load and faults to one node and checks all invariants after every event. A failure
// message names the seed and the event.
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

constexpr std::uint64_t seed_count = 200;
constexpr int events_per_seed = 600;

// One node, and the state that its shell would keep about its requests.
struct random_run {
    explicit random_run(std::uint64_t seed)
        : generator{seed}, core{{.host_name = "a1",
                                 .incarnation_number = incarnation{1},
                                 .seed = seed}}
    {
        this->apply_actions(this->core.apply(this->models.at(0), revision{1}, {this->now, {}}));
        acquire_ownership(this->core, this->now);
        warm_up(this->core, *this->models.at(0), this->now);
    }

    std::uint64_t draw(std::uint64_t bound)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>{0,
                                                                      bound - 1}(this->generator);
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
            this->apply_actions(this->core.tick({this->now, {}}));
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
        // Requests that have reached max_hops can't be forwarded to another domain, so they queue.
        request.hops = this->draw(3) == 0 ? 0 : max_hops;
        request.repeatable = this->draw(4) != 0;
        request.deadline = this->now + std::chrono::milliseconds{1 + this->draw(200)};
        this->open_requests[this->last_id] = false;
        this->apply_actions(this->core.arrive(request, this->now));
    }

    // Ends an attempt, or disconnects the caller of a queued request.
    void finish()
    {
        if (this->open_requests.empty()) {
            return;
        }
        auto chosen = this->open_requests.begin();
        std::advance(chosen, this->draw(this->open_requests.size()));
        const std::uint64_t id = chosen->first;
        constexpr std::array outcomes{attempt_outcome::answered,       attempt_outcome::answered,
                                      attempt_outcome::answered,       attempt_outcome::not_run,
                                      attempt_outcome::connect_failed, attempt_outcome::broken,
                                      attempt_outcome::timed_out};
        auto result = result_of(id, outcomes.at(this->draw(outcomes.size())));
        if (!chosen->second) {
            result.outcome = attempt_outcome::cancelled;
        }
        result.shed = this->draw(40) == 0;
        if (result.outcome == attempt_outcome::answered ||
            result.outcome == attempt_outcome::cancelled) {
            this->open_requests.erase(chosen);
        }
        else {
            chosen->second = false;
        }
        this->apply_actions(this->core.finished(result, this->now));
    }

    void report()
    {
        const load_report report{target_id::from_index(this->draw(this->target_count())),
                                 static_cast<std::uint32_t>(this->draw(4)), 3, this->draw(60) == 0};
        this->apply_actions(this->core.report(report, this->now));
    }

    std::size_t target_count() const { return this->models.at(this->model_index)->targets.size(); }

    void configure()
    {
        this->model_index = this->draw(this->models.size());
        ++this->revision_number;
        this->apply_actions(this->core.apply(this->models.at(this->model_index),
                                             revision{this->revision_number}, {this->now, {}}));
    }

    // Updates the state that a shell would keep: the open requests, and whether an attempt of each
    // is in flight.
    void apply_actions(const actions& list)
    {
        for (const action& each : list) {
            if (const auto* sent = std::get_if<send_to_target>(&each)) {
                this->attempt_started(sent->id);
            }
            else if (const auto* forwarded = std::get_if<forward_to_host>(&each)) {
                this->attempt_started(forwarded->id);
            }
            else if (const auto* refused = std::get_if<refuse>(&each)) {
                CHECK_EQUAL(1, this->open_requests.erase(refused->id.value()));
            }
        }
        CHECK_EQUAL(this->open_requests.size(), this->core.in_flight());
    }

    void attempt_started(request_id id)
    {
        const auto found = this->open_requests.find(id.value());
        CHECK_TRUE(found != this->open_requests.end());
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
    std::size_t model_index{};
    std::uint64_t revision_number{1};
    std::uint64_t last_id{};
    // By id of an open request: whether an attempt of it is in flight.
    std::map<std::uint64_t, bool> open_requests;
};

} // namespace

// clang-format off
TEST_GROUP(flow_random) {};
// clang-format on

TEST(flow_random, every_invariant_holds_and_every_request_ends_once)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
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
