// A small state machine for tests: edits with an id and an expected version.
//
//   ledger book;
//   book.apply(ledger_command("edit-1", 0));   // "edit-1 accepted as 1"
//   book.apply(ledger_command("edit-1", 0));   // the same
#pragma once

#include <map>
#include <string>
#include <vector>

namespace bth::consensus::testing {

std::string ledger_command(const std::string& id, std::size_t expected_version);

class ledger {
public:
    using answer = std::string;

    std::string apply(const std::string& command);
    std::string snapshot() const;
    bool restore(const std::string& bytes);

    // The ids of the accepted edits in their order; the version is their number.
    std::vector<std::string> accepted;

private:
    std::map<std::string, std::string> answers;
};

} // namespace bth::consensus::testing
