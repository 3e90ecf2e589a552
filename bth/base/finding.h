// Findings: what is wrong in an input, and where. A reader collects all findings of an input and
// reports them together; it never stops at the first.
//
//   findings found;
//   found.add({"site.json", 12, 9}, "unknown key \"slot\"", "one of: slots, connections");
//   if (!found.empty()) { std::cerr << to_string(found); }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bth {

// A place in an input. Lines and columns count from 1; 0 means that the place isn't known.
struct source_place {
    std::string file;
    std::uint32_t line{};
    std::uint32_t column{};
};

enum class severity : std::uint8_t {
    error,   // The input can't be used.
    warning, // The input can be used, but it may not do what is wanted.
};

struct finding {
    source_place place;
    // What is wrong.
    std::string message;
    // What would be right; may be empty.
    std::string expected;
    severity level{severity::error};
};

class findings {
public:
    void add(source_place place, std::string message, std::string expected = {});
    void add_warning(source_place place, std::string message, std::string expected = {});

    // Whether the input can't be used.
    bool has_errors() const;
    bool empty() const { return this->rows.empty(); }
    std::size_t size() const { return this->rows.size(); }
    const std::vector<finding>& all() const { return this->rows; }

private:
    std::vector<finding> rows;
};

// The place of the byte at `offset` of `text`; an offset past the end names the end.
source_place place_of_offset(std::string_view file, std::string_view text, std::size_t offset);

// One line a finding: "FILE:LINE:COLUMN: MESSAGE; expected EXPECTED". The message of a warning
// starts with "warning: ".
std::string to_string(const finding& what);
std::string to_string(const findings& all);

} // namespace bth
