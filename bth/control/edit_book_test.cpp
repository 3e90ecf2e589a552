#include "bth/control/edit_book.h"

#include "bth/control/testing/sample_text.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using bth::revision;
using bth::control::edit;
using bth::control::edit_book;
using bth::control::edit_outcome;
using bth::control::text_change;
using bth::control::testing::sample_text;

// clang-format off
TEST_GROUP(edit_book) {};
// clang-format on

namespace {

constexpr std::uint32_t many_ids = 1000;

edit text_edit(std::string id, std::uint64_t expected, int slots, std::uint32_t kept = many_ids)
{
    return {std::move(id), revision{expected}, "ada", text_change{sample_text(slots)}, kept};
}

edit drain_edit(std::string id, std::uint64_t expected, std::string target)
{
    return {std::move(id), revision{expected}, "ben",
            bth::control::drain_change{bth::control::drain_kind::target, std::move(target), {}},
            many_ids};
}

bool mentions(const bth::control::edit_answer& answer, const std::string& part)
{
    return answer.body.find(part) != std::string::npos;
}

// The book after its state went through bytes.
edit_book through_bytes(const edit_book& book)
{
    auto restored = edit_book::restore(book.snapshot());
    CHECK_TRUE(restored.has_value());
    return std::move(*restored);
}

} // namespace

TEST(edit_book, an_accepted_edit_makes_the_next_version)
{
    edit_book book;
    const auto first = book.apply(text_edit("a", 0, 3)).answer;
    CHECK_TRUE(first.outcome == edit_outcome::accepted);
    CHECK_TRUE(mentions(first, "accepted as 1"));
    const auto second = book.apply(drain_edit("b", 1, "t1")).answer;
    CHECK_TRUE(second.outcome == edit_outcome::accepted);
    UNSIGNED_LONGS_EQUAL(2, book.version().value());
    CHECK_TRUE(book.text().find(R"({"target": "t1"})") != std::string::npos);
}

TEST(edit_book, of_two_edits_on_one_version_one_wins_and_the_loser_is_told)
{
    edit_book book;
    book.apply(text_edit("base", 0, 3));
    const auto winner = book.apply(drain_edit("bens-edit", 1, "t2")).answer;
    const auto loser = book.apply(text_edit("adas-edit", 1, 4)).answer;
    CHECK_TRUE(winner.outcome == edit_outcome::accepted);
    CHECK_TRUE(loser.outcome == edit_outcome::version_conflict);
    UNSIGNED_LONGS_EQUAL(2, loser.version.value());
    CHECK_TRUE(mentions(loser, R"("winner":{"author":"ben","edit_id":"bens-edit","version":2})"));
    CHECK_TRUE(mentions(loser, R"("change":"added","name":"target:t2","section":"drains")"));
    UNSIGNED_LONGS_EQUAL(2, book.version().value());
    CHECK_TRUE(book.text().find("\"slots\": 4") == std::string::npos);
}

TEST(edit_book, a_resend_gets_the_first_answer_word_for_word_also_through_a_snapshot)
{
    edit_book book;
    const edit base = text_edit("base", 0, 3);
    const edit winner = drain_edit("bens-edit", 1, "t2");
    const edit loser = text_edit("adas-edit", 1, 4);
    const std::vector<edit> edits{base, winner, loser};
    std::vector<std::string> first_answers;
    first_answers.reserve(edits.size());
    for (const edit& each : edits) {
        first_answers.push_back(book.apply(each).answer.body);
    }
    book.apply(text_edit("later", 2, 5));
    edit_book restored = through_bytes(book);
    for (std::size_t index = 0; index < edits.size(); ++index) {
        const auto again = restored.apply(edits.at(index));
        CHECK_TRUE(again.resend);
        STRCMP_EQUAL(first_answers.at(index).c_str(), again.answer.body.c_str());
    }
    UNSIGNED_LONGS_EQUAL(3, restored.version().value());
    CHECK_TRUE(restored.snapshot() == book.snapshot());
}

TEST(edit_book, a_text_with_findings_is_refused_whole_and_uses_no_version)
{
    edit_book book;
    book.apply(text_edit("base", 0, 3));
    const std::string before = book.text();
    std::string bad = sample_text(3);
    bad.replace(bad.find("\"slots\""), 7, "\"slot\"");
    const auto refused =
        book.apply(edit{"bad", revision{1}, "ada", text_change{bad}, many_ids}).answer;
    CHECK_TRUE(refused.outcome == edit_outcome::text_refused);
    CHECK_TRUE(mentions(refused, R"("line":12)"));
    CHECK_TRUE(mentions(refused, R"(unknown key \"slot\")"));
    UNSIGNED_LONGS_EQUAL(1, book.version().value());
    STRCMP_EQUAL(before.c_str(), book.text().c_str());
    const auto unknown_target = book.apply(drain_edit("c", 1, "t9")).answer;
    CHECK_TRUE(unknown_target.outcome == edit_outcome::text_refused);
    const auto next = book.apply(drain_edit("d", 1, "t1")).answer;
    UNSIGNED_LONGS_EQUAL(2, next.version.value());
}

