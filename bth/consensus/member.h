// One member of the group as a whole: a replica, its durable state on a disk, and the state machine
// that it keeps. It carries out what the replica asks for, in the order that is safe.
//
//   auto opened = member<posix_disk, machine>::open(disk, settings, machine{}, now);
//   opened->tick(now);
//   opened->receive(now, envelope);
//   for (auto& each : opened->take_messages()) { ... }
//   for (auto& each : opened->take_results()) { ... }
//
// Once a write fails the member stops: it sends nothing more, and failure() tells why. resume()
// lets it take part again.
#pragma once

#include "bth/consensus/codec.h"
#include "bth/consensus/replica.h"
#include "bth/storage/journal.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bth::consensus {

// A deterministic state machine: the same commands give the same answers on every member.
template <class Machine>
concept state_machine = requires(Machine& machine, const Machine& known, const std::string& bytes)
{
    // Carries out a command.
    {
        machine.apply(bytes)
        } -> std::same_as<typename Machine::answer>;
    {
        known.snapshot()
        } -> std::same_as<std::string>;
    // False if the bytes aren't a snapshot.
    {
        machine.restore(bytes)
        } -> std::same_as<bool>;
};

struct member_settings {
    std::string host;
    // The identity of a blank folder: a member of this group, which has never run before, or, if
    // the group is empty, a newcomer of this incarnation.
    configuration founders;
    incarnation fresh_life;
    replica_options replica;
    // A snapshot is taken when the log on disk has grown by this many bytes, or by as much as the
    // last snapshot if that is more.
    std::uint64_t log_bytes{std::uint64_t{1} << 20U};
    std::uint64_t seed{};
};

// A request that a replica took is answered by the state machine or by the replica.
template <class Answer>
struct request_result {
    request_answer answer;
    // The state machine's answer, for a command that is committed. A change of members gets the
    // answer of a machine that did nothing.
    std::optional<Answer> applied;
};

template <storage::disk Disk, state_machine Machine>
class member {
public:
    using result = request_result<typename Machine::answer>;

    // Restores what the disk holds. Errors: damage, another host's folder, or an I/O error.
    static tl::expected<member, storage::storage_error>
    open(Disk disk, const member_settings& settings, Machine machine, time_point now);

    // Lets a stopped member take part again from what the disk holds, as a restarted process would.
    // The requests that it had taken get no result. The state machine starts from the last snapshot
    // and serves again once status().caught_up says so. Errors, after which the member stays
    // stopped: the disk takes no writes yet, or it doesn't hold what it should.
    storage::disk_result resume(time_point now);

    void tick(time_point now)
    {
        this->run(now, [&] { this->core.tick(now); });
    }
    void receive(time_point now, const envelope& sent)
    {
        this->run(now, [&] { this->core.receive(now, sent); });
    }
    void propose(time_point now, request_token token, std::string command)
    {
        this->run(now, [&] { this->core.propose(now, token, std::move(command)); });
    }
    void read(time_point now, request_token token)
    {
        this->run(now, [&] { this->core.read(now, token); });
    }
    void add_member(time_point now, request_token token, const std::string& host)
    {
        this->run(now, [&] { this->core.add_member(now, token, host); });
    }
    void remove_member(time_point now, request_token token, const std::string& host)
    {
        this->run(now, [&] { this->core.remove_member(now, token, host); });
    }
    void record_domains(time_point now, request_token token,
                        const std::map<std::string, std::string>& domains)
    {
        this->run(now, [&] { this->core.record_domains(now, token, domains); });
    }

    std::vector<envelope> take_messages() { return std::exchange(this->messages, {}); }
    std::vector<result> take_results() { return std::exchange(this->results, {}); }

    const Machine& state() const { return this->machine; }
    // The last entry that the state machine holds.
    log_index applied_index() const { return this->applied; }
    // A member that has stopped neither leads nor serves, and hears no leader.
    replica_status status(time_point now) const
    {
        auto now_is = this->core.status(now);
        if (this->failed) {
            now_is.role = replica_role::follower;
            now_is.leader.reset();
            now_is.holds_lease = false;
            now_is.caught_up = false;
        }
        return now_is;
    }
    const std::optional<storage::storage_error>& failure() const { return this->failed; }
    // The tail that a crash tore and that was cut off at the start, if any.
    const std::optional<storage::cut_tail>& cut_at_start() const { return this->cut; }

private:
    member(storage::journal<Disk> journal, Machine initial, Machine machine,
           const restored_state& restored, const member_settings& settings, time_point now)
        : journal{std::move(journal)}, settings{settings}, initial{std::move(initial)},
          machine{std::move(machine)}, core{restored, settings.replica, settings.seed, now}
    {}

