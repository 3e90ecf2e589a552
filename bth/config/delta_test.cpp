#include "bth/config/delta.h"

#include "bth/config/text.h"

#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::config;

// clang-format off
TEST_GROUP(delta) {};
// clang-format on

namespace {

std::string midlands()
{
    const std::ifstream file{"examples/midlands/site.json"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

text_table table_of(const std::string& text, std::uint64_t at)
{
    text_table table = text_table::from_text("test", text).value();
    table.set_revision(revision{at});
    return table;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t place = text.find(from);
    CHECK_TRUE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

// The table at revision 1, and at revision 2 with one service, one block and one drain changed.
struct edited_text {
    text_table older{table_of(midlands(), 1)};
    text_table newer{table_of(
        replaced(replaced(replaced(midlands(), "\"share\": 0.25", "\"share\": 0.2"),
                          R"(    {"block": "127.12.5.0/24", "failure_domain": "shires-1"},)",
                          R"(    {"block": "127.12.5.0/24", "failure_domain": "shires-2"},)"),
                 "\"drains\": []",
                 R"("drains": [{"host": "entry-shires-1-a", "from_unix_ms": 5}])"),
        2)};
};

} // namespace

TEST(delta, only_the_changed_rows_are_in_it)
{
    const edited_text edit;
    const delta change = difference(edit.older, edit.newer);
    UNSIGNED_LONGS_EQUAL(2, change.set.size());
    UNSIGNED_LONGS_EQUAL(1, change.blocks_set.size());
    UNSIGNED_LONGS_EQUAL(0, change.removed.size() + change.blocks_removed.size());
}

TEST(delta, delta_of_one_changed_service_takes_at_most_450_bytes)
{
    const text_table older = table_of(midlands(), 1);
    const text_table newer = table_of(replaced(midlands(), "\"share\": 0.25", "\"share\": 0.2"), 2);
    const std::string bytes = encode(difference(older, newer));
    CHECK_TRUE(bytes.size() <= 450);
}

TEST(delta, applying_it_gives_the_newer_table_and_its_digest)
{
    edited_text edit;
    const auto change = decode_delta(encode(difference(edit.older, edit.newer)));
    CHECK_TRUE(change.has_value());
    CHECK_TRUE(edit.older.apply(*change).has_value());
    CHECK_TRUE(edit.older.at() == revision{2});
    CHECK_TRUE(edit.older.digest() == edit.newer.digest());
    CHECK_TRUE(edit.older.to_text() == edit.newer.to_text());
}

TEST(delta, removed_rows_go)
{
    edited_text edit;
    text_table restored = edit.older;
    restored.set_revision(revision{3});
    const delta back = difference(edit.newer, restored);
    UNSIGNED_LONGS_EQUAL(1, back.removed.size());
    CHECK_TRUE(edit.newer.apply(back).has_value());
    CHECK_TRUE(edit.newer.to_text() == edit.older.to_text());
}

TEST(delta, one_that_starts_elsewhere_is_refused)
{
    edited_text edit;
    const delta change = difference(edit.older, edit.newer);
    edit.older.set_revision(revision{2});
    CHECK_TRUE(edit.older.apply(change).error() == apply_error::not_next);
}

TEST(delta, a_damaged_value_is_refused_and_changes_nothing)
{
    edited_text edit;
    delta change = difference(edit.older, edit.newer);
    change.set.front().value.back() = ' ';
    const std::string before = edit.older.to_text();
    CHECK_TRUE(edit.older.apply(change).error() == apply_error::wrong_digest);
    CHECK_TRUE(edit.older.to_text() == before);
    CHECK_TRUE(edit.older.at() == revision{1});
}

TEST(delta, one_that_states_another_revision_is_refused)
{
    edited_text edit;
    delta change = difference(edit.older, edit.newer);
    change.to = revision{70};
    CHECK_TRUE(edit.older.apply(change).error() == apply_error::wrong_digest);
}

TEST(delta, rows_that_stand_twice_count_once)
{
    edited_text edit;
    delta change = difference(edit.older, edit.newer);
    change.set.push_back(change.set.front());
    change.removed.push_back(change.set.front().key);
    change.blocks_removed.push_back(change.blocks_set.front().block());
    CHECK_TRUE(edit.older.apply(change).has_value());
    CHECK_TRUE(edit.older.to_text() == edit.newer.to_text());
}

TEST(delta, pieces_of_a_snapshot_make_the_table)
{
    constexpr std::size_t piece_bytes = 500;
    const text_table table = table_of(midlands(), 7);
    text_table built;
    std::optional<snapshot_cursor> cursor{snapshot_cursor{}};
    int pieces = 0;
    while (cursor) {
        const snapshot_piece piece = piece_after(table, *cursor, piece_bytes);
        built.merge(decode_delta(encode(piece.content)).value());
        cursor = piece.next;
        ++pieces;
    }
    built.set_revision(table.at());
    CHECK_TRUE(pieces > 10);
    CHECK_TRUE(built.digest() == table.digest());
    CHECK_TRUE(built.to_text() == table.to_text());
}

TEST(delta, table_and_text_give_one_model)
{
    const auto model = read_table(table_of(midlands(), 1));
    CHECK_TRUE(model.has_value());
    const auto direct = read_text("midlands", midlands());
    UNSIGNED_LONGS_EQUAL(direct->targets.size(), model->targets.size());
    UNSIGNED_LONGS_EQUAL(direct->client_blocks.size(), model->client_blocks.size());
    CHECK_TRUE(read_text("again", table_of(midlands(), 1).to_text()).has_value());
}

TEST(delta, a_block_of_an_unknown_domain_is_a_finding)
{
    text_table table = table_of(midlands(), 1);
    delta change;
    change.domains.emplace_back("nowhere");
    change.blocks_set.push_back({ipv4_address{0}, 0, 8});
    table.merge(change);
    CHECK_FALSE(read_table(table).has_value());
}

TEST(delta, damaged_bytes_never_decode_into_impossible_rows)
{
    const edited_text edit;
    const std::string whole = encode(difference(edit.older, edit.newer));
    for (std::size_t place = 0; place < whole.size(); ++place) {
        std::string damaged = whole;
        damaged[place] = static_cast<char>(damaged[place] ^ 0x55);
        text_table table = edit.older;
        const auto change = decode_delta(damaged);
        if (change && table.apply(*change)) {
            CHECK_TRUE(table.digest() == change->digest);
        }
        CHECK_FALSE(decode_delta(whole.substr(0, place)).has_value() && place < whole.size() / 2);
    }
}
