#include "bth/steering/availability.h"

#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

namespace {

const domain_id own{0};
const target_id target{0};
const host_id peer{1};

// What one host knows. Every target and host is alive in the platform lists that it builds.
struct view {
    explicit view(std::shared_ptr<const config::model> given = testing::small_site())
        : model{std::move(given)}
    {
        this->known.configure(this->model, own, nullptr);
    }

    platform_list all_alive() const
    {
        platform_list list;
        for (std::size_t index = 0; index < this->model->targets.size(); ++index) {
            list.live_targets.push_back(target_id::from_index(index));
        }
        for (std::size_t index = 0; index < this->model->hosts.size(); ++index) {
            list.live_hosts.push_back(host_id::from_index(index));
        }
        return list;
    }

    platform_list target_leaving() const
    {
        platform_list list = this->all_alive();
        list.leaving_targets = {target};
        return list;
    }

    std::shared_ptr<const config::model> model;
    availability known;
    time_point now{1h};
};

std::shared_ptr<const config::model> with_drain(std::string_view drain)
{
    const std::string drains = "\"drains\":[" + std::string{drain} + "]";
    return testing::small_site({{"\"drains\":[]", drains}});
}

heartbeat beat(std::uint64_t incarnation_number, bool leaving)
{
    heartbeat made;
    made.incarnation_number = incarnation{incarnation_number};
    made.leaving = leaving;
    return made;
}

} // namespace

// clang-format off
TEST_GROUP(availability) {};
// clang-format on

