#include "bth/consensus/testing/fake_group.h"

#include <algorithm>

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::consensus::testing {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr duration resume_interval = std::chrono::milliseconds{250};
constexpr std::int64_t thousand = 1000;
// Clocks differ by up to this many thousandths, which the lease's margin covers.
constexpr std::int64_t clock_spread = 20;

} // namespace

fake_group::fake_group(std::uint64_t seed, std::size_t hosts, replica_options options)
    : generator{seed}, options{std::move(options)}
{
    for (std::size_t i = 0; i < hosts; ++i) {
        host each;
        each.name = "host-" + std::to_string(i);
        each.medium = std::make_shared<storage::testing::fake_medium>();
        each.clock_rate =
            thousand - clock_spread + static_cast<std::int64_t>(this->up_to(2 * clock_spread));
        this->founders.voters.push_back({each.name, founding_incarnation});
        this->hosts.push_back(std::move(each));
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        this->restart(i);
        this->tick(i);
    }
}

std::uint64_t fake_group::up_to(std::uint64_t most)
{
    return boost::random::uniform_int_distribution<std::uint64_t>{0, most}(this->generator);
}

void fake_group::run(duration span)
{
    const auto until = this->clock + span;
    while (!this->events.empty() && this->events.begin()->first.first <= until) {
        auto next = this->events.extract(this->events.begin());
        this->clock = next.key().first;
        next.mapped()();
    }
    this->clock = until;
}

void fake_group::after(duration delay, std::function<void()> action)
{
    this->events.emplace(std::pair{this->clock + delay, this->sequence++}, std::move(action));
}

time_point fake_group::local_time(const host& each) const
{
    const auto global = this->clock.time_since_epoch().count();
    return time_point{each.clock_offset + duration{global / thousand * each.clock_rate}};
}

void fake_group::tick(std::size_t index)
{
    this->after(tick_interval, [this, index] { this->tick(index); });
    auto& each = this->hosts.at(index);
    if (each.process && !each.frozen) {
        this->resume_if_due(index);
        this->step(index, [&] { each.process->tick(this->local_time(each)); });
    }
}

void fake_group::resume_if_due(std::size_t index)
{
    auto& each = this->hosts.at(index);
    if (!each.process->failure() || this->clock < each.resume_due) {
        return;
    }
    each.resume_due = this->clock + resume_interval;
    if (each.process->resume(this->local_time(each))) {
        // As after a restart, the state machine begins with what the disk holds.
        each.compared = 0;
        each.applied = {};
        this->check(index);
    }
    else if (each.process->failure()->kind != storage::storage_error_kind::io) {
        this->violation(each.name + " can't resume: " + to_string(*each.process->failure()));
    }
}

template <class Step>
void fake_group::step(std::size_t index, Step action)
{
    action();
    this->collect(index);
}

void fake_group::collect(std::size_t index)
{
    auto& each = this->hosts.at(index);
    this->check(index);
    for (const auto& sent : each.process->take_messages()) {
        this->send(index, sent);
    }
    for (const auto& result : each.process->take_results()) {
        auto handler = this->waiting.extract(result.answer.token);
        if (!handler.empty()) {
            // Answers arrive as events of their own, so that a handler may ask again.
            this->after({}, [call = std::move(handler.mapped()), result] { call(result); });
        }
    }
    if (each.process->failure() && !this->resumes_after_failure) {
        this->kill(index);
    }
}

void fake_group::send(std::size_t from, const envelope& sent)
{
    const auto to = this->index_of(sent.to.host);
    ++this->messages_sent;
    this->bytes_sent += encode(sent).size();
    if (!to || this->cuts.contains({from, *to}) || this->chance(this->conduct.lost)) {
        return;
    }
    const int copies = this->chance(this->conduct.doubled) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        auto delay = this->any_delay(from, *to) + this->sync_delay;
        if (this->chance(this->conduct.late)) {
            delay +=
                duration{this->up_to(static_cast<std::uint64_t>(this->conduct.late_by.count()))};
        }
        this->after(delay, [this, index = *to, sent] { this->deliver(index, sent); });
    }
}

