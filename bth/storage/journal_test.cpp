#include "bth/storage/journal.h"
#include "bth/storage/testing/fake_disk.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::storage;
using testing::fake_disk;
using testing::fake_medium;

using test_journal = journal<fake_disk>;

std::shared_ptr<fake_medium> medium_with(int records)
{
    auto medium = std::make_shared<fake_medium>();
    test_journal kept{fake_disk{medium}};
    CHECK_TRUE(kept.open().has_value());
    CHECK_TRUE(kept.create("host a").has_value());
    for (int i = 0; i < records; ++i) {
        CHECK_TRUE(kept.append("record " + std::to_string(i)).has_value());
    }
    return medium;
}

std::string& log_of(fake_medium& medium)
{
    return medium.now.at("log")->now;
}

} // namespace

// clang-format off
TEST_GROUP(journal) {};
// clang-format on

TEST(journal, blank_folder_has_no_owner)
{
    test_journal kept{fake_disk{std::make_shared<fake_medium>()}};
    const auto contents = kept.open();
    CHECK_TRUE(contents.has_value());
    CHECK_FALSE(contents->identity.has_value());
}

TEST(journal, crash_keeps_every_record_whose_append_returned)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 generator{seed};
        auto medium = medium_with(3);
        {
            test_journal kept{fake_disk{medium}};
            CHECK_TRUE(kept.open().has_value());
            medium->fails_after = seed % 8;
            (void)kept.replace("state", {"after 1"});
            (void)kept.append("after 2");
        }
        medium->crash(generator);
        medium->fails_after.reset();
        test_journal again{fake_disk{medium}};
        const auto contents = again.open();
        CHECK_TRUE(contents.has_value());
        CHECK_FALSE(contents->records.empty());
        const bool replaced = contents->records.front() == "after 1";
        CHECK_TRUE(replaced ? contents->snapshot == "state" : contents->records.size() >= 3);
        CHECK_TRUE(again.append("more").has_value());
    }
}

TEST(journal, unsynced_append_is_lost_or_whole_after_a_crash)
{
    int lost = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 generator{seed};
        auto medium = medium_with(2);
        test_journal kept{fake_disk{medium}};
        CHECK_TRUE(kept.open().has_value());
        medium->fails_after = 1; // The write succeeds and its sync fails.
        CHECK_FALSE(kept.append("unsynced").has_value());
        medium->fails_after.reset();
        CHECK_FALSE(kept.append("after an error").has_value());
        medium->crash(generator);
        test_journal again{fake_disk{medium}};
        const auto contents = again.open();
        CHECK_TRUE(contents.has_value());
        lost += contents->records.size() == 2 ? 1 : 0;
        CHECK_TRUE(contents->records.size() == 2 || contents->records.back() == "unsynced");
    }
    CHECK_TRUE(lost > 0);
}

TEST(journal, torn_tail_is_cut_and_told)
{
    auto medium = medium_with(2);
    const auto whole = log_of(*medium).size();
    log_of(*medium) += std::string{"\5\0\0", 3};
    test_journal kept{fake_disk{medium}};
    const auto contents = kept.open();
    CHECK_TRUE(contents.has_value() && contents->cut.has_value());
    UNSIGNED_LONGS_EQUAL(whole, contents->cut->offset);
    UNSIGNED_LONGS_EQUAL(3, contents->cut->bytes);
    UNSIGNED_LONGS_EQUAL(whole, log_of(*medium).size());
    UNSIGNED_LONGS_EQUAL(2, contents->records.size());
}

TEST(journal, any_changed_byte_of_a_synced_record_is_refused_with_its_place)
{
    const auto whole = log_of(*medium_with(3));
    for (std::size_t at = 0; at < whole.size(); ++at) {
        auto medium = medium_with(3);
        log_of(*medium).at(at) = static_cast<char>(log_of(*medium).at(at) ^ 0x20);
        const auto before = log_of(*medium);
        test_journal kept{fake_disk{medium}};
        const auto contents = kept.open();
        CHECK_FALSE(contents.has_value());
        CHECK_TRUE(contents.error().kind == storage_error_kind::damaged);
        CHECK_TRUE(contents.error().file == "log");
        CHECK_TRUE(contents.error().offset <= at);
        CHECK_FALSE(kept.append("more").has_value());
        CHECK_TRUE(log_of(*medium) == before);
    }
}

