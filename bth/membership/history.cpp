#include "bth/membership/history.h"

#include <algorithm>
#include <utility>

namespace bth::membership {

namespace {

constexpr std::size_t most_kept_edits = 2048;
constexpr std::size_t most_kept_bytes = std::size_t{1024} * 1024;
constexpr std::size_t answer_bytes = std::size_t{16} * 1024;

} // namespace

void history::add(revision from, revision to, shared_bytes bytes)
{
    if (!this->rows.empty() && this->rows.back().to != from) {
        this->clear();
    }
    this->kept_bytes += bytes->size();
    this->rows.push_back({from, to, std::move(bytes)});
    while (this->rows.size() > most_kept_edits ||
           (this->kept_bytes > most_kept_bytes && this->rows.size() > 1)) {
        this->kept_bytes -= this->rows.front().bytes->size();
        this->rows.pop_front();
    }
}

void history::clear()
{
    this->rows.clear();
    this->kept_bytes = 0;
}

std::optional<std::vector<shared_bytes>> history::behind(revision have,
                                                         std::size_t most_bytes) const
{
    auto place = std::lower_bound(this->rows.begin(), this->rows.end(), have,
                                  [](const row& a, revision b) { return a.from < b; });
    if (place == this->rows.end() || place->from != have) {
        return std::nullopt;
    }
    std::vector<shared_bytes> found;
    std::size_t bytes = 0;
    for (; place != this->rows.end() && bytes < most_bytes; ++place) {
        found.push_back(place->bytes);
        bytes += place->bytes->size();
    }
    return found;
}

pull_answer answer_pull(const pull& request, const config::text_table& table, const history& edits)
{
    pull_answer answer;
    answer.at = {table.at(), table.digest()};
    if (!request.cursor) {
        if (request.have >= table.at()) {
            return answer;
        }
        if (auto deltas = edits.behind(request.have, answer_bytes)) {
            answer.deltas = std::move(*deltas);
            return answer;
        }
    }
    const auto cursor = request.cursor.value_or(config::snapshot_cursor{});
    const config::snapshot_piece piece = config::piece_after(table, cursor, answer_bytes);
    answer.part = snapshot_part{std::make_shared<const std::string>(config::encode(piece.content)),
                                piece.next};
    return answer;
}

} // namespace bth::membership
