// Tests how a whole node handles leaving targets, stops, drains, look-ups and the shift cap.
#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <algorithm>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace bth::steering::testing;
using namespace std::chrono_literals;

constexpr target_id web_a_1{0};
constexpr target_id web_a_2{1};
constexpr domain_id domain_b{1};
constexpr host_id a1{0};
constexpr host_id a2{1};
constexpr host_id b1{2};

std::shared_ptr<const config::model> site_with(const std::string& drains)
{
    const std::string text = "\"drains\":[" + drains + "]";
    return small_site({{"\"drains\":[]", text}});
}

bool lists_host(const lookup_answer& answer, host_id host)
{
    return std::find(answer.hosts.begin(), answer.hosts.end(), host) != answer.hosts.end();
}

} // namespace

// clang-format off
TEST_GROUP(node_availability)
{
    std::shared_ptr<const config::model> model{small_site()};
    node core{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
    time_point now{1h};
    std::uint64_t last_id{};

    void setup() override
    {
        this->core.apply(this->model, revision{1}, {this->now, {}});
        acquire_ownership(this->core, this->now);
        warm_up(this->core, *this->model, this->now);
    }
    void teardown() override { CHECK_EQUAL(0, this->core.check_invariants().size()); }

    void apply(std::shared_ptr<const config::model> next)
    {
        this->model = std::move(next);
        this->core.apply(this->model, revision{2}, {this->now, wall_time{1h}});
    }
    actions arrive(domain_id home = domain_a)
    {
        arrival request = request_of(++this->last_id, gold, this->now);
        request.home = home;
        return this->core.arrive(request, this->now);
    }
    void answer(std::uint64_t id)
    {
        this->core.finished(result_of(id, attempt_outcome::answered), this->now);
    }
    // Sends requests of callers of `home` at 50/s, each served in 5 ms. Returns how many of them
    // were sent to a target of this domain.
    int serve(domain_id home, duration span)
    {
        int served = 0;
        for (const time_point end = this->now + span; this->now < end; this->now += 15ms) {
            const auto sent = actions_of<send_to_target>(this->arrive(home));
            this->now += 5ms;
            if (!sent.empty()) {
                ++served;
                this->answer(this->last_id);
            }
            report_idle(this->core, *this->model, this->now);
            this->core.tick({this->now, {}});
        }
        return served;
    }
    // Lets time pass with ticks and idle target reports only.
    void advance(duration span)
    {
        for (const time_point end = this->now + span; this->now < end; this->now += tick_interval) {
            report_idle(this->core, *this->model, this->now);
            this->core.tick({this->now, {}});
        }
    }
    lookup_answer look_up() { return this->core.lookup({domain_a, web, gold}, this->now); }
};
// clang-format on

TEST(node_availability, leaving_target_gets_no_new_requests_and_finishes_its_attempts)
{
    const auto first = actions_of<send_to_target>(arrive());
    CHECK_EQUAL(1, first.size());
    const target_id leaving_target = first.front().target;
    const auto out = core.report({leaving_target, 1, 3, true}, now);
    CHECK_EQUAL(0, actions_of<abort_attempt>(out).size());
    for (int each = 0; each < 6; ++each) {
        for (const send_to_target& sent : actions_of<send_to_target>(arrive())) {
            CHECK_TRUE(sent.target != leaving_target);
        }
    }
    CHECK_EQUAL(
        0, actions_of<refuse>(core.finished(result_of(1, attempt_outcome::answered), now)).size());
}

TEST(node_availability, leaving_target_in_the_platform_list_is_closed)
{
    platform_list list;
    list.leaving_targets = {web_a_1, web_a_2};
    core.platform(list, now);
    CHECK_EQUAL(0, actions_of<send_to_target>(arrive()).size());
}

TEST(node_availability, leaving_notice_from_another_host_closes_a_target)
{
    core.receive(a2, leaving_notice{{web_a_1, web_a_2}, {}}, now);
    CHECK_EQUAL(0, actions_of<send_to_target>(arrive()).size());
}

TEST(node_availability, first_leaving_report_is_relayed_to_the_hosts_of_the_domain)
{
    const auto sent = actions_of<send_message>(core.report({web_a_1, 0, 3, true}, now));
    CHECK_TRUE(std::any_of(sent.begin(), sent.end(), [](const send_message& each) {
        const auto* notice = std::get_if<leaving_notice>(&each.message);
        return each.to == a2 && notice != nullptr && notice->targets.front() == web_a_1;
    }));
}

TEST(node_availability, drained_target_gets_requests_again_only_after_the_undrain)
{
    apply(site_with(R"({"target":"web-a-1"},{"target":"web-a-2"})"));
    CHECK_EQUAL(0, actions_of<send_to_target>(arrive()).size());
    report_idle(core, *model, now);
    CHECK_EQUAL(0, actions_of<send_to_target>(arrive()).size());
    apply(small_site());
    report_idle(core, *model, now);
    CHECK_EQUAL(1, actions_of<send_to_target>(arrive()).size());
}

TEST(node_availability, scheduled_drain_removes_the_host_from_look_ups_before_it_starts)
{
    core.receive(a2, leaving_notice{}, now);
    apply(site_with(R"({"host":"a1","from_unix_ms":3609000})"));
    core.tick({now, wall_time{1h + 5s}});
    CHECK_FALSE(lists_host(look_up(), a1));
    CHECK_TRUE(look_up().hosts.front() == a2);
}

TEST(node_availability, stopping_host_leaves_look_ups_serves_cached_ones_and_then_refuses)
{
    core.receive(a2, leaving_notice{}, now);
    const auto out = core.begin_shutdown(now);
    CHECK_TRUE(!actions_of<send_message>(out).empty());
    CHECK_FALSE(lists_host(look_up(), a1));
    advance(6s);
    const auto served = actions_of<send_to_target>(arrive());
    CHECK_EQUAL(1, served.size());
    now += 1s;
    const auto refused = actions_of<refuse>(arrive());
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().run == run_state::no);
    CHECK_TRUE(refused.front().reason == refusal_reason::shutting_down);
    CHECK_FALSE(core.may_exit(now));
    answer(1);
    CHECK_TRUE(core.may_exit(now));
}

