#include "bth/control/replicated_proposer.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <log4cplus/loggingmacros.h>

namespace bth::control {

namespace {

using consensus::member_id;
using consensus::replica_role;
using consensus::replica_status;
using consensus::request_outcome;

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::seconds request_limit{5};
// Interval of attempts to take part again after the log couldn't be written.
constexpr std::chrono::seconds resume_interval{1};
// A peer that hasn't answered its leader for this long counts as unreachable.
constexpr std::chrono::milliseconds unreachable_after{1000};

consensus::member_settings member_settings_of(const control_settings& settings, bool found)
{
    consensus::member_settings out;
    out.host = settings.host;
    out.fresh_life = shell::fresh_incarnation();
    out.seed = out.fresh_life.value();
    for (const control_member& each : settings.members) {
        out.replica.seeds.push_back(each.host);
        if (found) {
            out.founders.voters.push_back({each.host, consensus::founding_incarnation});
        }
    }
    return out;
}

wire::byte_view view_of(const std::string& bytes)
{
    return {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()};
}

std::string role_name(const replica_status& known)
{
    if (known.role == replica_role::leader) {
        // A leader that isn't confirmed, or hasn't yet applied all, isn't in charge.
        return known.holds_lease && known.caught_up ? "leader" : "candidate";
    }
    if (is_learner(known.members, known.self)) {
        return "learner";
    }
    if (!is_voter(known.members, known.self)) {
        return "newcomer";
    }
    return known.role == replica_role::candidate ? "candidate" : "follower";
}

} // namespace

tl::expected<std::shared_ptr<replicated_proposer>, std::string>
replicated_proposer::open(boost::asio::io_context& context, const control_settings& settings,
                          bool found)
{
    auto disk = storage::posix_disk::open(settings.data_folder);
    if (!disk) {
        return tl::unexpected{to_string(disk.error())};
    }
    auto member = group_member::open(std::move(*disk), member_settings_of(settings, found),
                                     book_machine{}, shell::monotonic_now());
    if (!member) {
        return tl::unexpected{"can't use the data folder \"" + settings.data_folder +
                              "\": " + to_string(member.error())};
    }
    return std::shared_ptr<replicated_proposer>{
        new replicated_proposer{context, settings, std::move(*member)}};
}

replicated_proposer::replicated_proposer(boost::asio::io_context& context,
                                         control_settings settings, group_member member)
    : context{&context}, settings{std::move(settings)}, member{std::move(member)}, timer{context},
      log{log4cplus::Logger::getInstance("control.consensus")}
{}

void replicated_proposer::start(std::shared_ptr<shell::peer_link> peer_link)
{
    if (const auto& cut = this->member.cut_at_start()) {
        LOG4CPLUS_WARN(this->log, "Cut a torn tail of "
                                      << cut->bytes << " bytes off the log at byte " << cut->offset
                                      << ".");
    }
    this->link = std::move(peer_link);
    this->link->on_frame(wire::frame_kind::consensus,
                         [self = this->shared_from_this()](const auto& from, auto payload) {
                             return self->receive(from, payload);
                         });
    this->tick();
}

void replicated_proposer::stop()
{
    this->stopping = true;
    this->timer.cancel();
    for (const auto& [token, each] : this->waiting) {
        each->timer.cancel();
    }
}

void replicated_proposer::tick()
{
    const auto now = shell::monotonic_now();
    if (this->member.failure() && now >= this->resume_due) {
        this->resume_due = now + resume_interval;
        // A failed attempt leaves the reason in failure().
        (void)this->member.resume(now);
    }
    this->member.tick(now);
    this->flush();
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([self = this->shared_from_this()](const auto& error) {
        if (!error && !self->stopping) {
            self->tick();
        }
    });
}

bool replicated_proposer::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const std::string_view bytes{reinterpret_cast<const char*>(payload.data()), payload.size()};
    const auto sent = consensus::decode_envelope(bytes);
    if (!sent || sent->from.host != from.name) {
        return false;
    }
    this->member.receive(shell::monotonic_now(), *sent);
    this->flush();
    return true;
}