    static tl::unexpected<storage::storage_error> refuse(storage::storage_error_kind kind,
                                                         std::string file, std::string message)
    {
        return tl::make_unexpected(
            storage::storage_error{kind, std::move(file), 0, std::move(message)});
    }
    static tl::expected<folder_identity, storage::storage_error>
    own_folder(storage::journal<Disk>& journal, const storage::journal_contents& contents,
               const member_settings& settings);
    static tl::expected<restored_state, storage::storage_error>
    restore(const folder_identity& identity, const storage::journal_contents& contents);

    template <class Step>
    void run(time_point now, Step step)
    {
        if (this->failed) {
            return;
        }
        step();
        this->carry_out(now);
    }
    void carry_out(time_point now);
    bool persist(const output& out);
    void apply(const output& out);
    void compact_if_grown(time_point now);

    storage::journal<Disk> journal;
    member_settings settings;
    // The state machine without a command.
    Machine initial;
    Machine machine;
    replica core;
    std::uint64_t next_compaction{};
    log_index applied;
    std::vector<envelope> messages;
    std::vector<result> results;
    std::optional<storage::storage_error> failed;
    std::optional<storage::cut_tail> cut;
};

template <storage::disk Disk, state_machine Machine>
tl::expected<folder_identity, storage::storage_error>
member<Disk, Machine>::own_folder(storage::journal<Disk>& journal,
                                  const storage::journal_contents& contents,
                                  const member_settings& settings)
{
    using storage::storage_error_kind;
    if (contents.identity) {
        auto known = decode_identity(*contents.identity);
        if (!known) {
            return refuse(storage_error_kind::damaged, "identity", "it can't be decoded");
        }
        if (known->self.host != settings.host) {
            return refuse(storage_error_kind::foreign, "identity",
                          "the data folder belongs to the host " + known->self.host);
        }
        return *known;
    }
    const bool founds = !settings.founders.voters.empty();
    const auto life = founds ? founding_incarnation : settings.fresh_life;
    const folder_identity fresh{{settings.host, life}, settings.founders};
    const auto created = journal.create(encode(fresh));
    if (!created) {
        return tl::make_unexpected(created.error());
    }
    return fresh;
}

template <storage::disk Disk, state_machine Machine>
tl::expected<restored_state, storage::storage_error>
member<Disk, Machine>::restore(const folder_identity& identity,
                               const storage::journal_contents& contents)
{
    using storage::storage_error_kind;
    restored_state restored{identity.self, identity.founders, {}, nullptr, {}};
    if (contents.snapshot) {
        auto taken = decode_snapshot(*contents.snapshot);
        if (!taken) {
            return refuse(storage_error_kind::damaged, "snapshot", "it can't be decoded");
        }
        restored.taken = std::make_shared<const snapshot>(std::move(*taken));
    }
    for (const auto& record : contents.records) {
        auto batch = decode_batch(record);
        if (!batch) {
            return refuse(storage_error_kind::damaged, "log", "a record can't be decoded");
        }
        restored.state = batch->state.value_or(restored.state);
        if (!batch->entries.empty()) {
            const auto first = batch->entries.front().index;
            std::erase_if(restored.entries, [&](const auto& each) { return each.index >= first; });
        }
        for (auto& entry : batch->entries) {
            restored.entries.push_back(std::move(entry));
        }
    }
    const auto base = restored.taken == nullptr ? log_index{} : restored.taken->index;
    if (!restored.entries.empty() && restored.entries.front().index > base + 1) {
        return refuse(storage_error_kind::damaged, "log", "it doesn't follow the snapshot");
    }
    return restored;
}

template <storage::disk Disk, state_machine Machine>
tl::expected<member<Disk, Machine>, storage::storage_error>
member<Disk, Machine>::open(Disk disk, const member_settings& settings, Machine machine,
                            time_point now)
{
    storage::journal<Disk> journal{std::move(disk)};
    const auto contents = journal.open();
    if (!contents) {
        return tl::make_unexpected(contents.error());
    }
    const auto identity = own_folder(journal, *contents, settings);
    if (!identity) {
        return tl::make_unexpected(identity.error());
    }
    const auto restored = restore(*identity, *contents);
    if (!restored) {
        return tl::make_unexpected(restored.error());
    }
    auto initial = machine;
    if (restored->taken != nullptr && !machine.restore(restored->taken->data)) {
        return refuse(storage::storage_error_kind::damaged, "snapshot",
                      "the state in it can't be read");
    }
    member made{std::move(journal), std::move(initial), std::move(machine),
                *restored,          settings,           now};
    made.applied = made.core.commit_index();
    made.cut = contents->cut;
    made.next_compaction = made.journal.log_size() + settings.log_bytes;
    return made;
}

