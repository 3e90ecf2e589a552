// The operators' text as a table of entries, which is what hosts exchange and keep: one entry for
// each named thing, and one packed row for each client block, so that an edit is described by the
// entries that it touched. The table carries the revision that it stands for and a digest of its
// contents that is kept up to date at the cost of the change alone.
//
//   auto table = text_table::from_text("site.json", text);
//   auto model = read_table(*table);
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/finding.h"
#include "bth/base/ids.h"
#include "bth/config/model.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace bth::config {

// The parts of the text whose things become entries, in the order in which a text lists them.
enum class section : std::uint8_t {
    regions,
    failure_domains,
    links,
    hosts,
    caller_classes,
    services,
    targets,
    drains,
};
inline constexpr std::size_t section_count = 8;

// The key of the section in the text, such as "failure_domains".
std::string_view to_string(section part);

// Names one entry. A link is named "FROM>TO", a drain "KIND:NAME".
struct entry_key {
    section part{};
    std::string name;
    friend auto operator<=>(const entry_key&, const entry_key&) = default;
};

// One thing of the text; `value` is its JSON object in canonical form: keys sorted, no white space.
struct entry {
    entry_key key;
    std::string value;
    friend bool operator==(const entry&, const entry&) = default;
};

// A client block and the index of its failure domain's name in a list that stands beside it.
struct block_row {
    ipv4_address address;
    std::uint16_t domain{};
    std::uint8_t length{};

    ipv4_block block() const { return {this->address, this->length}; }
};
static_assert(sizeof(block_row) == 8);

// The XXH3 hash of a table's revision and the sum of the hashes of its entries and client blocks,
// independent of their order and of indexes.
using table_digest = strong_id<struct table_digest_tag, std::uint64_t>;

struct delta;

// Why a delta was not applied. The table is then unchanged.
enum class apply_error : std::uint8_t {
    not_next,     // The delta doesn't start at the table's revision.
    wrong_digest, // The result would not have the digest that the delta states.
};

class text_table {
public:
    // The table of a text that read_text accepts, at revision 0. Of two entries with one name the
    // later is used.
    static tl::expected<text_table, findings> from_text(std::string file, std::string text);

    revision at() const { return this->at_revision; }
    table_digest digest() const;
    const std::vector<entry>& entries() const { return this->rows; }
    const std::vector<std::string>& domain_names() const { return this->domains; }
    const std::vector<block_row>& blocks() const { return this->block_rows; }

    // States the revision of a table that was made from a text or by merge().
    void set_revision(revision value) { this->at_revision = value; }

    // Applies the next delta, or leaves the table as it was.
    tl::expected<void, apply_error> apply(const delta& change);

    // Takes over the change without looking at revisions or digest. Used to assemble a snapshot,
    // whose digest is compared at its end.
    void merge(const delta& change);

    // Gives back memory that a merge of many rows left unused.
    void shrink_to_fit();

    // The text of the table: sections in their order, entries by name.
    std::string to_text() const;

    // An estimate of the bytes of memory that the table takes.
    std::size_t memory_bytes() const;

private:
    std::uint64_t sum_after(const delta& change) const;
    const entry* find(const entry_key& key) const;
    const block_row* find(const ipv4_block& block) const;
    std::uint16_t domain_index(const std::string& name);
    void merge_unique(const delta& change);
    void merge_entries(const delta& change);
    void merge_blocks(const delta& change);

    revision at_revision;
    std::uint64_t sum{};
    std::vector<entry> rows;           // Sorted by key.
    std::vector<std::string> domains;  // Names that block_rows refer to.
    std::vector<block_row> block_rows; // Sorted by block.
};

// The checked model of a table. Only the entries are written out as a text; the client blocks are
// taken over as rows.
tl::expected<model, findings> read_table(const text_table& table);

} // namespace bth::config
