// The difference of two operators' texts as rows that were added, removed or changed. Operators see
// it when another edit won the version that theirs expected.
//
//   difference changes = difference_of(before, after, 50);
//   for (const row_difference& row : changes.rows) { use(row.section, row.name); }
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

namespace bth::config {

enum class row_change : std::uint8_t { added, removed, changed };

std::string_view to_string(row_change change);

struct row_difference {
    row_change change{};
    // The key of the array that holds the row, such as "targets".
    std::string section;
    // What names the row within its section; see row_name().
    std::string name;
    // The row as compact JSON; empty where there is none.
    std::string before;
    std::string after;
};

struct difference {
    // By section and name, both in byte order.
    std::vector<row_difference> rows;
    // Further rows that differ but aren't listed.
    std::uint64_t omitted{};
};

// The rows in which the texts differ; at most `most_rows` of them are listed. Comments, layout and
// the order of rows don't count. A text that is no JSON object counts as one without rows.
difference difference_of(const std::string& before, const std::string& after,
                         std::size_t most_rows);

// The name of a row within its section: "name" where the row has one, "FROM->TO" for links, the
// block for client blocks and "KIND:NAME" for drains. Empty if the row has none of these.
std::string row_name(const Json::Value& row);

} // namespace bth::config
