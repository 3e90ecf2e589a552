#include "bth/membership/replica.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;

// clang-format off
TEST_GROUP(replica) {};
// clang-format on

namespace {

// A configuration whose single service changes with each revision, and the edits that made it.
struct source {
    config::text_table table;
    history edits;
    std::vector<shared_bytes> all;

    void edit()
    {
        config::text_table next = this->table;
        config::delta change;
        const std::string number = std::to_string(next.at().value() + 1);
        change.set.push_back({{config::section::services, "s"}, R"({"n":)" + number + "}"});
        next.merge(change);
        next.set_revision(revision{next.at().value() + 1});
        change = config::difference(this->table, next);
        this->all.push_back(std::make_shared<const std::string>(config::encode(change)));
        this->edits.add(change.from, change.to, this->all.back());
        this->table = next;
    }

    pull_answer snapshot() const
    {
        return answer_pull({revision{}, config::snapshot_cursor{}}, this->table, this->edits);
    }
};

source source_at(int revisions)
{
    source made;
    for (int count = 0; count < revisions; ++count) {
        made.edit();
    }
    return made;
}

} // namespace

TEST(replica, edits_are_taken_in_order_only)
{
    const source from = source_at(3);
    replica copy{{}, false};
    CHECK_TRUE(copy.take(from.all.at(1)) == take_result::gap);
    CHECK_TRUE(copy.take(from.all.at(0)) == take_result::applied);
    CHECK_TRUE(copy.take(from.all.at(1)) == take_result::applied);
    CHECK_TRUE(copy.take(from.all.at(0)) == take_result::old);
    CHECK_TRUE(copy.newest_revision() == revision{2});
}

TEST(replica, an_older_snapshot_is_refused)
{
    const source older = source_at(3);
    const source newer = source_at(5);
    replica copy{newer.table, false};
    copy.next_persist();
    CHECK_TRUE(copy.advance());
    copy.take(older.snapshot());
    copy.next_persist();
    CHECK_FALSE(copy.advance());
    CHECK_TRUE(copy.in_force().at == revision{5});
    CHECK_TRUE(copy.newest_revision() == revision{5});
}

TEST(replica, an_edit_is_in_force_only_once_it_is_stored)
{
    const source from = source_at(2);
    replica copy{{}, true};
    copy.take(from.all.at(0));
    const auto order = copy.next_persist();
    CHECK_TRUE(order && order->upto == revision{1});
    copy.take(from.all.at(1));
    CHECK_FALSE(copy.next_persist().has_value());
    CHECK_FALSE(copy.advance());
    copy.persisted(revision{1});
    CHECK_FALSE(copy.advance());
    CHECK_TRUE(copy.next_persist()->upto == revision{2});
    copy.persisted(revision{2});
    CHECK_TRUE(copy.advance());
}

TEST(replica, a_failed_store_is_tried_again_with_the_whole_table)
{
    const source from = source_at(1);
    replica copy{{}, true};
    copy.take(from.all.at(0));
    CHECK_FALSE(copy.next_persist()->whole);
    copy.persist_failed();
    CHECK_FALSE(copy.advance());
    CHECK_TRUE(copy.next_persist()->whole);
    copy.persisted(revision{1});
    CHECK_TRUE(copy.advance());
}

TEST(replica, a_snapshot_whose_pieces_come_from_several_revisions_is_made_whole)
{
    constexpr std::uint32_t blocks = 5000;
    source from = source_at(2);
    config::delta change;
    change.domains = {"d"};
    for (std::uint32_t index = 0; index < blocks; ++index) {
        change.blocks_set.push_back({ipv4_address{index << 8U}, 0, 24});
    }
    from.table.merge(change);
    replica copy{{}, false};
    copy.take(from.snapshot());
    int pulls = 1;
    while (copy.assembling()) {
        from.edit();
        copy.take(answer_pull(copy.next_pull(), from.table, from.edits));
        ++pulls;
    }
    CHECK_TRUE(pulls >= 4);
    CHECK_TRUE(copy.newest_revision() == from.table.at());
    CHECK_TRUE(copy.table().digest() == from.table.digest());
}