TEST(edit_book, another_edit_with_a_used_id_is_refused)
{
    edit_book book;
    book.apply(text_edit("a", 0, 3));
    const auto other = book.apply(text_edit("a", 1, 4)).answer;
    CHECK_TRUE(other.outcome == edit_outcome::id_reused);
    UNSIGNED_LONGS_EQUAL(1, book.version().value());
    STRCMP_EQUAL(book.apply(text_edit("a", 7, 3)).answer.body.c_str(),
                 book.apply(text_edit("a", 0, 3)).answer.body.c_str());
}

TEST(edit_book, a_forgotten_id_is_never_accepted_twice)
{
    constexpr std::uint32_t two_ids = 2;
    edit_book book;
    const edit first = text_edit("a", 0, 3, two_ids);
    book.apply(first);
    for (std::uint64_t version = 1; version <= 3; ++version) {
        book.apply(text_edit("edit-" + std::to_string(version), version,
                             3 + static_cast<int>(version), two_ids));
    }
    UNSIGNED_LONGS_EQUAL(2, book.kept_ids());
    const auto again = book.apply(first).answer;
    CHECK_TRUE(again.outcome == edit_outcome::too_old);
    CHECK_TRUE(mentions(again, "unknown: "));
    UNSIGNED_LONGS_EQUAL(4, book.version().value());
}

TEST(edit_book, an_id_pushed_out_by_losers_is_still_known_by_its_version)
{
    constexpr std::uint32_t two_ids = 2;
    edit_book book;
    const edit first = text_edit("a", 0, 3, two_ids);
    const auto answer = book.apply(first).answer;
    for (int loser = 0; loser < 4; ++loser) {
        book.apply(text_edit("loser-" + std::to_string(loser), 0, 9, two_ids));
    }
    STRCMP_EQUAL(answer.body.c_str(), book.apply(first).answer.body.c_str());
}

TEST(edit_book, malformed_edits_leave_no_trace)
{
    edit_book book;
    CHECK_TRUE(book.apply(text_edit("", 0, 3)).answer.outcome == edit_outcome::malformed);
    CHECK_TRUE(book.apply(text_edit(std::string(129, 'a'), 0, 3)).answer.outcome ==
               edit_outcome::malformed);
    CHECK_TRUE(book.apply(text_edit("a\n", 0, 3)).answer.outcome == edit_outcome::malformed);
    CHECK_TRUE(book.snapshot() == edit_book{}.snapshot());
}

// Two operators race: each sends edits on the version that it saw last, loses some answers and
// resends, and now and then the host starts again from its snapshot.
TEST(edit_book, racing_operators_who_resend_take_effect_at_most_once)
{
    constexpr unsigned seeds = 40;
    constexpr int steps = 60;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937_64 random{seed};
        edit_book book;
        std::vector<std::pair<edit, std::string>> sent;
        std::set<std::string> accepted_ids;
        std::uint64_t seen = 0;
        for (int step = 0; step < steps; ++step) {
            const std::uint64_t draw = random() % 8;
            if (draw == 0) {
                book = through_bytes(book);
            }
            else if (draw <= 3 && !sent.empty()) {
                const auto& [resent, answer] = sent.at(random() % sent.size());
                STRCMP_EQUAL(answer.c_str(), book.apply(resent).answer.body.c_str());
            }
            else {
                const edit one = text_edit("edit-" + std::to_string(step), seen,
                                           3 + static_cast<int>(random() % 5));
                const std::uint64_t before = book.version().value();
                const auto answer = book.apply(one).answer;
                const bool accepted = answer.outcome == edit_outcome::accepted;
                UNSIGNED_LONGS_EQUAL(before + (accepted ? 1 : 0), book.version().value());
                CHECK_TRUE(accepted == (before == seen));
                sent.emplace_back(one, answer.body);
                if (accepted) {
                    CHECK_TRUE(accepted_ids.insert(one.id).second);
                }
                seen = random() % 2 == 0 ? answer.version.value() : seen;
            }
            UNSIGNED_LONGS_EQUAL(accepted_ids.size(), book.version().value());
        }
    }
}
