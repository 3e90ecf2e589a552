#include "bth/consensus/replica.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::consensus;
using bth::time_point;
using namespace std::chrono_literals;

member_id founder(const std::string& host)
{
    return {host, founding_incarnation};
}

// Replicas whose messages arrive at once and whose writes succeed at once.
class small_group {
public:
    explicit small_group(const std::vector<std::string>& hosts)
    {
        configuration all;
        for (const auto& host : hosts) {
            all.voters.push_back(founder(host));
        }
        std::uint64_t seed = 1;
        for (const auto& voter : all.voters) {
            restored_state blank;
            blank.self = voter;
            blank.founders = all;
            this->replicas.emplace_back(blank, replica_options{}, seed++, this->now);
            this->cut.push_back(false);
        }
    }

    void run(bth::duration span)
    {
        const auto until = this->now + span;
        while (this->now < until) {
            this->now += 10ms;
            for (auto& each : this->replicas) {
                each.tick(this->now);
            }
            this->settle();
        }
    }

    // Delivers until nothing is on the way.
    void settle()
    {
        for (bool busy = true; busy;) {
            busy = false;
            for (std::size_t i = 0; i < this->replicas.size(); ++i) {
                busy = this->carry_out(i) || busy;
            }
            for (const auto& sent : std::exchange(this->on_the_way, {})) {
                this->deliver(sent);
                busy = true;
            }
        }
    }

    replica* leader()
    {
        for (auto& each : this->replicas) {
            if (each.status(this->now).holds_lease) {
                return &each;
            }
        }
        return nullptr;
    }

    std::vector<replica> replicas;
    std::vector<bool> cut;
    std::vector<committed_entry> committed;
    std::vector<request_answer> answers;
    time_point now{time_point{} + 1h};

private:
    bool carry_out(std::size_t i)
    {
        const auto out = this->replicas.at(i).take_output();
        if (out.must_persist()) {
            this->replicas.at(i).persisted(this->now);
        }
        this->committed.insert(this->committed.end(), out.committed.begin(), out.committed.end());
        this->answers.insert(this->answers.end(), out.answers.begin(), out.answers.end());
        if (!this->cut.at(i)) {
            this->on_the_way.insert(this->on_the_way.end(), out.messages.begin(),
                                    out.messages.end());
        }
        return out.must_persist() || !out.messages.empty();
    }

    void deliver(const envelope& sent)
    {
        for (std::size_t i = 0; i < this->replicas.size(); ++i) {
            const bool mine = this->replicas.at(i).status(this->now).self.host == sent.to.host;
            if (mine && !this->cut.at(i)) {
                this->replicas.at(i).receive(this->now, sent);
            }
        }
    }

    std::deque<envelope> on_the_way;
};

std::size_t index_of(const small_group& group, const replica* which)
{
    return static_cast<std::size_t>(which - group.replicas.data());
}

} // namespace

// clang-format off
TEST_GROUP(replica) {};
// clang-format on

TEST(replica, group_of_one_leads_and_commits_alone)
{
    small_group group{{"a"}};
    group.run(2s);
    auto* leader = group.leader();
    CHECK_TRUE(leader != nullptr);
    leader->propose(group.now, request_token{7}, "x");
    group.settle();
    CHECK_TRUE(group.committed.back().token == request_token{7});
}

TEST(replica, three_elect_one_leader_and_commit)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    auto* leader = group.leader();
    CHECK_TRUE(leader != nullptr);
    leader->propose(group.now, request_token{7}, "x");
    group.run(1s);
    for (const auto& each : group.replicas) {
        UNSIGNED_LONGS_EQUAL(2, each.commit_index().value);
        CHECK_TRUE(each.status(group.now).leader == leader->status(group.now).self);
    }
}

TEST(replica, leader_without_quorum_refuses_edits_and_reads_and_steps_down)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    auto* leader = group.leader();
    group.cut.at(index_of(group, leader)) = true;
    // The process is frozen meanwhile: no tick comes before the request.
    group.now += 1s;
    leader->propose(group.now, request_token{1}, "x");
    leader->read(group.now, request_token{2});
    group.settle();
    UNSIGNED_LONGS_EQUAL(2, group.answers.size());
    CHECK_TRUE(group.answers.at(0).outcome == request_outcome::no_quorum);
    CHECK_TRUE(group.answers.at(1).outcome == request_outcome::not_leader);
    CHECK_FALSE(leader->status(group.now).holds_lease);
}

TEST(replica, read_is_confirmed_only_by_a_quorum)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    auto* leader = group.leader();
    leader->read(group.now, request_token{1});
    group.settle();
    CHECK_TRUE(group.answers.back().outcome == request_outcome::read_ready);
    group.cut.at(index_of(group, leader)) = true;
    leader->read(group.now, request_token{2});
    group.settle();
    UNSIGNED_LONGS_EQUAL(1, group.answers.size());
}

