#include "bth/config/text_table.h"

#include "bth/config/delta.h"
#include "bth/config/json_reader.h"
#include "bth/config/text.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <json/writer.h>
#include <xxhash.h>

namespace bth::config {

namespace {

constexpr std::array<std::string_view, section_count> section_names{
    "regions",        "failure_domains", "links",   "hosts",
    "caller_classes", "services",        "targets", "drains"};
constexpr std::string_view block_section = "client_blocks";

// A full list of rows grows by this part of its size.
constexpr std::size_t growth_divisor = 16;

std::string canonical(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string drain_name(const Json::Value& value)
{
    for (const char* const kind : {"target", "host", "failure_domain", "region"}) {
        if (value.isMember(kind)) {
            return std::string{kind} + ":" + value[kind].asString();
        }
    }
    return {};
}

std::string name_of(section part, const Json::Value& value)
{
    if (part == section::links) {
        return value["from"].asString() + ">" + value["to"].asString();
    }
    return part == section::drains ? drain_name(value) : value["name"].asString();
}

std::uint64_t hash_of(const entry& row)
{
    std::string bytes;
    bytes.push_back(static_cast<char>(row.key.part));
    bytes += row.key.name;
    bytes.push_back('\0');
    bytes += row.value;
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t hash_of(const block_row& row, const std::string& domain)
{
    constexpr int byte_bits = 8;
    std::string bytes;
    for (int shift = 0; shift < 4 * byte_bits; shift += byte_bits) {
        bytes.push_back(static_cast<char>((row.address.bits >> shift) & 0xffU));
    }
    bytes.push_back(static_cast<char>(row.length));
    bytes += domain;
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), section_count);
}

table_digest digest_of(std::uint64_t sum, revision at)
{
    return table_digest{XXH3_64bits_withSeed(&sum, sizeof sum, at.value())};
}

bool key_less(const entry& a, const entry& b)
{
    return a.key < b.key;
}

bool block_less(const block_row& a, const block_row& b)
{
    return a.block() < b.block();
}

// Keeps the last of equal rows of a list that is sorted stably.
template <class Row, class Less>
void keep_last(std::vector<Row>& rows, Less less)
{
    std::size_t kept = 0;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        if (index + 1 < rows.size() && !less(rows[index], rows[index + 1])) {
            continue;
        }
        if (kept != index) {
            rows[kept] = std::move(rows[index]);
        }
        ++kept;
    }
    rows.resize(kept);
}

// The change with one row a key, sorted: the last that sets it, else one that removes it.
delta unique_rows(delta change)
{
    std::stable_sort(change.set.begin(), change.set.end(), key_less);
    keep_last(change.set, key_less);
    std::stable_sort(change.blocks_set.begin(), change.blocks_set.end(), block_less);
    keep_last(change.blocks_set, block_less);
    const auto forget_duplicates = [](auto& keys, const auto& is_set) {
        std::sort(keys.begin(), keys.end());
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
        std::erase_if(keys, is_set);
    };
    forget_duplicates(change.removed, [&](const entry_key& key) {
        return std::binary_search(change.set.begin(), change.set.end(), entry{key, {}}, key_less);
    });
    forget_duplicates(change.blocks_removed, [&](const ipv4_block& block) {
        const block_row row{block.address, 0, block.length};
        return std::binary_search(change.blocks_set.begin(), change.blocks_set.end(), row,
                                  block_less);
    });
    return change;
}

// Sets the row if there is one of its key, else puts it in its place.
template <class Row, class Less>
void set_row(std::vector<Row>& rows, Row row, Less less)
{
    const auto place = std::lower_bound(rows.begin(), rows.end(), row, less);
    if (place != rows.end() && !less(row, *place)) {
        *place = std::move(row);
        return;
    }
    const auto index = place - rows.begin();
    if (rows.size() == rows.capacity()) {
        // Doubling would leave up to half of a large table unused.
        rows.reserve(rows.size() + rows.size() / growth_divisor + 1);
    }
    rows.insert(rows.begin() + index, std::move(row));
}

// Merges many rows at the cost of one pass over the table.
template <class Row, class Less>
void set_rows(std::vector<Row>& rows, std::vector<Row> changed, Less less)
{
    constexpr std::size_t most_single = 64;
    const bool behind_all =
        !changed.empty() && (rows.empty() || less(rows.back(), changed.front()));
    if (changed.size() <= most_single && !behind_all) {
        for (Row& row : changed) {
            set_row(rows, std::move(row), less);
        }
        return;
    }
    const auto middle = static_cast<std::ptrdiff_t>(rows.size());
    std::move(changed.begin(), changed.end(), std::back_inserter(rows));
    std::stable_sort(rows.begin() + middle, rows.end(), less);
    if (behind_all) {
        return;
    }
    std::inplace_merge(rows.begin(), rows.begin() + middle, rows.end(), less);
    keep_last(rows, less);
}

} // namespace

