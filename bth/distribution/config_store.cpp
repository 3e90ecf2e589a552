#include "bth/distribution/config_store.h"

#include <cstddef>

namespace bth::distribution::internal {

namespace {

tl::unexpected<storage::storage_error> damaged(const std::string& file, std::size_t record,
                                               const std::string& message)
{
    return tl::make_unexpected(storage::storage_error{
        storage::storage_error_kind::damaged, file, 0,
        message + (record == 0 ? "" : " (record " + std::to_string(record) + ")")});
}

// Applies the edits of one record; those that the table holds already are passed over.
bool redo(const std::string& record, config::text_table& table)
{
    const auto what = membership::decode_message(record);
    const auto* edits = what ? std::get_if<membership::pull_answer>(&*what) : nullptr;
    if (edits == nullptr) {
        return false;
    }
    for (const membership::shared_bytes& bytes : edits->deltas) {
        const auto change = config::decode_delta(*bytes);
        if (!change || (change->to > table.at() && !table.apply(*change))) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_snapshot(const config::text_table& table)
{
    return config::encode(config::difference(config::text_table{}, table));
}

std::string encode_edits(const std::vector<membership::shared_bytes>& edits)
{
    membership::pull_answer record;
    record.deltas = edits;
    return membership::encode(record);
}

tl::expected<std::optional<config::text_table>, storage::storage_error>
read_table(const storage::journal_contents& contents)
{
    config::text_table table;
    if (contents.snapshot) {
        const auto whole = config::decode_delta(*contents.snapshot);
        if (!whole) {
            return damaged("snapshot", 0, "it holds no table");
        }
        table.merge(*whole);
        table.set_revision(whole->to);
        if (table.digest() != whole->digest) {
            return damaged("snapshot", 0, "its table has another digest than it states");
        }
    }
    std::size_t number = 0;
    for (const std::string& record : contents.records) {
        ++number;
        if (!redo(record, table)) {
            return damaged("log", number, "an edit doesn't follow the table before it");
        }
    }
    return table.at() == revision{} ? std::nullopt : std::optional{std::move(table)};
}

} // namespace bth::distribution::internal
