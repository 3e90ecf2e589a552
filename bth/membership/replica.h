// One host's copy of the configuration. It takes edits in order or assembles a snapshot, checks the
// digest of each result, has it stored where there is a disk, and only then puts it in force. Its
// revision only rises.
//
//   replica copy{std::move(stored), true};
//   if (copy.take(bytes) == take_result::applied) { forward(bytes); }
//   if (auto todo = copy.next_persist()) { store(*todo); copy.persisted(todo->upto); }
//   if (copy.advance()) { use(copy.table()); }
#pragma once

#include "bth/config/delta.h"
#include "bth/membership/history.h"
#include "bth/membership/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bth::membership {

enum class take_result : std::uint8_t {
    applied,
    old,     // At or below the present revision.
    gap,     // Edits before it are missing.
    damaged, // Not a delta, or its result has another digest.
};

// What has to reach the disk before revision `upto` is in force.
struct persist_order {
    revision upto;
    // Set if the whole table is to replace what is stored; otherwise the edits are added to it.
    bool whole{};
    std::vector<shared_bytes> edits;
};

// What a host refused, for metrics.
struct replica_counters {
    std::uint64_t applied{};
    std::uint64_t old{};
    std::uint64_t gaps{};
    std::uint64_t damaged{};
    std::uint64_t snapshots{};
};

class replica {
public:
    // `stored` is what the disk held, if there is one; `durable` tells whether there is one.
    replica(std::optional<config::text_table> stored, bool durable);

    // Takes an encoded edit.
    take_result take(const shared_bytes& bytes);

    // Takes the answer to the pull that next_pull() made. The edits that were applied; none if a
    // snapshot was taken.
    std::vector<shared_bytes> take(const pull_answer& answer);
    // What to ask for next: edits, or the next piece of a snapshot that is being assembled.
    pull next_pull() const;
    // Asks for a snapshot next, even if edits could be had.
    void want_snapshot() { this->snapshot_wanted = true; }
    bool assembling() const { return this->assembly.has_value(); }

    pull_answer answer(const pull& request) const
    {
        return answer_pull(request, this->newest, this->edits);
    }

    // What to store next, nothing while an earlier order isn't finished.
    std::optional<persist_order> next_persist();
    void persisted(revision upto);
    // The order failed; the next one stores the whole table. When to ask for it is up to the
    // caller.
    void persist_failed();

    // Puts the newest table in force if it is stored. True if the revision in force rose.
    bool advance();

    // The newest table; it is in force once in_force() tells its revision.
    const config::text_table& table() const { return this->newest; }
    revision newest_revision() const { return this->newest.at(); }
    const config_mark& in_force() const { return this->force_mark; }
    const replica_counters& counters() const { return this->counts; }
    std::size_t memory_bytes() const;

private:
    // A snapshot under way: pieces of revisions from `lowest` to `highest`, then the edits between.
    struct snapshot_assembly {
        config::text_table table;
        std::optional<config::snapshot_cursor> next;
        revision lowest;
        config_mark highest;
    };

    void stored_edit(const shared_bytes& bytes);
    void take_part(const pull_answer& answer);
    void redo(const std::vector<shared_bytes>& deltas);
    void finish_assembly();

    config::text_table newest;
    history edits;
    config_mark force_mark;
    std::optional<snapshot_assembly> assembly;
    bool snapshot_wanted{};
    bool durable;
    bool persisting{};
    bool store_whole{};
    revision stored_upto;
    std::vector<shared_bytes> to_store;
    std::size_t journal_bytes{};
    replica_counters counts;
};

} // namespace bth::membership