std::string_view to_string(section part)
{
    return section_names.at(static_cast<std::size_t>(part));
}

tl::expected<text_table, findings> text_table::from_text(std::string file, std::string text)
{
    findings found;
    const auto document = json_document::parse(std::move(file), std::move(text), found);
    if (!document) {
        return tl::unexpected{std::move(found)};
    }
    delta all;
    const Json::Value& root = document->root();
    for (std::size_t index = 0; index < section_count; ++index) {
        const auto part = static_cast<section>(index);
        for (const Json::Value& value : root[std::string{to_string(part)}]) {
            all.set.push_back({{part, name_of(part, value)}, canonical(value)});
        }
    }
    text_table table;
    for (const Json::Value& value : root[std::string{block_section}]) {
        const auto block = parse_ipv4_block(value["block"].asString()).value_or(ipv4_block{});
        const std::uint16_t domain = table.domain_index(value["failure_domain"].asString());
        all.blocks_set.push_back({block.address, domain, block.length});
    }
    all.domains = table.domains;
    table.merge(all);
    table.shrink_to_fit();
    return table;
}

table_digest text_table::digest() const
{
    return digest_of(this->sum, this->at_revision);
}

const entry* text_table::find(const entry_key& key) const
{
    const auto place =
        std::lower_bound(this->rows.begin(), this->rows.end(), key,
                         [](const entry& a, const entry_key& b) { return a.key < b; });
    return place != this->rows.end() && place->key == key ? &*place : nullptr;
}

const block_row* text_table::find(const ipv4_block& block) const
{
    const auto place =
        std::lower_bound(this->block_rows.begin(), this->block_rows.end(), block,
                         [](const block_row& a, const ipv4_block& b) { return a.block() < b; });
    return place != this->block_rows.end() && place->block() == block ? &*place : nullptr;
}

std::uint16_t text_table::domain_index(const std::string& name)
{
    const auto place = std::find(this->domains.begin(), this->domains.end(), name);
    const auto index = static_cast<std::uint16_t>(place - this->domains.begin());
    if (place == this->domains.end()) {
        this->domains.push_back(name);
    }
    return index;
}

std::uint64_t text_table::sum_after(const delta& change) const
{
    std::uint64_t after = this->sum;
    const auto take_out = [&](const entry_key& key) {
        const entry* old = this->find(key);
        after -= old == nullptr ? 0 : hash_of(*old);
    };
    const auto take_out_block = [&](const ipv4_block& block) {
        const block_row* old = this->find(block);
        after -= old == nullptr ? 0 : hash_of(*old, this->domains.at(old->domain));
    };
    for (const entry_key& key : change.removed) {
        take_out(key);
    }
    for (const entry& row : change.set) {
        take_out(row.key);
        after += hash_of(row);
    }
    for (const ipv4_block& block : change.blocks_removed) {
        take_out_block(block);
    }
    for (const block_row& row : change.blocks_set) {
        take_out_block(row.block());
        after += hash_of(row, change.domains.at(row.domain));
    }
    return after;
}