void replicated_proposer::flush()
{
    for (const auto& sent : this->member.take_messages()) {
        const auto bytes = encode(sent);
        this->link->send(sent.to.host, wire::frame_kind::consensus, view_of(bytes));
    }
    for (auto& result : this->member.take_results()) {
        const auto found = this->waiting.find(result.answer.token);
        if (found != this->waiting.end()) {
            found->second->result = std::move(result);
            found->second->timer.cancel();
        }
    }
    this->report_failure();
    this->report_changes(this->member.status(shell::monotonic_now()));
}

void replicated_proposer::report_failure()
{
    const auto& failure = this->member.failure();
    if (failure.has_value() == this->failure_reported) {
        return;
    }
    this->failure_reported = failure.has_value();
    if (!failure) {
        LOG4CPLUS_INFO(this->log, "Takes part again.");
        return;
    }
    LOG4CPLUS_ERROR(this->log, "Stopped taking part: " << to_string(*failure) << ".");
    this->resume_due = shell::monotonic_now() + resume_interval;
    // A stopped member answers none of them.
    for (const auto& [token, each] : this->waiting) {
        each->timer.cancel();
    }
}

void replicated_proposer::report_changes(const replica_status& now_is)
{
    const auto role = role_name(now_is);
    if (role != this->last_role) {
        LOG4CPLUS_INFO(this->log, "Is " << role << " in term " << now_is.term.value() << ".");
        this->last_role = role;
    }
}

// Passes a request to the member and waits for its result.
boost::asio::awaitable<tl::expected<replicated_proposer::outcome, proposal_failure>>
replicated_proposer::request(request_action take)
{
    const auto self = this->shared_from_this();
    if (this->stopping) {
        co_return tl::unexpected{proposal_failure{proposal_failure_reason::stopping, run_state::no,
                                                  "this control host is stopping"}};
    }
    if (this->member.failure()) {
        co_return tl::unexpected{this->disk_failure(run_state::no)};
    }
    const consensus::request_token token{this->next_token++};
    const auto mine = std::make_shared<waiter>(*this->context);
    mine->timer.expires_after(request_limit);
    this->waiting.emplace(token, mine);
    take(token);
    this->flush();
    if (!mine->result && !this->member.failure()) {
        boost::system::error_code ended;
        co_await mine->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ended));
    }
    this->waiting.erase(token);
    if (mine->result) {
        co_return std::move(*mine->result);
    }
    if (this->member.failure()) {
        co_return tl::unexpected{this->disk_failure(run_state::unknown)};
    }
    co_return tl::unexpected{proposal_failure{proposal_failure_reason::timed_out,
                                              run_state::unknown, "no decision in time"}};
}

boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>>
replicated_proposer::propose(edit one)
{
    const request_action take = [this, command = command_of(one)](auto token) {
        this->member.propose(shell::monotonic_now(), token, command);
    };
    auto done = co_await this->request(take);
    if (!done) {
        co_return tl::unexpected{std::move(done.error())};
    }
    if (!done->applied) {
        co_return tl::unexpected{this->failure_of(done->answer)};
    }
    co_return std::move(*done->applied);
}

boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> replicated_proposer::read()
{
    const request_action take = [this](auto token) {
        this->member.read(shell::monotonic_now(), token);
    };
    auto done = co_await this->request(take);
    if (!done) {
        done.error().accepted = run_state::no;
        co_return tl::unexpected{std::move(done.error())};
    }
    if (done->answer.outcome != request_outcome::read_ready) {
        auto failure = this->failure_of(done->answer);
        failure.accepted = run_state::no;
        co_return tl::unexpected{std::move(failure)};
    }
    co_return this->applied();
}

