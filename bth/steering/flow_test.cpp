#include "bth/steering/node.h"
#include "bth/steering/testing/small_site.h"

#include <chrono>
#include <variant>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth;
using namespace bth::steering;
using namespace std::chrono_literals;

const class_id gold{0};

arrival request_of(std::uint64_t id, service_id service, class_id caller_class, time_point now)
{
    return {.id = request_id{id},
            .service = service,
            .caller_class = caller_class,
            .home = domain_id{0},
            .forwarded_by = std::nullopt,
            .hops = 0,
            .retry = false,
            .repeatable = true,
            .deadline = now + 2s};
}

try_result end_of(std::uint64_t id, try_outcome outcome)
{
    try_result result;
    result.id = request_id{id};
    result.outcome = outcome;
    return result;
}

template <class Action>
const Action* only(const actions& given)
{
    return given.size() == 1 ? std::get_if<Action>(&given.front()) : nullptr;
}

} // namespace

// clang-format off
TEST_GROUP(flow)
{
    node core{{.host_name = "a1", .life = incarnation{1}, .seed = 7}};
    time_point now{};
    service_id web{0};

    void setup() override { this->core.apply(testing::small_site(), revision{1}, {this->now, {}}); }
};
// clang-format on

TEST(flow, a_request_is_sent_to_a_target_of_its_service)
{
    const auto model = testing::small_site();
    const auto out = core.arrive(request_of(1, web, gold, now), now);
    const auto* sent = only<send_to_target>(out);
    CHECK_TRUE(sent != nullptr);
    CHECK_TRUE(model->at(sent->target).service == web);
    CHECK_TRUE(model->at(sent->target).domain == domain_id{0});
}

TEST(flow, a_request_from_another_domain_is_never_forwarded_again)
{
    const auto model = testing::small_site();
    for (std::uint64_t id = 1; id <= 200; ++id) {
        auto request = request_of(id, web, gold, now);
        request.forwarded_by = config::find_host(*model, "b1");
        request.hops = 1;
        for (const action& each : core.arrive(request, now)) {
            CHECK_FALSE(std::holds_alternative<forward_to_host>(each));
        }
    }
}

TEST(flow, slots_of_requests_in_flight_stay_taken_when_ids_change)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        CHECK_TRUE(only<send_to_target>(core.arrive(request_of(id, web, gold, now), now)));
    }
    const auto next =
        testing::small_site({{R"("targets":[)",
                              R"("targets":[{"name":"first","service":"shop","failure_domain":"a",
             "http":"127.2.0.1:80","slots":3,"connections":330},)"}});
    core.apply(next, revision{2}, {now, {}});
    CHECK_FALSE(only<send_to_target>(core.arrive(request_of(7, web, gold, now), now)));
    core.finished(end_of(1, try_outcome::answered), now);
    CHECK_TRUE(only<send_to_target>(core.arrive(request_of(8, web, gold, now), now)));
}