TEST(availability, platform_announcement_holds_although_the_target_reports_that_it_stays)
{
    view host;
    host.known.apply_report({target, 0, 3, false}, host.now);
    host.known.apply_platform_list(host.target_leaving(), host.now);
    host.known.apply_report({target, 0, 3, false}, host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
}

TEST(availability, outdated_list_does_not_withdraw_the_announcement_in_a_target_report)
{
    view host;
    host.known.apply_report({target, 0, 3, true}, host.now);
    for (int second = 0; second < 60; ++second) {
        host.known.apply_platform_list(host.all_alive(), host.now + std::chrono::seconds{second});
    }
    CHECK_TRUE(host.known.leaving(target));
    host.known.apply_report({target, 0, 3, false}, host.now + 61s);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, one_old_list_out_of_order_withdraws_no_announcement)
{
    view host;
    host.known.apply_platform_list(host.target_leaving(), host.now);
    host.known.apply_platform_list(host.all_alive(), host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.apply_platform_list(host.target_leaving(), host.now + 2s);
    host.known.apply_platform_list(host.all_alive(), host.now + 6s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.apply_platform_list(host.all_alive(), host.now + 12s);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, empty_list_makes_no_target_or_host_unavailable)
{
    view host;
    host.known.apply_heartbeat(peer, beat(1, false), host.now);
    host.known.apply_platform_list({}, host.now);
    CHECK_FALSE(host.known.leaving(target));
    CHECK_TRUE(host.known.condition(peer, host.now + 1s) == host_condition::usable);
}

TEST(availability, platform_list_does_not_make_a_silent_host_usable)
{
    view host;
    host.known.apply_heartbeat(peer, beat(1, false), host.now);
    host.known.apply_platform_list(host.all_alive(), host.now + 4s);
    CHECK_TRUE(host.known.condition(peer, host.now + 4s) == host_condition::silent);
    CHECK_TRUE(host.known.condition(host_id{2}, host.now) == host_condition::never_seen);
}

TEST(availability, report_older_than_its_maximum_age_does_not_count)
{
    view host;
    CHECK_FALSE(host.known.has_recent_report(target, host.now));
    host.known.apply_report({target, 0, 3, false}, host.now);
    CHECK_TRUE(host.known.has_recent_report(target, host.now + availability::report_max_age));
    CHECK_FALSE(
        host.known.has_recent_report(target, host.now + availability::report_max_age + 1ms));
}

TEST(availability, announcement_reaches_every_host_within_two_seconds_despite_lost_notices)
{
    view first;
    view second;
    view third;
    first.known.apply_report({target, 0, 3, true}, first.now);
    // No message from the first host reaches the third, and two of three messages from the second
    // to the third are lost.
    int sent = 0;
    for (time_point now = first.now; now <= first.now + 2s; now += 50ms) {
        if (const auto notice = first.known.due_notice(now)) {
            second.known.apply_notice(*notice, now);
        }
        const auto notice = second.known.due_notice(now);
        if (notice && ++sent % 3 == 0) {
            third.known.apply_notice(*notice, now);
        }
    }
    CHECK_TRUE(second.known.leaving(target));
    CHECK_TRUE(third.known.leaving(target));
}

TEST(availability, notice_holds_until_the_target_itself_reports_that_it_stays)
{
    view host;
    host.known.apply_notice({{target}, {}}, host.now);
    host.known.apply_report({target, 0, 3, false}, host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.advance({host.now + 1h, {}});
    CHECK_TRUE(host.known.leaving(target));
    host.known.apply_report({target, 0, 3, false}, host.now + 1h);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, two_hosts_do_not_keep_relaying_an_announcement_to_each_other)
{
    view first;
    view second;
    first.known.apply_notice({{target}, {}}, first.now);
    int notices = 0;
    for (time_point now = first.now; now <= first.now + 60s; now += 50ms) {
        if (const auto notice = first.known.due_notice(now)) {
            second.known.apply_notice(*notice, now);
        }
        if (const auto notice = second.known.due_notice(now)) {
            first.known.apply_notice(*notice, now);
            notices = now > first.now + 30s ? notices + 1 : notices;
        }
    }
    CHECK_EQUAL(0, notices);
}

TEST(availability, drain_starts_at_its_time_and_ends_only_by_its_removal)
{
    view host{with_drain(R"({"failure_domain":"a","from_unix_ms":5000})")};
    host.known.advance({host.now, wall_time{4999ms}});
    CHECK_FALSE(host.known.drained(own));
    CHECK_TRUE(host.known.drain_starts_within(host_id{0}, 1s));
    CHECK_FALSE(host.known.drain_starts_within(host_id{0}, 0s));
    host.known.advance({host.now, wall_time{5000ms}});
    CHECK_TRUE(host.known.drained(own));
    CHECK_TRUE(host.known.leaving(target));
    CHECK_TRUE(host.known.leaving(host_id{0}));
    // The drain stays in force when the wall clock is set back and a configuration is applied.
    host.known.advance({host.now, wall_time{1000ms}});
    const model_map same{*host.model, *host.model};
    host.known.configure(host.model, own, &same);
    CHECK_TRUE(host.known.drained(own));
    const auto undrained = testing::small_site();
    const model_map change{*host.model, *undrained};
    host.known.configure(undrained, own, &change);
    CHECK_FALSE(host.known.drained(own));
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, host_without_the_configuration_learns_of_a_drain_and_of_its_end)
{
    view informed{with_drain(R"({"failure_domain":"a"})")};
    view late;
    informed.known.advance({informed.now, {}});
    for (int step = 0; step < 40; ++step) {
        informed.now += tick_interval;
        late.now = informed.now;
        if (const auto notice = informed.known.due_notice(informed.now)) {
            late.known.apply_notice(*notice, late.now);
        }
        late.known.apply_report({target, 0, 3, false}, late.now);
    }
    CHECK_TRUE(late.known.leaving(target));
    CHECK_TRUE(late.known.leaving(host_id{0}));
    const auto undrained = testing::small_site();
    const model_map change{*informed.model, *undrained};
    informed.known.configure(undrained, own, &change);
    late.now += 1min;
    late.known.apply_report({target, 0, 3, false}, late.now);
    CHECK_FALSE(informed.known.due_notice(late.now).has_value());
    CHECK_FALSE(late.known.leaving(target));
}

TEST(availability, drain_of_a_region_covers_only_the_domains_in_it)
{
    view host{with_drain(R"({"region":"near","from_unix_ms":0})")};
    host.known.advance({host.now, wall_time{1ms}});
    CHECK_TRUE(host.known.drained(domain_id{1}));
    CHECK_FALSE(host.known.drained(domain_id{2}));
}

TEST(availability, new_incarnation_is_not_leaving_and_heartbeats_of_the_old_one_are_ignored)
{
    view host;
    host.known.apply_heartbeat(peer, beat(1, true), host.now);
    CHECK_TRUE(host.known.condition(peer, host.now) == host_condition::leaving);
    host.known.apply_heartbeat(peer, beat(2, false), host.now + 1s);
    CHECK_TRUE(host.known.condition(peer, host.now + 1s) == host_condition::usable);
    CHECK_TRUE(host.known.incarnation_first_seen(peer) == host.now + 1s);
    host.known.apply_heartbeat(peer, beat(1, true), host.now + 2s);
    CHECK_TRUE(host.known.condition(peer, host.now + 2s) == host_condition::usable);
}
