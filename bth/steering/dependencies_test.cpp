#include "bth/steering/dependencies.h"
#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <chrono>
#include <memory>

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
    node core{{.host_name = "a1", .life = incarnation{1}, .seed = 7}};
    time_point now{10s};

    void setup() override
    {
        this->needs.apply(*this->model, nullptr);
        this->core.apply(this->model, revision{1}, {this->now, {}});
        settle(this->core, this->now);
        warm_up(this->core, *this->model, this->now);
    }
    void teardown() override { CHECK_EQUAL(0, this->core.check_invariants().size()); }

    // Both targets of "web" in domain "a" leave, or come back.
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

TEST(dependencies, a_service_needs_all_that_it_depends_on)
{
    CHECK_TRUE(needs.can_serve(shop));
    needs.set_able(web, false);
    CHECK_TRUE(needs.missing(shop) == web);
    CHECK_FALSE(needs.can_serve(shop));
    CHECK_FALSE(needs.missing(web).has_value());
}

TEST(dependencies, the_owner_of_a_dependency_tells_by_its_heartbeat)
{
    heartbeat beat;
    beat.owned = {web};
    beat.unable = {web};
    needs.take_heartbeat(beat);
    CHECK_TRUE(needs.missing(shop) == web);
    beat.unable.clear();
    needs.take_heartbeat(beat);
    CHECK_TRUE(needs.can_serve(shop));
}

TEST(dependencies, a_dependency_that_cannot_serve_takes_its_dependants_out)
{
    CHECK_EQUAL(1, all_of<send_to_target>(arrive_at_shop(1)).size());
    set_leaving(true);
    const auto refused = all_of<refuse>(arrive_at_shop(2));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().reason == refusal_reason::dependency);
    set_leaving(false);
    core.finished(end_of(1, try_outcome::answered), now);
    CHECK_EQUAL(1, all_of<send_to_target>(arrive_at_shop(3)).size());
}

TEST(dependencies, what_waits_for_a_dependant_gets_its_final_answer_when_the_dependency_goes)
{
    // Both targets of "shop" are cold: one try each.
    arrive_at_shop(1);
    arrive_at_shop(2);
    CHECK_EQUAL(0, arrive_at_shop(3).size());
    for (const std::uint32_t index : {0U, 1U}) {
        const auto out = core.report({target_id{index}, 0, 3, true}, now);
        CHECK_EQUAL(index == 0 ? 0 : 1, all_of<refuse>(out).size());
    }
}

TEST(dependencies, a_dependency_whose_every_target_fails_cannot_serve)
{
    for (std::uint64_t id = 1; id <= 40; ++id) {
        auto request = request_of(id, gold, now);
        request.repeatable = false;
        core.arrive(request, now);
        core.finished(end_of(id, try_outcome::broken), now);
    }
    core.tick({now, {}});
    CHECK_EQUAL(1, all_of<refuse>(arrive_at_shop(120)).size());
    settle(core, now);
    report_idle(core, *model, now);
    CHECK_EQUAL(1, all_of<send_to_target>(arrive_at_shop(121)).size());
}
