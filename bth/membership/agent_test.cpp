#include "bth/membership/agent.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace bth;
using namespace bth::membership;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(agent) {};
// clang-format on

namespace {

constexpr time_point start{1h};
constexpr duration tick_interval = 100ms;
const peer control{"control-a", incarnation{1}};

agent agent_with_disk()
{
    agent_settings settings;
    settings.self = {"entry-a", incarnation{1}};
    settings.failure_domain = "d";
    settings.durable = true;
    settings.seed = 1;
    return agent{settings, std::nullopt};
}

// The edits that make one revision after the other.
struct edit_source {
    message next()
    {
        config::text_table made = this->table;
        const revision number{made.at().value() + 1};
        config::delta change;
        change.set.push_back(
            {{config::section::services, "s"}, R"({"n":)" + std::to_string(number.value()) + "}"});
        made.merge(change);
        made.set_revision(number);
        const auto bytes = std::make_shared<const std::string>(
            config::encode(config::difference(this->table, made)));
        this->table = std::move(made);
        return delta_push{"entry-a", bytes};
    }

    config::text_table table;
};

template <class Action>
std::optional<Action> first_of(const actions& all)
{
    for (const action& each : all) {
        if (const auto* found = std::get_if<Action>(&each)) {
            return *found;
        }
    }
    return std::nullopt;
}

} // namespace

TEST(agent, a_failed_save_is_tried_again_after_an_interval_whatever_comes_in)
{
    agent core = agent_with_disk();
    edit_source edits;
    time_point now = start;
    core.tick(now);
    const auto first = first_of<persist_order>(core.receive(now, control, edits.next()));
    CHECK_TRUE(first && !first->whole);
    for (int failure = 0; failure < 3; ++failure) {
        core.persist_failed(now);
        const time_point due = now + persist_retry_interval;
        while (now + tick_interval < due) {
            now += tick_interval;
            CHECK_FALSE(first_of<persist_order>(core.receive(now, control, edits.next())));
            CHECK_FALSE(first_of<persist_order>(core.tick(now)));
        }
        now = due;
        const auto again = first_of<persist_order>(core.tick(now));
        CHECK_TRUE(again && again->whole && again->upto == edits.table.at());
    }
    const auto used = first_of<take_into_force>(core.persisted(now, edits.table.at()));
    CHECK_TRUE(used && used->mark.at == edits.table.at());
    const auto next = first_of<persist_order>(core.receive(now, control, edits.next()));
    CHECK_TRUE(next && !next->whole && next->edits.size() == 1);
}
