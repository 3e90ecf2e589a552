// The edit book as the state machine of the agreed log.
//
//   book_machine machine;
//   applied_edit done = machine.apply(command_of(one));
#pragma once

#include "bth/control/edit.h"
#include "bth/control/edit_book.h"

#include <string>

namespace bth::control {

// The bytes of an edit in the log.
std::string command_of(const edit& one);

class book_machine {
public:
    using answer = applied_edit;

    // Bytes that aren't an edit change nothing and are answered "malformed".
    applied_edit apply(const std::string& command);
    std::string snapshot() const;
    bool restore(const std::string& bytes);

    const edit_book& book() const { return this->edits; }

private:
    edit_book edits;
};

} // namespace bth::control
