#include "bth/config/difference.h"

#include "bth/config/delta.h"
#include "bth/config/text_table.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bth::config {

namespace {

constexpr const char* block_section = "client_blocks";

text_table table_of(const std::string& text)
{
    auto table = text_table::from_text("text", text);
    return table ? std::move(*table) : text_table{};
}

// The value of the entry; empty if the table has none of that key.
std::string value_of(const text_table& table, const entry_key& key)
{
    const auto& entries = table.entries();
    const auto place =
        std::lower_bound(entries.begin(), entries.end(), key,
                         [](const entry& a, const entry_key& b) { return a.key < b; });
    return place != entries.end() && place->key == key ? place->value : std::string{};
}

// The failure domain of the block; empty if the table has no such block.
std::string domain_of(const text_table& table, const ipv4_block& block)
{
    const auto& blocks = table.blocks();
    const auto place =
        std::lower_bound(blocks.begin(), blocks.end(), block,
                         [](const block_row& a, const ipv4_block& b) { return a.block() < b; });
    return place != blocks.end() && place->block() == block ? table.domain_names().at(place->domain)
                                                            : std::string{};
}

row_change kind_of(const std::string& before, const std::string& after)
{
    if (before.empty()) {
        return row_change::added;
    }
    return after.empty() ? row_change::removed : row_change::changed;
}

// Collects rows up to a limit and counts the others.
class row_list {
public:
    explicit row_list(std::size_t most_rows) : most_rows{most_rows} {}

    void add(std::string section, std::string name, std::string before, std::string after)
    {
        if (this->out.rows.size() == this->most_rows) {
            ++this->out.omitted;
            return;
        }
        const row_change change = kind_of(before, after);
        this->out.rows.push_back(
            {change, std::move(section), std::move(name), std::move(before), std::move(after)});
    }

    text_difference take() { return std::move(this->out); }

private:
    std::size_t most_rows;
    text_difference out;
};

std::vector<entry_key> changed_keys(const delta& change)
{
    std::vector<entry_key> keys = change.removed;
    for (const entry& each : change.set) {
        keys.push_back(each.key);
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::vector<ipv4_block> changed_blocks(const delta& change)
{
    std::vector<ipv4_block> blocks = change.blocks_removed;
    for (const block_row& each : change.blocks_set) {
        blocks.push_back(each.block());
    }
    std::sort(blocks.begin(), blocks.end());
    return blocks;
}

} // namespace

std::string_view to_string(row_change change)
{
    constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names.at(static_cast<std::size_t>(change));
}

text_difference difference_of(const std::string& before, const std::string& after,
                              std::size_t most_rows)
{
    const text_table older = table_of(before);
    const text_table newer = table_of(after);
    const delta change = difference(older, newer);
    row_list rows{most_rows};
    for (const entry_key& key : changed_keys(change)) {
        rows.add(std::string{to_string(key.part)}, key.name, value_of(older, key),
                 value_of(newer, key));
    }
    for (const ipv4_block& block : changed_blocks(change)) {
        rows.add(block_section, to_string(block), domain_of(older, block), domain_of(newer, block));
    }
    return rows.take();
}

} // namespace bth::config
