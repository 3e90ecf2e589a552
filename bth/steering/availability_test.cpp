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

// One host's view; every target and host is alive in the lists that it makes.
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

heartbeat beat(std::uint64_t life, bool leaving)
{
    heartbeat made;
    made.incarnation_number = incarnation{life};
    made.leaving = leaving;
    return made;
}

} // namespace

// clang-format off
TEST_GROUP(availability) {};
// clang-format on

TEST(availability, the_platforms_word_counts_before_the_targets_own)
{
    view host;
    host.known.take_report({target, 0, 3, false}, host.now);
    host.known.take_platform(host.target_leaving(), host.now);
    host.known.take_report({target, 0, 3, false}, host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
}

TEST(availability, a_lagging_list_does_not_revive_a_target_that_says_it_leaves)
{
    view host;
    host.known.take_report({target, 0, 3, true}, host.now);
    for (int second = 0; second < 60; ++second) {
        host.known.take_platform(host.all_alive(), host.now + std::chrono::seconds{second});
    }
    CHECK_TRUE(host.known.leaving(target));
    host.known.take_report({target, 0, 3, false}, host.now + 61s);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, one_old_list_out_of_order_revives_nothing)
{
    view host;
    host.known.take_platform(host.target_leaving(), host.now);
    host.known.take_platform(host.all_alive(), host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.take_platform(host.target_leaving(), host.now + 2s);
    host.known.take_platform(host.all_alive(), host.now + 6s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.take_platform(host.all_alive(), host.now + 12s);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, a_list_without_a_target_or_no_list_at_all_kills_nothing)
{
    view host;
    host.known.take_heartbeat(peer, beat(1, false), host.now);
    host.known.take_platform({}, host.now);
    CHECK_FALSE(host.known.leaving(target));
    CHECK_TRUE(host.known.condition(peer, host.now + 1s) == host_condition::usable);
}

TEST(availability, a_list_does_not_make_a_silent_peer_usable)
{
    view host;
    host.known.take_heartbeat(peer, beat(1, false), host.now);
    host.known.take_platform(host.all_alive(), host.now + 4s);
    CHECK_TRUE(host.known.condition(peer, host.now + 4s) == host_condition::silent);
    CHECK_TRUE(host.known.condition(host_id{2}, host.now) == host_condition::unheard);
}

TEST(availability, a_report_past_its_limit_is_unknown)
{
    view host;
    CHECK_FALSE(host.known.reported(target, host.now));
    host.known.take_report({target, 0, 3, false}, host.now);
    CHECK_TRUE(host.known.reported(target, host.now + availability::report_limit));
    CHECK_FALSE(host.known.reported(target, host.now + availability::report_limit + 1ms));
}

TEST(availability, every_host_knows_within_two_seconds_though_notices_to_one_are_lost)
{
    view first;
    view second;
    view third;
    first.known.take_report({target, 0, 3, true}, first.now);
    // No message from the first to the third arrives, and two in three of the second's are lost.
    int sent = 0;
    for (time_point now = first.now; now <= first.now + 2s; now += 50ms) {
        if (const auto notice = first.known.due_notice(now)) {
            second.known.take_notice(*notice, now);
        }
        const auto notice = second.known.due_notice(now);
        if (notice && ++sent % 3 == 0) {
            third.known.take_notice(*notice, now);
        }
    }
    CHECK_TRUE(second.known.leaving(target));
    CHECK_TRUE(third.known.leaving(target));
}

TEST(availability, a_notice_stands_until_the_target_itself_says_otherwise)
{
    view host;
    host.known.take_notice({{target}, {}}, host.now);
    host.known.take_report({target, 0, 3, false}, host.now + 1s);
    CHECK_TRUE(host.known.leaving(target));
    host.known.advance({host.now + 1h, {}});
    CHECK_TRUE(host.known.leaving(target));
    host.known.take_report({target, 0, 3, false}, host.now + 1h);
    CHECK_FALSE(host.known.leaving(target));
}

TEST(availability, two_hosts_do_not_keep_a_word_alive_between_them)
{
    view first;
    view second;
    first.known.take_notice({{target}, {}}, first.now);
    int notices = 0;
    for (time_point now = first.now; now <= first.now + 60s; now += 50ms) {
        if (const auto notice = first.known.due_notice(now)) {
            second.known.take_notice(*notice, now);
        }
        if (const auto notice = second.known.due_notice(now)) {
            first.known.take_notice(*notice, now);
            notices = now > first.now + 30s ? notices + 1 : notices;
        }
    }
    CHECK_EQUAL(0, notices);
}

TEST(availability, a_drain_begins_at_its_time_and_ends_only_by_undrain)
{
    view host{with_drain(R"({"failure_domain":"a","from_unix_ms":5000})")};
    host.known.advance({host.now, wall_time{4999ms}});
    CHECK_FALSE(host.known.drained(own));
    CHECK_TRUE(host.known.leaves_within(host_id{0}, 1s));
    CHECK_FALSE(host.known.leaves_within(host_id{0}, 0s));
    host.known.advance({host.now, wall_time{5000ms}});
    CHECK_TRUE(host.known.drained(own));
    CHECK_TRUE(host.known.leaving(target));
    CHECK_TRUE(host.known.leaving(host_id{0}));
    // The wall clock is set back, and another edit comes.
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

TEST(availability, a_host_without_the_text_learns_of_a_drain_and_of_its_end)
{
    view informed{with_drain(R"({"failure_domain":"a"})")};
    view late;
    informed.known.advance({informed.now, {}});
    for (int step = 0; step < 40; ++step) {
        informed.now += tick_interval;
        late.now = informed.now;
        if (const auto notice = informed.known.due_notice(informed.now)) {
            late.known.take_notice(*notice, late.now);
        }
        late.known.take_report({target, 0, 3, false}, late.now);
    }
    CHECK_TRUE(late.known.leaving(target));
    CHECK_TRUE(late.known.leaving(host_id{0}));
    const auto undrained = testing::small_site();
    const model_map change{*informed.model, *undrained};
    informed.known.configure(undrained, own, &change);
    late.now += 1min;
    late.known.take_report({target, 0, 3, false}, late.now);
    CHECK_FALSE(informed.known.due_notice(late.now).has_value());
    CHECK_FALSE(late.known.leaving(target));
}

TEST(availability, a_drain_of_a_region_covers_all_in_it_and_nothing_else)
{
    view host{with_drain(R"({"region":"near","from_unix_ms":0})")};
    host.known.advance({host.now, wall_time{1ms}});
    CHECK_TRUE(host.known.drained(domain_id{1}));
    CHECK_FALSE(host.known.drained(domain_id{2}));
}

TEST(availability, a_new_life_of_a_host_is_not_leaving_and_an_old_one_tells_nothing)
{
    view host;
    host.known.take_heartbeat(peer, beat(1, true), host.now);
    CHECK_TRUE(host.known.condition(peer, host.now) == host_condition::leaving);
    host.known.take_heartbeat(peer, beat(2, false), host.now + 1s);
    CHECK_TRUE(host.known.condition(peer, host.now + 1s) == host_condition::usable);
    CHECK_TRUE(host.known.life_began(peer) == host.now + 1s);
    host.known.take_heartbeat(peer, beat(1, true), host.now + 2s);
    CHECK_TRUE(host.known.condition(peer, host.now + 2s) == host_condition::usable);
}
