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
