// The entries that a replica holds in memory, and the members that they name.
//
//   replicated_log log{first_members};
//   log.append(entry);
//   log.matches(entry.index, entry.term);   // true
#pragma once

#include "bth/consensus/types.h"

#include <cstddef>
#include <vector>

namespace bth::consensus {

// A run of entries without gaps behind a base, which stands for all that was dropped.
class replicated_log {
public:
    explicit replicated_log(configuration base_members)
        : base_members{std::move(base_members)}, current{this->base_members}
    {}

    log_index base() const { return this->base_index; }
    log_index last() const { return this->base_index + this->entries.size(); }
    term_number last_term() const { return this->term_at(this->last()); }

    // Whether the term at `index` is known: the base or an entry.
    bool holds(log_index index) const { return index >= this->base_index && index <= this->last(); }

    // `index` is held.
    term_number term_at(log_index index) const;
    bool matches(log_index index, term_number term) const
    {
        return this->holds(index) && this->term_at(index) == term;
    }

    // `index` is above the base and not above last().
    const log_entry& at(log_index index) const;

    // The entries after `from`, at most `count` of them and about `bytes` of data; `from` is held.
    std::vector<log_entry> after(log_index from, std::size_t count, std::size_t bytes) const;

    // Appends the entry, whose index is above the base, in place of what stood at its index and
    // after.
    void append(log_entry entry);

    // Drops entries up to `index`, which is held.
    void drop_through(log_index index);

    // Starts over behind a snapshot.
    void reset(const snapshot& taken);

    // The latest members in the log, and the index of the entry that named them.
    const configuration& members() const { return this->current; }
    log_index members_index() const { return this->current_index; }

    // The members as of the entry at `index`.
    configuration members_at(log_index index) const;

private:
    void refresh_members();

    log_index base_index;
    term_number base_term;
    configuration base_members;
    std::vector<log_entry> entries;
    configuration current;
    log_index current_index;
};

} // namespace bth::consensus
