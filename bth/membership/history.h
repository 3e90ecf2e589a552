// The newest edits of a configuration, encoded, so that a host that missed some gets just these.
//
//   history.add(delta, bytes);
//   pull_answer answer = answer_pull(request, table, history);
#pragma once

#include "bth/config/delta.h"
#include "bth/membership/messages.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace bth::membership {

class history {
public:
    // Takes the edit that follows the last one. An edit that follows another one starts afresh.
    void add(revision from, revision to, shared_bytes bytes);
    void clear();

    // The edits behind `have`, of some `most_bytes` bytes but at least one; nothing if one of them
    // is no longer kept.
    std::optional<std::vector<shared_bytes>> behind(revision have, std::size_t most_bytes) const;

    std::size_t memory_bytes() const { return this->kept_bytes; }

private:
    struct row {
        revision from;
        revision to;
        shared_bytes bytes;
    };

    std::deque<row> rows;
    std::size_t kept_bytes{};
};

// What is sent for a pull: edits if the history still has them, else a piece of the table.
pull_answer answer_pull(const pull& request, const config::text_table& table, const history& edits);

} // namespace bth::membership
