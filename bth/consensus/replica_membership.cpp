// Members that come, catch up, are let in and leave.
#include "bth/consensus/replica.h"

#include <algorithm>
#include <utility>

namespace bth::consensus {

namespace {

// The entries that a learner may be behind when it becomes a voter.
constexpr std::uint64_t promotion_lag = 16;

// The silence, in election timeouts, after which a voter suspects that it was taken out.
constexpr int removal_silence = 3;

void erase_host(std::vector<member_id>& members, const std::string& host)
{
    std::erase_if(members, [&](const auto& row) { return row.host == host; });
}

configuration without_host(configuration members, const std::string& host)
{
    erase_host(members.voters, host);
    erase_host(members.learners, host);
    members.domains.erase(host);
    return members;
}

} // namespace

// An applicant knows only its seeds, none of which needs to be the leader. A request that was
// passed on once isn't passed on again, so that members with different leaders don't pass it in
// circles.
void replica::on_join_request(time_point now, const member_id& from, const join_request& request)
{
    if (this->role != replica_role::leader) {
        if (this->leader && !request.applicant && this->leader->host != from.host) {
            this->send(*this->leader, join_request{from, request.domain});
        }
        return;
    }
    const auto& applicant_id = request.applicant.value_or(from);
    if (this->find_peer(applicant_id) != nullptr) {
        return;
    }
    // A seed may pass on a request of an earlier incarnation after one of the present.
    const bool superseded =
        std::any_of(this->applicants.begin(), this->applicants.end(), [&](const auto& row) {
            return row.member.host == applicant_id.host && row.member.life > applicant_id.life;
        });
    if (superseded) {
        return;
    }
    std::erase_if(this->applicants,
                  [&](const auto& row) { return row.member.host == applicant_id.host; });
    this->applicants.push_back({applicant_id, now, request.domain});
}

// A replica that isn't in the configuration it knows, and hears no leader, asks every seed. One
// that is in it asks after a longer silence: it may have been taken out without hearing of it.
void replica::ask_to_join(time_point now)
{
    const bool voter = is_voter(this->log.members(), this->self);
    const bool silent = now - this->heard_leader > removal_silence * this->options.election_least;
    if ((voter && !silent) || now < this->join_due) {
        return;
    }
    this->join_due = now + this->options.heartbeat;
    for (const auto& host : this->options.seeds) {
        if (host != this->self.host) {
            this->send({host, any_incarnation}, join_request{std::nullopt, this->options.domain});
        }
    }
}

// Makes the table of peers that of the current members.
void replica::refresh_peers()
{
    std::vector<peer_progress> next;
    const auto keep = [&](const member_id& member) {
        if (member == this->self) {
            return;
        }
        const auto* known = this->find_peer(member);
        if (known != nullptr) {
            next.push_back(*known);
            return;
        }
        peer_progress fresh{member, {}, this->log.last() + 1, {}, 0, {}, {}};
        // A new leader has the time of one lease to be confirmed.
        fresh.acknowledged.sent_at = this->led_since;
        next.push_back(fresh);
    };
    for (const auto& member : this->log.members().voters) {
        keep(member);
    }
    for (const auto& member : this->log.members().learners) {
        keep(member);
    }
    this->peers = std::move(next);
}

// One change at a time, and none before the leader has committed in its own term.
bool replica::change_pending() const
{
    return this->log.members_index() > this->commit || this->commit < this->term_start;
}

// Whether so many of these voters answered lately that they could go on.
bool replica::reaches_quorum(time_point now, const configuration& next) const
{
    const auto answers = [&](const member_id& voter) {
        const auto peer = std::find_if(this->peers.begin(), this->peers.end(),
                                       [&](const auto& row) { return row.peer == voter; });
        return voter == this->self ||
               (peer != this->peers.end() &&
                now - peer->acknowledged.sent_at < this->options.vote_silence);
    };
    const auto count = std::count_if(next.voters.begin(), next.voters.end(), answers);
    return static_cast<std::size_t>(count) > next.voters.size() / 2;
}

void replica::change_members(time_point now, configuration next, std::optional<request_token> token)
{
    if (token.has_value()) {
        this->proposals.push_back({this->log.last() + 1, 0, *token});
    }
    this->append_own({{}, {}, entry_kind::configuration, {}, std::move(next)});
    this->refresh_peers();
    this->replicate_to_all(now);
}

void replica::add_member(time_point now, request_token token, const std::string& host)
{
    if (!this->ready_for_requests(now, token)) {
        return;
    }
    const auto known = std::find_if(this->applicants.begin(), this->applicants.end(),
                                    [&](const auto& row) { return row.member.host == host; });
    if (known == this->applicants.end() || host == this->self.host) {
        this->answer(token, request_outcome::bad_member);
        return;
    }
    if (this->change_pending()) {
        this->answer(token, request_outcome::busy);
        return;
    }
    auto next = without_host(this->log.members(), host);
    add_learner(next, *known);
    this->change_members(now, std::move(next), token);
}

void replica::remove_member(time_point now, request_token token, const std::string& host)
{
    if (!this->ready_for_requests(now, token)) {
        return;
    }
    const auto next = without_host(this->log.members(), host);
    if (next == this->log.members() || !this->reaches_quorum(now, next)) {
        this->answer(token, request_outcome::bad_member);
        return;
    }
    if (this->change_pending()) {
        this->answer(token, request_outcome::busy);
        return;
    }
    this->change_members(now, next, token);
}

void replica::record_domains(time_point now, request_token token,
                             const std::map<std::string, std::string>& domains)
{
    if (!this->ready_for_requests(now, token)) {
        return;
    }
    auto next = this->log.members();
    for (const auto& [host, domain] : domains) {
        if (member_on(next, host)) {
            next.domains.insert_or_assign(host, domain);
        }
    }
    if (next == this->log.members()) {
        this->answer(token, request_outcome::bad_member);
        return;
    }
    if (this->change_pending()) {
        this->answer(token, request_outcome::busy);
        return;
    }
    this->change_members(now, std::move(next), token);
}

void replica::add_learner(configuration& members, const applicant& added)
{
    members.learners.push_back(added.member);
    if (!added.domain.empty()) {
        members.domains.insert_or_assign(added.member.host, added.domain);
    }
}

void replica::admit(time_point now)
{
    std::erase_if(this->applicants, [&](const auto& row) {
        return this->find_peer(row.member) != nullptr ||
               now - row.heard > this->options.election_least;
    });
    if (this->change_pending()) {
        return;
    }
    if (!this->readmit_applicant(now)) {
        this->promote_learner(now);
    }
}

// A later life of a member's host asks to be let in: the member's disk is gone. The voter that it
// was is taken out, and the new life becomes a learner, in one change of one voter.
bool replica::readmit_applicant(time_point now)
{
    for (const auto& row : this->applicants) {
        const auto old = member_on(this->log.members(), row.member.host);
        if (!old.has_value() || old->life >= row.member.life || *old == this->self) {
            continue;
        }
        auto next = without_host(this->log.members(), row.member.host);
        if (!this->reaches_quorum(now, next)) {
            continue;
        }
        add_learner(next, row);
        this->change_members(now, std::move(next), std::nullopt);
        return true;
    }
    return false;
}

// A learner that holds all that is committed, and answered lately, becomes a voter.
void replica::promote_learner(time_point now)
{
    for (const auto& learner : this->log.members().learners) {
        const auto* peer = this->find_peer(learner);
        const bool caught_up = peer != nullptr && peer->match + promotion_lag >= this->commit &&
                               now - peer->acknowledged.sent_at < 2 * this->options.heartbeat;
        if (caught_up) {
            auto next = this->log.members();
            std::erase(next.learners, learner);
            next.voters.push_back(learner);
            this->change_members(now, std::move(next), std::nullopt);
            return;
        }
    }
}

void replica::leave_if_removed(time_point now)
{
    const auto& members = this->log.members();
    if (this->log.members_index() <= this->commit && !is_voter(members, this->self)) {
        this->replicate_to_all(now);
        this->follow(now, this->state.term, std::nullopt);
    }
}

} // namespace bth::consensus
