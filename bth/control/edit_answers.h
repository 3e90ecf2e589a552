// The JSON answers that operators get to their edits. Each is made once and then kept.
//
//   edit_answer answer = accepted_answer("mend-links-7", revision{5});
#pragma once

#include "bth/base/finding.h"
#include "bth/control/edit.h"
#include "bth/control/edit_book.h"

#include <deque>
#include <string>

namespace bth::control {

// "accepted as N". Depends on nothing but the id and the version, so that it can be made again.
edit_answer accepted_answer(const std::string& edit_id, revision version);

// "not accepted": who made the version that the edit wanted to make, the version now, and what was
// changed since the version that the edit expected. `since` holds the accepted edits from there on.
edit_answer conflict_answer(const edit& one, revision now, const std::deque<accepted_edit>& since);

// "not accepted": the findings of the text.
edit_answer refused_answer(const edit& one, revision now, const findings& found);

// "not accepted" or "unknown", with one sentence that says why.
edit_answer plain_answer(edit_outcome outcome, const edit& one, revision now,
                         const std::string& why);

} // namespace bth::control