TEST(replica, edit_taken_by_a_leader_that_is_cut_off_is_answered_unknown)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    auto* leader = group.leader();
    group.cut.at(index_of(group, leader)) = true;
    leader->propose(group.now, request_token{1}, "x");
    group.run(1500ms);
    UNSIGNED_LONGS_EQUAL(1, group.answers.size());
    CHECK_TRUE(group.answers.at(0).outcome == request_outcome::unknown);
}

TEST(replica, successor_is_found_within_two_seconds_of_the_leaders_death)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    const auto dead = index_of(group, group.leader());
    group.cut.at(dead) = true;
    group.run(2s);
    CHECK_TRUE(group.leader() != nullptr);
    CHECK_FALSE(index_of(group, group.leader()) == dead);
}

TEST(replica, votes_are_refused_while_a_leader_may_hold_its_lease)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    const auto term = group.leader()->durable_state().term;
    const term_number later{term.value() + 5};
    for (auto& each : group.replicas) {
        const auto self = each.status(group.now).self;
        const envelope ask{founder("z"), self, vote_request{later, false, {99}, later}};
        each.receive(group.now, ask);
        CHECK_TRUE(each.durable_state().term == term);
    }
}

TEST(replica, message_for_an_earlier_life_is_not_taken)
{
    small_group group{{"a"}};
    group.now += 10s;
    const term_number later{9};
    const member_id other_life{"a", bth::incarnation{2}};
    group.replicas.at(0).receive(
        group.now, {founder("b"), other_life, vote_request{later, false, {9}, later}});
    CHECK_FALSE(group.replicas.at(0).durable_state().vote.has_value());
}

TEST(replica, leader_that_takes_itself_out_can_lead_until_that_is_committed)
{
    small_group group{{"a", "b", "c", "d"}};
    group.run(2s);
    const auto old = index_of(group, group.leader());
    const auto dead = (old + 1) % 4;
    group.cut.at(old) = true;
    const auto& name = group.replicas.at(old).status(group.now).self.host;
    group.replicas.at(old).remove_member(group.now, request_token{1}, name);
    group.cut.at(dead) = true;
    group.run(2s);
    CHECK_TRUE(group.leader() == nullptr);
    group.cut.at(old) = false;
    group.run(4s);
    CHECK_TRUE(group.leader() != nullptr);
}

// Its former leader may hold a lease that rests on its silence.
TEST(replica, resumed_replica_gives_no_vote_until_the_silence_of_its_last_leader_is_over)
{
    configuration all;
    all.voters = {founder("a"), founder("b"), founder("c")};
    const restored_state blank{founder("a"), all, {}, nullptr, {}};
    const replica_options options;
    const time_point heard{1min};
    replica resumed{blank, options, 1, heard + 100ms, heard};
    const envelope asked{founder("b"), founder("a"), vote_request{term_number{1}, false, {}, {}}};
    const auto votes_at = [&](time_point now) {
        resumed.receive(now, asked);
        const auto out = resumed.take_output();
        CHECK_EQUAL(1, out.messages.size());
        return std::get<vote_answer>(out.messages.front().body).granted;
    };
    CHECK_FALSE(votes_at(heard + options.vote_silence - 1ms));
    CHECK_TRUE(votes_at(heard + options.vote_silence));
}

// Nobody has heard a host that doesn't come back after all were killed: only the log tells where it
// was.
TEST(replica, domains_of_members_are_in_the_log_of_each)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    const std::map<std::string, std::string> domains{{"a", "x"}, {"c", "z"}};
    group.leader()->record_domains(group.now, request_token{1},
                                   {{"a", "x"}, {"c", "z"}, {"q", "w"}});
    group.run(1s);
    for (const auto& each : group.replicas) {
        CHECK_TRUE(each.status(group.now).members.domains == domains);
    }
    UNSIGNED_LONGS_EQUAL(3, group.leader()->status(group.now).members.voters.size());
    group.leader()->record_domains(group.now, request_token{2}, domains);
    group.settle();
    CHECK_TRUE(group.answers.back().outcome == request_outcome::bad_member);
    const std::string removed = group.leader()->status(group.now).self.host == "c" ? "a" : "c";
    group.leader()->remove_member(group.now, request_token{3}, removed);
    group.run(1s);
    CHECK_FALSE(group.leader()->status(group.now).members.domains.contains(removed));
}

TEST(replica, applicant_is_let_in_with_its_domain)
{
    small_group group{{"a", "b", "c"}};
    group.run(2s);
    const member_id newcomer{"d", bth::incarnation{9}};
    // Every member but the leader passes it on.
    for (auto& each : group.replicas) {
        each.receive(group.now, {newcomer,
                                 {each.status(group.now).self.host, any_incarnation},
                                 join_request{std::nullopt, "w"}});
    }
    group.settle();
    group.leader()->add_member(group.now, request_token{1}, "d");
    group.settle();
    const auto members = group.leader()->status(group.now).members;
    CHECK_TRUE(is_learner(members, newcomer));
    STRCMP_EQUAL("w", members.domains.at("d").c_str());
}