TEST(node_availability, stopping_host_without_requests_still_waits_for_cached_look_ups)
{
    core.begin_shutdown(now);
    CHECK_FALSE(core.may_exit(now + 6s));
    CHECK_TRUE(core.may_exit(now + 7s));
}

TEST(node_availability, silent_host_is_not_listed)
{
    core.receive(a2, leaving_notice{}, now);
    core.tick({now, {}});
    CHECK_TRUE(lists_host(look_up(), a2));
    now += 4s;
    core.tick({now, {}});
    CHECK_FALSE(lists_host(look_up(), a2));
}

TEST(node_availability, callers_of_another_home_are_limited_by_the_shift_cap)
{
    // A tenth of 50/s may shift here, once the host has owned the targets for a full window.
    serve(domain_a, 62s);
    const int shifted = serve(domain_b, 20s);
    CHECK_TRUE(shifted > 20);
    CHECK_TRUE(shifted <= 300);
    const auto refused = actions_of<refuse>(arrive(domain_b));
    CHECK_TRUE(refused.front().reason == refusal_reason::shift_cap);
    CHECK_TRUE(refused.front().run == run_state::no);
    CHECK_TRUE(refused.front().retry_after >= 1s);
}

TEST(node_availability, request_settled_in_another_domain_is_forwarded_there)
{
    serve(domain_a, 10s);
    core.receive(b1, shift_claim{web, domain_a, request_rate{40.0}, {}, {}}, now);
    now += 1s;
    const auto out = arrive(domain_a);
    CHECK_EQUAL(0, actions_of<send_to_target>(out).size());
    for (const forward_to_host& each : actions_of<forward_to_host>(out)) {
        CHECK_TRUE(each.host == b1);
    }
}