TEST(journal, record_taken_out_of_the_middle_breaks_the_chain)
{
    auto medium = medium_with(3);
    auto& log = log_of(*medium);
    const auto size = record_chain{0}.encode("record 1").size();
    log.erase(log.size() - 2 * size, size);
    test_journal kept{fake_disk{medium}};
    const auto contents = kept.open();
    CHECK_FALSE(contents.has_value());
    CHECK_TRUE(to_string(contents.error()).find("doesn't follow") != std::string::npos);
}

TEST(journal, missing_parts_of_an_owned_folder_are_refused)
{
    for (const auto* name : {"log", "identity"}) {
        auto medium = medium_with(3);
        medium->now.erase(name);
        test_journal kept{fake_disk{medium}};
        CHECK_FALSE(kept.open().has_value());
    }
}

TEST(journal, reopened_journal_holds_what_was_durable_and_nothing_of_a_failed_append)
{
    // Each number of writes that succeed before the disk is full, and a repair after it.
    for (std::size_t writes = 0; writes < 12; ++writes) {
        auto medium = medium_with(3);
        test_journal kept{fake_disk{medium}};
        CHECK_TRUE(kept.open().has_value());
        medium->fails_after = writes;
        std::vector<std::string> durable{"record 0", "record 1", "record 2"};
        for (int i = 3; i < 10; ++i) {
            const auto record = "record " + std::to_string(i);
            if (!kept.append(record)) {
                break;
            }
            durable.push_back(record);
        }
        CHECK_FALSE(kept.append("after the failure").has_value());
        CHECK_FALSE(kept.reopen().has_value());
        CHECK_FALSE(kept.append("still full").has_value());
        medium->fails_after.reset();
        const auto contents = kept.reopen();
        CHECK_TRUE(contents.has_value());
        CHECK_TRUE(contents->records == durable);
        CHECK_TRUE(kept.append("after the repair").has_value());
        durable.emplace_back("after the repair");
        test_journal again{fake_disk{medium}};
        CHECK_TRUE(again.open()->records == durable);
    }
}

TEST(journal, reopened_journal_holds_the_old_or_the_new_snapshot_after_a_failed_replacement)
{
    for (std::size_t writes = 0; writes < 6; ++writes) {
        auto medium = medium_with(3);
        test_journal kept{fake_disk{medium}};
        CHECK_TRUE(kept.open().has_value());
        medium->fails_after = writes;
        CHECK_FALSE(kept.replace("state", {"after 1"}).has_value());
        medium->fails_after.reset();
        const auto contents = kept.reopen();
        CHECK_TRUE(contents.has_value());
        CHECK_TRUE(contents->records.size() == 3 || contents->snapshot == "state");
        CHECK_TRUE(kept.append("after the repair").has_value());
        test_journal again{fake_disk{medium}};
        CHECK_TRUE(again.open()->records.back() == "after the repair");
    }
}

TEST(journal, full_disk_stops_all_later_writes)
{
    auto medium = medium_with(1);
    test_journal kept{fake_disk{medium}};
    CHECK_TRUE(kept.open().has_value());
    medium->fails_after = 0;
    CHECK_TRUE(kept.append("x").error().kind == storage_error_kind::io);
    medium->fails_after.reset();
    CHECK_FALSE(kept.append("y").has_value());
    test_journal again{fake_disk{medium}};
    const auto contents = again.open();
    UNSIGNED_LONGS_EQUAL(1, contents->records.size());
    CHECK_TRUE(contents->cut.has_value());
}

TEST(journal, record_that_was_read_at_the_start_outlives_a_loss_of_power)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        std::mt19937_64 generator{seed};
        auto medium = medium_with(1);
        {
            test_journal kept{fake_disk{medium}};
            CHECK_TRUE(kept.open().has_value());
            medium->fails_after = 1; // The write succeeds and its sync fails.
            CHECK_FALSE(kept.append("unsynced").has_value());
        }
        medium->fails_after.reset();
        test_journal again{fake_disk{medium}};
        UNSIGNED_LONGS_EQUAL(2, again.open()->records.size());
        medium->crash(generator);
        test_journal last{fake_disk{medium}};
        const auto contents = last.open();
        CHECK_TRUE(contents.has_value());
        UNSIGNED_LONGS_EQUAL(2, contents->records.size());
    }
}
