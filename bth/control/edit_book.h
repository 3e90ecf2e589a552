// The book of edits: a deterministic state machine that takes edits in the order of the agreed log
// and keeps the accepted text. It reads no clock and does no I/O: the same edits give the same
// answers, and the same snapshot, to the byte.
//
//   edit_book book;
//   edit_answer answer = book.apply(one).answer;    // accepted as 1
//   edit_answer again = book.apply(one).answer;     // the same, word for word
//   auto restored = edit_book::restore(book.snapshot());
#pragma once

#include "bth/config/difference.h"
#include "bth/control/edit.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::control {

// One accepted edit, as shown to operators whose edit came later.
struct accepted_edit {
    revision version;
    std::string edit_id;
    std::string author;
    config::text_difference changes;
};

// The answer that a past edit got.
struct kept_answer {
    std::string edit_id;
    // Hash of the edit's change, so that another edit with the same id is told apart.
    std::uint64_t fingerprint{};
    edit_answer answer;
};

struct applied_edit {
    edit_answer answer;
    // Whether the answer was given before and the edit is a resend.
    bool resend{};
};

class edit_book {
public:
    // Applies the next edit of the log.
    //
    // An edit whose id was answered before gets that answer again and changes nothing. Otherwise it
    // is accepted if the version now is the one it expects and the text that it leads to has no
    // finding; then the version rises by one. A refused edit uses no version. Once an id is
    // forgotten, a resend is never accepted a second time, for its expected version has passed; it
    // is answered "accepted" if the version that it made is still known, else too_old.
    applied_edit apply(const edit& one);

    // The answer that apply() would repeat for this edit, or nothing if the edit is new. It may be
    // asked before the edit is proposed to the log.
    std::optional<edit_answer> answered(const edit& one) const;

    revision version() const { return this->now; }
    const std::string& text() const { return this->current; }
    const std::deque<accepted_edit>& accepted() const { return this->history; }
    std::size_t kept_ids() const { return this->order.size(); }

    // The whole state as bytes (FlatBuffers, bth/control/edits.fbs). Equal states give equal bytes.
    std::vector<std::uint8_t> snapshot() const;

    // The book that a snapshot was taken of, or one sentence that says what is wrong with it.
    static tl::expected<edit_book, std::string> restore(const std::vector<std::uint8_t>& bytes);

private:
    edit_answer decide(const edit& one);
    edit_answer conflict(const edit& one) const;
    edit_answer accept(const edit& one, std::string text);
    void keep(const edit& one, const edit_answer& answer);

    revision now;
    std::string current;
    // Accepted edits by rising version; the oldest are dropped first.
    std::deque<accepted_edit> history;
    // Answers in the order in which they were given, and their places by id. `first` is the number
    // of the first one.
    std::deque<kept_answer> order;
    std::uint64_t first{};
    std::map<std::string, std::uint64_t, std::less<>> by_id;
};

} // namespace bth::control
