#include "bth/config/delta.h"

#include <algorithm>
#include <utility>

namespace bth::config {

namespace {

// The rough cost of one entry and one block in an encoded delta.
constexpr std::size_t entry_overhead_bytes = 24;
constexpr std::size_t block_bytes = 8;

// Calls `removed` for rows that only the older list has, and `set` for those that are new or differ
// in the newer. Both lists are sorted.
template <class Row, class Key, class Same, class Removed, class Set>
void compare(const std::vector<Row>& older, const std::vector<Row>& newer, Key key, Same same,
             Removed removed, Set set)
{
    auto old = older.begin();
    auto now = newer.begin();
    while (old != older.end() || now != newer.end()) {
        if (now == newer.end() || (old != older.end() && key(*old) < key(*now))) {
            removed(*old);
            ++old;
        }
        else if (old == older.end() || key(*now) < key(*old)) {
            set(*now);
            ++now;
        }
        else {
            if (!same(*old, *now)) {
                set(*now);
            }
            ++old;
            ++now;
        }
    }
}

// The index of the name in the list of the delta, added if it is new there.
std::uint16_t index_in(std::vector<std::string>& domains, const std::string& name)
{
    const auto place = std::find(domains.begin(), domains.end(), name);
    const auto index = static_cast<std::uint16_t>(place - domains.begin());
    if (place == domains.end()) {
        domains.push_back(name);
    }
    return index;
}

void add_block(delta& to, const block_row& row, const std::string& domain)
{
    to.blocks_set.push_back({row.address, index_in(to.domains, domain), row.length});
}

} // namespace

delta difference(const text_table& older, const text_table& newer)
{
    delta change{older.at(), newer.at(), newer.digest(), {}, {}, {}, {}, {}};
    compare(
        older.entries(), newer.entries(), [](const entry& row) { return row.key; },
        [](const entry& a, const entry& b) { return a.value == b.value; },
        [&](const entry& row) { change.removed.push_back(row.key); },
        [&](const entry& row) { change.set.push_back(row); });
    const auto domain_of = [](const text_table& table, const block_row& row) -> const std::string& {
        return table.domain_names().at(row.domain);
    };
    compare(
        older.blocks(), newer.blocks(), [](const block_row& row) { return row.block(); },
        [&](const block_row& a, const block_row& b) {
            return domain_of(older, a) == domain_of(newer, b);
        },
        [&](const block_row& row) { change.blocks_removed.push_back(row.block()); },
        [&](const block_row& row) { add_block(change, row, domain_of(newer, row)); });
    return change;
}

snapshot_piece piece_after(const text_table& table, const snapshot_cursor& cursor,
                           std::size_t most_bytes)
{
    snapshot_piece piece;
    piece.content.to = table.at();
    piece.content.digest = table.digest();
    snapshot_cursor next = cursor;
    std::size_t bytes = 0;
    if (!cursor.in_blocks) {
        auto row = std::upper_bound(table.entries().begin(), table.entries().end(), cursor.entry,
                                    [](const entry_key& a, const entry& b) { return a < b.key; });
        if (!cursor.started) {
            row = table.entries().begin();
        }
        for (; row != table.entries().end() && bytes < most_bytes; ++row) {
            piece.content.set.push_back(*row);
            bytes += row->key.name.size() + row->value.size() + entry_overhead_bytes;
            next.entry = row->key;
        }
        next.started = row != table.entries().end();
        next.in_blocks = row == table.entries().end();
    }
    if (next.in_blocks) {
        auto row =
            std::upper_bound(table.blocks().begin(), table.blocks().end(), next.block,
                             [](const ipv4_block& a, const block_row& b) { return a < b.block(); });
        if (!next.started) {
            row = table.blocks().begin();
        }
        for (; row != table.blocks().end() && bytes < most_bytes; ++row) {
            add_block(piece.content, *row, table.domain_names().at(row->domain));
            bytes += block_bytes;
            next.block = row->block();
            next.started = true;
        }
        if (row == table.blocks().end()) {
            return piece;
        }
    }
    piece.next = next;
    return piece;
}

} // namespace bth::config