boost::asio::awaitable<tl::expected<void, proposal_failure>>
replicated_proposer::change_member(std::string host, bool add)
{
    const request_action take = [this, host, add](auto token) {
        if (add) {
            this->member.add_member(shell::monotonic_now(), token, host);
        }
        else {
            this->member.remove_member(shell::monotonic_now(), token, host);
        }
    };
    auto done = co_await this->request(take);
    if (!done) {
        co_return tl::unexpected{std::move(done.error())};
    }
    if (!done->applied) {
        co_return tl::unexpected{this->failure_of(done->answer)};
    }
    co_return tl::expected<void, proposal_failure>{};
}

proposal_failure replicated_proposer::failure_of(const consensus::request_answer& answer) const
{
    using reason = proposal_failure_reason;
    switch (answer.outcome) {
    case request_outcome::no_quorum:
        return {reason::no_quorum, run_state::no, "no majority of the control hosts answers"};
    case request_outcome::busy:
        return {reason::no_quorum, run_state::no, "another change of members is under way"};
    case request_outcome::bad_member:
        return {reason::no_quorum, run_state::no,
                "the host isn't known, is in already, or can't be spared now"};
    case request_outcome::unknown:
        return {reason::lost_lead, run_state::unknown, "another host took the lead meanwhile"};
    default:
        break;
    }
    const std::string named =
        answer.leader ? "the leader is " + answer.leader->host : "no leader is known";
    return {reason::no_leader, run_state::no, named};
}

proposal_failure replicated_proposer::disk_failure(run_state accepted) const
{
    return {proposal_failure_reason::storage_failed, accepted, to_string(*this->member.failure())};
}

member_status replicated_proposer::status_of(const member_id& id, const replica_status& known) const
{
    member_status out{id.host, "unknown", {}, std::nullopt};
    if (id == known.self) {
        return {id.host, role_name(known), this->member.state().book().version(), 0};
    }
    const auto peer = std::find_if(known.peers.begin(), known.peers.end(),
                                   [&](const auto& row) { return row.peer == id; });
    if (peer == known.peers.end()) {
        const bool leads = known.leader == id;
        out.role = leads ? "leader" : "unknown";
        return out;
    }
    out.behind = peer->match < known.last ? known.last - peer->match : 0;
    const auto silent = shell::monotonic_now() - peer->acknowledged.sent_at;
    if (silent > unreachable_after) {
        out.role = "unreachable";
    }
    else {
        out.role = is_learner(known.members, id) ? "learner" : "follower";
    }
    return out;
}

control_status replicated_proposer::status() const
{
    const auto known = this->member.status(shell::monotonic_now());
    control_status out;
    out.host = this->settings.host;
    out.role = this->member.failure() ? "stopped" : role_name(known);
    const bool led = known.role != replica_role::leader || known.holds_lease;
    out.leader = led && known.leader ? known.leader->host : "";
    out.term = known.term.value();
    out.version = this->member.state().book().version();
    out.kept_ids = this->member.state().book().kept_ids();
    out.caught_up = known.caught_up;
    for (const auto* all : {&known.members.voters, &known.members.learners}) {
        for (const auto& id : *all) {
            out.members.push_back(this->status_of(id, known));
        }
    }
    for (const auto& id : known.applicants) {
        out.members.push_back({id.host, "newcomer", {}, std::nullopt});
    }
    return out;
}

accepted_text replicated_proposer::applied() const
{
    const auto& book = this->member.state().book();
    return {book.version(), book.text()};
}

std::optional<endpoint> replicated_proposer::leader_http() const
{
    const auto known = this->member.status(shell::monotonic_now());
    if (!known.leader || known.leader->host == this->settings.host) {
        return std::nullopt;
    }
    const auto named =
        std::find_if(this->settings.members.begin(), this->settings.members.end(),
                     [&](const control_member& each) { return each.host == known.leader->host; });
    return named == this->settings.members.end() ? std::nullopt : std::optional{named->http};
}

} // namespace bth::control