template <storage::disk Disk, state_machine Machine>
storage::disk_result member<Disk, Machine>::resume(time_point now)
{
    using storage::storage_error_kind;
    if (!this->failed) {
        return {};
    }
    const auto stay_stopped = [this](storage::storage_error error) -> storage::disk_result {
        this->failed = error;
        return tl::make_unexpected(std::move(error));
    };
    if (this->failed->kind != storage_error_kind::io) {
        return tl::make_unexpected(*this->failed);
    }
    const auto contents = this->journal.reopen();
    if (!contents) {
        return stay_stopped(contents.error());
    }
    const auto identity = contents->identity ? decode_identity(*contents->identity) : std::nullopt;
    if (!identity || identity->self != this->core.status(now).self) {
        return stay_stopped({storage_error_kind::damaged, "identity", 0,
                             "it isn't the one that this member was started with"});
    }
    const auto restored = restore(*identity, *contents);
    if (!restored) {
        return stay_stopped(restored.error());
    }
    auto restored_machine = this->initial;
    if (restored->taken != nullptr && !restored_machine.restore(restored->taken->data)) {
        return stay_stopped(
            {storage_error_kind::damaged, "snapshot", 0, "the state in it can't be read"});
    }
    // A record that repeats what is known shows whether the disk takes writes.
    const auto written = this->journal.append(encode(durable_batch{restored->state, {}}));
    if (!written) {
        return stay_stopped(written.error());
    }
    this->machine = std::move(restored_machine);
    this->core = replica{*restored, this->settings.replica, this->settings.seed, now,
                         this->core.status(now).heard_leader};
    this->applied = this->core.commit_index();
    this->messages.clear();
    this->results.clear();
    this->next_compaction = this->journal.log_size() + this->settings.log_bytes;
    this->failed.reset();
    return {};
}

template <storage::disk Disk, state_machine Machine>
void member<Disk, Machine>::carry_out(time_point now)
{
    while (true) {
        auto out = this->core.take_output();
        if (!this->persist(out)) {
            return;
        }
        this->apply(out);
        for (auto& each : out.messages) {
            this->messages.push_back(std::move(each));
        }
        for (const auto& each : out.answers) {
            this->results.push_back({each, std::nullopt});
        }
        if (!out.must_persist()) {
            break;
        }
        this->core.persisted(now);
    }
    this->compact_if_grown(now);
}

// Makes the durable part of an output durable. False if that failed.
template <storage::disk Disk, state_machine Machine>
bool member<Disk, Machine>::persist(const output& out)
{
    if (!out.must_persist()) {
        return true;
    }
    storage::disk_result done;
    if (out.taken != nullptr) {
        const durable_batch kept{this->core.durable_state(),
                                 this->core.retained_after(out.taken->index)};
        done = this->journal.replace(encode(*out.taken), {encode(kept)});
    }
    else {
        done = this->journal.append(encode(durable_batch{out.state, out.appended}));
    }
    if (!done) {
        this->failed = done.error();
    }
    return done.has_value();
}

template <storage::disk Disk, state_machine Machine>
void member<Disk, Machine>::apply(const output& out)
{
    if (out.restore && !this->machine.restore(out.taken->data)) {
        this->failed = storage::storage_error{storage::storage_error_kind::damaged, "snapshot", 0,
                                              "the leader's state can't be read"};
        return;
    }
    if (out.restore) {
        this->applied = out.taken->index;
    }
    for (const auto& each : out.committed) {
        typename Machine::answer answer{};
        if (each.entry.kind == entry_kind::command) {
            answer = this->machine.apply(each.entry.data);
        }
        this->applied = each.entry.index;
        if (each.token) {
            this->results.push_back({{*each.token, {}, {}}, std::move(answer)});
        }
    }
}

template <storage::disk Disk, state_machine Machine>
void member<Disk, Machine>::compact_if_grown(time_point now)
{
    if (this->failed || this->journal.log_size() < this->next_compaction) {
        return;
    }
    auto state = this->machine.snapshot();
    const auto growth = std::max<std::uint64_t>(this->settings.log_bytes, state.size());
    this->core.compact(std::move(state));
    const auto out = this->core.take_output();
    if (this->persist(out) && out.must_persist()) {
        this->core.persisted(now);
    }
    this->next_compaction = this->journal.log_size() + growth;
}

} // namespace bth::consensus
