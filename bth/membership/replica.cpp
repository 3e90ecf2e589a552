#include "bth/membership/replica.h"

#include <utility>

namespace bth::membership {

namespace {

// Once this much was stored as edits, the whole table is stored again in their place.
constexpr std::size_t most_journal_bytes = std::size_t{1024} * 1024;

} // namespace

replica::replica(std::optional<config::text_table> stored, bool durable) : durable{durable}
{
    if (stored) {
        this->newest = std::move(*stored);
        this->newest.shrink_to_fit();
        this->stored_upto = this->newest.at();
    }
}

take_result replica::take(const shared_bytes& bytes)
{
    const auto change = config::decode_delta(*bytes);
    if (!change) {
        ++this->counts.damaged;
        return take_result::damaged;
    }
    if (change->to <= this->newest.at()) {
        ++this->counts.old;
        return take_result::old;
    }
    const auto done = this->newest.apply(*change);
    if (!done) {
        const bool gap = done.error() == config::apply_error::not_next;
        ++(gap ? this->counts.gaps : this->counts.damaged);
        return gap ? take_result::gap : take_result::damaged;
    }
    ++this->counts.applied;
    this->edits.add(change->from, change->to, bytes);
    this->to_store.push_back(bytes);
    return take_result::applied;
}

std::vector<shared_bytes> replica::take(const pull_answer& answer)
{
    std::vector<shared_bytes> applied;
    if (answer.part) {
        this->take_part(answer);
        this->finish_assembly();
        return applied;
    }
    if (this->assembly) {
        this->redo(answer.deltas);
        this->finish_assembly();
        return applied;
    }
    for (const shared_bytes& bytes : answer.deltas) {
        const take_result result = this->take(bytes);
        if (result == take_result::applied) {
            applied.push_back(bytes);
        }
        else if (result != take_result::old) {
            break;
        }
    }
    return applied;
}

void replica::take_part(const pull_answer& answer)
{
    const auto piece = config::decode_delta(*answer.part->content);
    if (!piece || piece->to <= this->newest.at()) {
        ++this->counts.damaged;
        this->assembly.reset();
        return;
    }
    const bool starts_again = this->assembly && !this->assembly->next;
    if (!this->assembly || starts_again) {
        this->snapshot_wanted = false;
        this->assembly.emplace();
        this->assembly->next = config::snapshot_cursor{};
        this->assembly->lowest = piece->to;
    }
    snapshot_assembly& under_way = *this->assembly;
    if (piece->to < under_way.lowest) {
        return;
    }
    under_way.table.merge(*piece);
    under_way.next = answer.part->next;
    if (piece->to >= under_way.highest.at) {
        under_way.highest = {piece->to, piece->digest};
    }
}

void replica::redo(const std::vector<shared_bytes>& deltas)
{
    snapshot_assembly& under_way = *this->assembly;
    for (const shared_bytes& bytes : deltas) {
        const auto change = config::decode_delta(*bytes);
        if (!change || change->from != under_way.lowest) {
            return;
        }
        under_way.table.merge(*change);
        under_way.lowest = change->to;
        if (change->to > under_way.highest.at) {
            under_way.highest = {change->to, change->digest};
        }
    }
}

void replica::finish_assembly()
{
    if (!this->assembly || this->assembly->next ||
        this->assembly->lowest < this->assembly->highest.at) {
        return;
    }
    snapshot_assembly whole = std::move(*this->assembly);
    this->assembly.reset();
    whole.table.set_revision(whole.highest.at);
    if (whole.table.digest() != whole.highest.digest || whole.highest.at <= this->newest.at()) {
        ++this->counts.damaged;
        return;
    }
    whole.table.shrink_to_fit();
    this->newest = std::move(whole.table);
    this->edits.clear();
    this->to_store.clear();
    this->store_whole = true;
    ++this->counts.snapshots;
}

pull replica::next_pull() const
{
    if (!this->assembly) {
        const auto cursor = this->snapshot_wanted ? std::optional{config::snapshot_cursor{}}
                                                  : std::optional<config::snapshot_cursor>{};
        return {this->newest.at(), cursor};
    }
    return {this->assembly->lowest, this->assembly->next};
}

std::optional<persist_order> replica::next_persist()
{
    if (!this->durable) {
        this->to_store.clear();
        this->stored_upto = this->newest.at();
        return std::nullopt;
    }
    if (this->persisting || this->stored_upto >= this->newest.at()) {
        return std::nullopt;
    }
    for (const shared_bytes& bytes : this->to_store) {
        this->journal_bytes += bytes->size();
    }
    persist_order order{this->newest.at(),
                        this->store_whole || this->journal_bytes > most_journal_bytes,
                        std::exchange(this->to_store, {})};
    if (order.whole) {
        order.edits.clear();
        this->journal_bytes = 0;
    }
    this->store_whole = false;
    this->persisting = true;
    return order;
}

void replica::persisted(revision upto)
{
    this->persisting = false;
    this->stored_upto = upto;
}

void replica::persist_failed()
{
    this->persisting = false;
    this->store_whole = true;
    this->to_store.clear();
}

bool replica::advance()
{
    if (this->stored_upto != this->newest.at() || this->newest.at() <= this->force_mark.at) {
        return false;
    }
    this->force_mark = {this->newest.at(), this->newest.digest()};
    return true;
}

std::size_t replica::memory_bytes() const
{
    const std::size_t under_way = this->assembly ? this->assembly->table.memory_bytes() : 0;
    return this->newest.memory_bytes() + this->edits.memory_bytes() + under_way;
}

} // namespace bth::membership
