#include "bth/distribution/config_store.h"

#include "bth/storage/testing/fake_disk.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::distribution;
using storage::testing::fake_disk;
using storage::testing::fake_medium;

// clang-format off
TEST_GROUP(config_store) {};
// clang-format on

namespace {

using store = config_store<fake_disk>;

// A host that takes edits and stores them.
struct storing_host {
    explicit storing_host(std::shared_ptr<fake_medium> medium)
        : kept{store::open(fake_disk{std::move(medium)}, "entry-a").value()}
    {
        if (auto stored = this->kept.take_stored()) {
            this->table = std::move(*stored);
        }
    }

    bool edit(bool whole)
    {
        config::text_table next = this->table;
        const revision number{next.at().value() + 1};
        config::delta change;
        change.set.push_back({{config::section::services, std::to_string(number.value() % 5)},
                              R"({"n":)" + std::to_string(number.value()) + "}"});
        next.merge(change);
        next.set_revision(number);
        const auto bytes = std::make_shared<const std::string>(
            config::encode(config::difference(this->table, next)));
        this->table = std::move(next);
        return this->kept.save({number, whole, {bytes}}, this->table).has_value();
    }

    store kept;
    config::text_table table;
};

} // namespace

TEST(config_store, a_blank_folder_holds_nothing)
{
    storing_host host{std::make_shared<fake_medium>()};
    CHECK_TRUE(host.table.at() == revision{});
}

TEST(config_store, what_was_saved_is_there_after_a_crash)
{
    std::mt19937_64 random{1};
    const auto medium = std::make_shared<fake_medium>();
    for (std::uint64_t count = 0; count < 40; ++count) {
        storing_host host{medium};
        CHECK_TRUE(host.table.at() == revision{count});
        CHECK_TRUE(host.edit(count % 7 == 6));
        medium->crash(random);
    }
}

TEST(config_store, a_crash_while_saving_never_loses_an_earlier_revision)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random{seed};
        const auto medium = std::make_shared<fake_medium>();
        std::uint64_t saved = 0;
        for (int life = 0; life < 6; ++life) {
            medium->fails_after.reset();
            storing_host host{medium};
            CHECK_TRUE(host.table.at() >= revision{saved});
            saved = host.table.at().value();
            medium->fails_after = random() % 12;
            while (host.edit(random() % 4 == 0)) {
                ++saved;
            }
            medium->crash(random);
        }
    }
}

TEST(config_store, after_a_failed_save_the_whole_table_is_saved_once_the_disk_takes_writes)
{
    // Each number of writes that succeed before the disk is full, for edits and for whole tables.
    for (const bool whole : {false, true}) {
        for (std::size_t writes = 0; writes < (whole ? 6 : 2); ++writes) {
            const auto medium = std::make_shared<fake_medium>();
            storing_host host{medium};
            CHECK_TRUE(host.edit(false));
            medium->fails_after = writes;
            CHECK_FALSE(host.edit(whole));
            CHECK_FALSE(host.edit(true));
            medium->fails_after.reset();
            CHECK_TRUE(host.edit(true));
            CHECK_TRUE(host.edit(false));
            CHECK_TRUE(storing_host{medium}.table.digest() == host.table.digest());
            CHECK_TRUE(storing_host{medium}.table.at() == revision{5});
        }
    }
}

TEST(config_store, edits_behind_a_failed_save_are_refused_and_leave_no_gap)
{
    const auto medium = std::make_shared<fake_medium>();
    storing_host host{medium};
    CHECK_TRUE(host.edit(false));
    medium->fails_after = 0;
    CHECK_FALSE(host.edit(false));
    medium->fails_after.reset();
    CHECK_FALSE(host.edit(false));
    CHECK_TRUE(storing_host{medium}.table.at() == revision{1});
    CHECK_TRUE(host.edit(true));
    CHECK_TRUE(storing_host{medium}.table.at() == revision{4});
}

TEST(config_store, a_crash_after_a_failed_save_never_loses_what_was_saved)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random{seed};
        const auto medium = std::make_shared<fake_medium>();
        std::uint64_t saved = 0;
        for (int life = 0; life < 4; ++life) {
            medium->fails_after.reset();
            storing_host host{medium};
            CHECK_TRUE(host.table.at() >= revision{saved});
            bool after_failure = false;
            for (int count = 0; count < 10; ++count) {
                medium->fails_after.reset();
                if (random() % 2 == 0) {
                    medium->fails_after = random() % 8;
                }
                after_failure = !host.edit(after_failure || random() % 4 == 0);
                if (!after_failure) {
                    saved = host.table.at().value();
                }
                CHECK_TRUE(!after_failure || medium->fails_after);
            }
            medium->crash(random);
        }
    }
}

TEST(config_store, a_folder_that_lost_its_identity_or_is_anothers_stays_refused)
{
    const auto foreign = std::make_shared<fake_medium>();
    constexpr std::size_t longer_than_own_log = 1000;
    const auto bytes = std::make_shared<const std::string>(longer_than_own_log, 'x');
    auto others = store::open(fake_disk{foreign}, "entry-b");
    CHECK_TRUE(others->save({revision{1}, false, {bytes}}, {}).has_value());
    const auto blank = std::make_shared<fake_medium>();
    for (const auto& put : {foreign, blank}) {
        // A save fails at its edits, or at a whole table.
        for (const bool whole : {false, true}) {
            const auto medium = std::make_shared<fake_medium>();
            storing_host host{medium};
            CHECK_TRUE(host.edit(false));
            medium->fails_after = 1;
            CHECK_FALSE(host.edit(whole));
            medium->now.clear();
            for (const auto& [name, each] : put->now) {
                medium->now[name] = std::make_shared<fake_medium::file>(*each);
            }
            medium->fails_after.reset();
            for (int count = 0; count < 2; ++count) {
                CHECK_FALSE(host.edit(true));
                UNSIGNED_LONGS_EQUAL(put->now.size(), medium->now.size());
                for (const auto& [name, each] : put->now) {
                    CHECK_TRUE(medium->now.at(name)->now == each->now);
                }
            }
        }
    }
}

TEST(config_store, the_folder_of_another_host_is_refused)
{
    const auto medium = std::make_shared<fake_medium>();
    storing_host host{medium};
    const auto other = store::open(fake_disk{medium}, "entry-b");
    CHECK_TRUE(other.error().kind == storage::storage_error_kind::foreign);
}

TEST(config_store, an_edit_that_does_not_follow_is_damage)
{
    storage::journal_contents contents;
    config::delta change;
    change.from = revision{3};
    change.to = revision{4};
    contents.records.push_back(
        internal::encode_edits({std::make_shared<const std::string>(config::encode(change))}));
    CHECK_TRUE(internal::read_table(contents).error().kind == storage::storage_error_kind::damaged);
}