tl::expected<void, apply_error> text_table::apply(const delta& change)
{
    if (change.from != this->at_revision || change.to <= change.from) {
        return tl::unexpected{apply_error::not_next};
    }
    const delta unique = unique_rows(change);
    if (digest_of(this->sum_after(unique), change.to) != change.digest) {
        return tl::unexpected{apply_error::wrong_digest};
    }
    this->merge_unique(unique);
    this->at_revision = change.to;
    return {};
}

void text_table::merge(const delta& change)
{
    this->merge_unique(unique_rows(change));
}

void text_table::shrink_to_fit()
{
    this->rows.shrink_to_fit();
    this->block_rows.shrink_to_fit();
}

void text_table::merge_unique(const delta& change)
{
    this->sum = this->sum_after(change);
    this->merge_entries(change);
    this->merge_blocks(change);
}

void text_table::merge_entries(const delta& change)
{
    for (const entry_key& key : change.removed) {
        if (const entry* old = this->find(key); old != nullptr) {
            this->rows.erase(this->rows.begin() + (old - this->rows.data()));
        }
    }
    set_rows(this->rows, change.set, key_less);
}

void text_table::merge_blocks(const delta& change)
{
    std::vector<ipv4_block> removed = change.blocks_removed;
    std::sort(removed.begin(), removed.end());
    if (!removed.empty()) {
        std::erase_if(this->block_rows, [&](const block_row& row) {
            return std::binary_search(removed.begin(), removed.end(), row.block());
        });
    }
    std::vector<std::uint16_t> own_index;
    for (const std::string& name : change.domains) {
        own_index.push_back(this->domain_index(name));
    }
    std::vector<block_row> changed = change.blocks_set;
    for (block_row& row : changed) {
        row.domain = own_index.at(row.domain);
    }
    set_rows(this->block_rows, std::move(changed), block_less);
}

namespace {

std::string block_json(const block_row& row, const std::string& domain)
{
    return R"({"block":")" + to_string(row.block()) + R"(","failure_domain":)" +
           Json::valueToQuotedString(domain.c_str()) + "}";
}

std::string entries_json(const std::vector<entry>& rows)
{
    std::string out = "{";
    for (std::size_t index = 0; index < section_count; ++index) {
        const auto part = static_cast<section>(index);
        out += (index == 0 ? "\n\"" : ",\n\"") + std::string{to_string(part)} + "\":[";
        bool first = true;
        for (const entry& row : rows) {
            if (row.key.part == part) {
                out += (first ? "\n" : ",\n") + row.value;
                first = false;
            }
        }
        out += "]";
    }
    return out;
}

} // namespace

std::string text_table::to_text() const
{
    std::string out = entries_json(this->rows) + ",\n\"" + std::string{block_section} + "\":[";
    bool first = true;
    for (const block_row& row : this->block_rows) {
        out += (first ? "\n" : ",\n") + block_json(row, this->domains.at(row.domain));
        first = false;
    }
    return out + "]\n}\n";
}

std::size_t text_table::memory_bytes() const
{
    std::size_t bytes = this->block_rows.capacity() * sizeof(block_row);
    bytes += this->rows.capacity() * sizeof(entry);
    for (const entry& row : this->rows) {
        bytes += row.key.name.capacity() + row.value.capacity();
    }
    return bytes;
}

tl::expected<model, findings> read_table(const text_table& table)
{
    auto read = read_text("configuration", entries_json(table.entries()) + "\n}\n");
    if (!read) {
        return read;
    }
    findings found;
    std::vector<domain_id> ids;
    for (const std::string& name : table.domain_names()) {
        ids.push_back(
            find_domain(*read, name).value_or(domain_id::from_index(read->domains.size())));
    }
    read->client_blocks.reserve(table.blocks().size());
    for (const block_row& row : table.blocks()) {
        const domain_id domain = ids.at(row.domain);
        if (domain.index() >= read->domains.size()) {
            found.add({"configuration", 0, 0},
                      "client block " + to_string(row.block()) + " names no failure domain");
            return tl::unexpected{std::move(found)};
        }
        read->client_blocks.push_back({row.block(), domain});
    }
    return read;
}

} // namespace bth::config
