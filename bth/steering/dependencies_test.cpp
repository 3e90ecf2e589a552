#include "bth/steering/dependencies.h"
#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>
#include <memory>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

constexpr service_id shop{1};

} // namespace

// clang-format off
TEST_GROUP(dependencies)
{
    std::shared_ptr<const config::model> model{small_site()};
    dependencies needs;
    node core{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
    time_point now{10s};

    void setup() override
    {
        this->needs.apply(*this->model, nullptr);
        this->core.apply(this->model, revision{1}, {this->now, {}});
        acquire_ownership(this->core, this->now);
        warm_up(this->core, *this->model, this->now);
    }
    void teardown() override { CHECK_EQUAL(0, this->core.check_invariants().size()); }

    // Reports both targets of "web" in domain "a" as leaving, or as available again.
    void set_leaving(bool leaving)
    {
        for (const std::uint32_t index : {0U, 1U}) {
            this->core.report({target_id{index}, 0, 3, leaving}, this->now);
        }
    }
    actions arrive_at_shop(std::uint64_t id)
    {
        auto request = request_of(id, gold, this->now);
        request.service = shop;
        return this->core.arrive(request, this->now);
    }
};
// clang-format on

TEST(dependencies, a_service_cannot_serve_without_its_dependencies)
{
    CHECK_TRUE(needs.can_serve(shop));
    needs.set_targets_can_serve(web, false);
    CHECK_TRUE(needs.unavailable_dependency(shop) == web);
    CHECK_FALSE(needs.can_serve(shop));
    CHECK_FALSE(needs.unavailable_dependency(web).has_value());
}

TEST(dependencies, heartbeats_of_an_owner_update_its_services)
{
    heartbeat beat;
    beat.owned = {web};
    beat.unable = {web};
    needs.apply_heartbeat(beat);
    CHECK_TRUE(needs.unavailable_dependency(shop) == web);
    beat.unable.clear();
    needs.apply_heartbeat(beat);
    CHECK_TRUE(needs.can_serve(shop));
}

TEST(dependencies, requests_for_a_service_are_refused_while_a_dependency_cannot_serve)
{
    CHECK_EQUAL(1, actions_of<send_to_target>(arrive_at_shop(1)).size());
    set_leaving(true);
    const auto refused = actions_of<refuse>(arrive_at_shop(2));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::dependency);
    set_leaving(false);
    core.finished(result_of(1, attempt_outcome::answered), now);
    CHECK_EQUAL(1, actions_of<send_to_target>(arrive_at_shop(3)).size());
}

TEST(dependencies, queued_requests_are_refused_when_a_dependency_becomes_unavailable)
{
    // Both targets of "shop" are cold and accept one attempt each.
    arrive_at_shop(1);
    arrive_at_shop(2);
    CHECK_EQUAL(0, arrive_at_shop(3).size());
    for (const std::uint32_t index : {0U, 1U}) {
        const auto out = core.report({target_id{index}, 0, 3, true}, now);
        CHECK_EQUAL(index == 0 ? 0 : 1, actions_of<refuse>(out).size());
    }
}

TEST(dependencies, heartbeats_list_the_services_that_cannot_serve)
{
    set_leaving(true);
    std::vector<service_id> unable;
    for (int step = 0; step < 20; ++step) {
        now += tick_interval;
        for (const send_message& each : actions_of<send_message>(core.tick({now, {}}))) {
            if (const auto* beat = std::get_if<heartbeat>(&each.message)) {
                unable = beat->unable;
            }
        }
    }
    CHECK_TRUE(unable == (std::vector<service_id>{web, shop}));
}

TEST(dependencies, a_dependency_whose_every_target_fails_cannot_serve)
{
    for (std::uint64_t id = 1; id <= 40; ++id) {
        auto request = request_of(id, gold, now);
        request.repeatable = false;
        core.arrive(request, now);
        core.finished(result_of(id, attempt_outcome::broken), now);
    }
    core.tick({now, {}});
    CHECK_EQUAL(1, actions_of<refuse>(arrive_at_shop(120)).size());
    acquire_ownership(core, now);
    report_idle(core, *model, now);
    CHECK_EQUAL(1, actions_of<send_to_target>(arrive_at_shop(121)).size());
}