duration fake_group::any_delay(std::size_t from, std::size_t to)
{
    if (!this->regions.empty()) {
        const bool near = this->regions.at(from) == this->regions.at(to);
        return near ? this->conduct.least_delay : this->conduct.most_delay;
    }
    const auto spread = this->conduct.most_delay - this->conduct.least_delay;
    return this->conduct.least_delay +
           duration{this->up_to(static_cast<std::uint64_t>(spread.count()))};
}

void fake_group::deliver(std::size_t index, const envelope& sent)
{
    auto& each = this->hosts.at(index);
    if (each.frozen) {
        each.inbox.push_back(sent);
    }
    else if (each.process) {
        this->step(index, [&] { each.process->receive(this->local_time(each), sent); });
    }
}

request_token fake_group::remember(result_handler handler)
{
    const request_token token{this->next_token++};
    this->waiting.emplace(token, std::move(handler));
    return token;
}

bool fake_group::submit(std::size_t host, const std::string& id, std::size_t expected,
                        result_handler handler)
{
    auto& each = this->hosts.at(host);
    if (!each.process || each.frozen) {
        return false;
    }
    const auto token = this->remember(std::move(handler));
    this->step(host, [&] {
        each.process->propose(this->local_time(each), token, ledger_command(id, expected));
    });
    return true;
}

bool fake_group::read(std::size_t host, result_handler handler)
{
    auto& each = this->hosts.at(host);
    if (!each.process || each.frozen) {
        return false;
    }
    const auto token = this->remember(std::move(handler));
    this->step(host, [&] { each.process->read(this->local_time(each), token); });
    return true;
}

bool fake_group::change(std::size_t host, std::size_t subject, bool add, result_handler handler)
{
    auto& each = this->hosts.at(host);
    if (!each.process || each.frozen) {
        return false;
    }
    const auto token = this->remember(std::move(handler));
    const auto& name = this->hosts.at(subject).name;
    this->step(host, [&] {
        if (add) {
            each.process->add_member(this->local_time(each), token, name);
        }
        else {
            each.process->remove_member(this->local_time(each), token, name);
        }
    });
    return true;
}

void fake_group::kill(std::size_t host)
{
    auto& each = this->hosts.at(host);
    each.process.reset();
    each.frozen = false;
    each.inbox.clear();
    each.medium->fails_after.reset();
}

void fake_group::power_off(std::size_t host)
{
    this->kill(host);
    this->hosts.at(host).medium->crash(this->generator);
}

void fake_group::restart(std::size_t host)
{
    auto& each = this->hosts.at(host);
    if (each.process) {
        return;
    }
    each.clock_offset = std::chrono::hours{1 + each.starts};
    member_settings settings;
    settings.host = each.name;
    settings.founders = each.life == 1 ? this->founders : configuration{};
    settings.fresh_life = incarnation{each.life};
    settings.log_bytes = this->log_bytes;
    settings.seed = this->up_to(1'000'000);
    settings.replica = this->options;
    const auto seeds = std::min(this->seed_count.value_or(this->hosts.size()), this->hosts.size());
    for (std::size_t i = 0; i < seeds; ++i) {
        settings.replica.seeds.push_back(this->hosts.at(i).name);
    }
    settings.replica.retained_entries = 20;
    ++each.starts;
    each.compared = 0;
    each.applied = {};
    auto opened = test_member::open(storage::testing::fake_disk{each.medium}, settings, ledger{},
                                    this->local_time(each));
    if (!opened && opened.error().kind == storage::storage_error_kind::io) {
        return;
    }
    if (!opened) {
        this->violation(each.name + " can't start: " + to_string(opened.error()));
        return;
    }
    each.process.emplace(std::move(*opened));
    this->check(host);
}

void fake_group::thaw(std::size_t host)
{
    auto& each = this->hosts.at(host);
    if (!each.frozen) {
        return;
    }
    each.frozen = false;
    for (const auto& sent : std::exchange(each.inbox, {})) {
        this->deliver(host, sent);
    }
}

