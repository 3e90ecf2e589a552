// The difference of two operators' texts as rows that were added, removed or changed, for people:
// operators see it when another edit won the version that theirs expected.
//
//   text_difference changes = difference_of(before, after, 50);
//   for (const row_difference& row : changes.rows) { use(row.section, row.name); }
//
// What hosts exchange is the delta in bth/config/delta.h, from which this is made.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bth::config {

enum class row_change : std::uint8_t { added, removed, changed };

std::string_view to_string(row_change change);

struct row_difference {
    row_change change{};
    // The key of the array that holds the row, such as "targets".
    std::string section;
    // What names the row within its section, as in entry_key; a client block names itself.
    std::string name;
    // The row as JSON in canonical form, for a client block its failure domain; empty where there
    // is none.
    std::string before;
    std::string after;
};

struct text_difference {
    // Sections in the order of the text, client blocks last; rows by name.
    std::vector<row_difference> rows;
    // Further rows that differ but aren't listed.
    std::uint64_t omitted{};
};

// The rows in which the texts differ; at most `most_rows` of them are listed. Comments, layout and
// the order of rows don't count. Each text is one that read_text accepts, or empty.
text_difference difference_of(const std::string& before, const std::string& after,
                              std::size_t most_rows);

} // namespace bth::config