void fake_group::lose_disk(std::size_t host)
{
    auto& each = this->hosts.at(host);
    this->kill(host);
    each.medium->lose();
    ++each.life;
}

bool fake_group::lives_without(const configuration& members, std::size_t host) const
{
    const auto live =
        std::count_if(members.voters.begin(), members.voters.end(), [&](const member_id& voter) {
            const auto at = this->index_of(voter.host);
            return at != host && voter.life.value() == this->hosts.at(*at).life;
        });
    return static_cast<std::size_t>(live) > members.voters.size() / 2;
}

bool fake_group::can_lose_disk(std::size_t host) const
{
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        // The log that a stopped member holds in memory isn't the one on its disk.
        if (!this->running(i) || this->at(i).failure()) {
            return false;
        }
        const auto members = this->status(i).members;
        if (!members.voters.empty() && !this->lives_without(members, host)) {
            return false;
        }
    }
    return true;
}

bool fake_group::can_remove(std::size_t host, configuration members) const
{
    const auto& name = this->hosts.at(host).name;
    std::erase_if(members.voters, [&](const auto& voter) { return voter.host == name; });
    return this->lives_without(members, host);
}

void fake_group::fail_disk_after(std::size_t host, std::size_t writes)
{
    this->hosts.at(host).medium->fails_after = writes;
}

void fake_group::repair_disk(std::size_t host)
{
    this->hosts.at(host).medium->fails_after.reset();
}

void fake_group::cut(std::size_t from, std::size_t to, bool on)
{
    if (on) {
        this->cuts.emplace(from, to);
    }
    else {
        this->cuts.erase({from, to});
    }
}

void fake_group::heal()
{
    this->conduct = {};
    this->cuts.clear();
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->thaw(i);
        this->hosts.at(i).medium->fails_after.reset();
        this->restart(i);
    }
}

replica_status fake_group::status(std::size_t host) const
{
    const auto& each = this->hosts.at(host);
    return each.process->status(this->local_time(each));
}

std::optional<std::size_t> fake_group::leader() const
{
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->running(i) && !this->hosts.at(i).frozen && this->status(i).holds_lease) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> fake_group::index_of(const std::string& name) const
{
    const auto found_host = std::find_if(this->hosts.begin(), this->hosts.end(),
                                         [&](const auto& each) { return each.name == name; });
    if (found_host == this->hosts.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found_host - this->hosts.begin());
}

void fake_group::check(std::size_t index)
{
    auto& each = this->hosts.at(index);
    const auto now_is = this->status(index);
    this->check_history(each);
    this->check_leader(each, now_is);
    const auto applied_now = each.process->applied_index();
    if (applied_now < each.applied) {
        this->violation(each.name + ": the applied index fell");
    }
    each.applied = applied_now;
    if (now_is.caught_up) {
        if (applied_now < each.shown) {
            this->violation(each.name + ": the shown state fell");
        }
        each.shown = applied_now;
    }
}

// Every member's sequence is a prefix of the one history, and no edit is in it twice.
void fake_group::check_history(host& each)
{
    const auto& sequence_there = each.process->state().accepted;
    for (auto i = each.compared; i < sequence_there.size(); ++i) {
        const auto& id = sequence_there.at(i);
        if (i < this->applied.size()) {
            if (this->applied.at(i) != id) {
                this->violation(each.name + ": edit " + std::to_string(i + 1) + " is " + id +
                                " and was " + this->applied.at(i));
            }
            continue;
        }
        this->applied.push_back(id);
        if (!this->applied_ids.insert(id).second) {
            this->violation(each.name + ": " + id + " took effect twice");
        }
    }
    each.compared = sequence_there.size();
}

void fake_group::check_leader(const host& each, const replica_status& now_is)
{
    if (now_is.role != replica_role::leader) {
        return;
    }
    const auto [row, added] = this->leaders.emplace(now_is.term, now_is.self);
    if (!added && row->second != now_is.self) {
        this->violation(each.name + ": second leader of term " +
                        std::to_string(now_is.term.value()));
    }
}

} // namespace bth::consensus::testing
