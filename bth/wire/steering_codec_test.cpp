#include "bth/wire/steering_codec.h"

#include <cmath>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(steering_codec) {};
// clang-format on

namespace {

using namespace bth;
using bth::wire::bytes;

// Two domains with a host each and two services; `order` moves the rows, as a later revision may.
config::model example_model(bool other_order)
{
    config::model model;
    const std::size_t first = other_order ? 1 : 0;
    model.domains.resize(2);
    model.hosts.resize(2);
    model.services.resize(2);
    model.targets.resize(1);
    model.domains.at(first).name = "one";
    model.domains.at(1 - first).name = "two";
    model.hosts.at(first).name = "entry-one";
    model.hosts.at(1 - first).name = "entry-two";
    model.services.at(first).name = "orders";
    model.services.at(1 - first).name = "stock";
    model.targets.at(0).name = "target-one";
    return model;
}

steering::capacity_grant example_grant()
{
    steering::capacity_grant grant;
    grant.granter = domain_id{1};
    grant.source = domain_id{0};
    grant.incarnation_number = incarnation{9};
    grant.sequence = 12;
    grant.lease = std::chrono::milliseconds{1500};
    grant.capacities = {{service_id{1}, request_rate{40.5}, 3, link_rate{1000}, link_rate{2000}}};
    grant.owner_hints = {{service_id{0}, host_id{1}}, {service_id{1}, std::nullopt}};
    return grant;
}

} // namespace

TEST(steering_codec, rows_are_named_so_that_models_may_differ)
{
    const bytes payload = wire::encode_steering(example_model(false), example_grant());
    const auto read = wire::decode_steering(example_model(true), payload);
    CHECK_TRUE(read.well_formed);
    const auto& grant = std::get<steering::capacity_grant>(read.message.value());
    CHECK_TRUE(grant.granter == domain_id{0});
    CHECK_TRUE(grant.source == domain_id{1});
    CHECK_TRUE(grant.incarnation_number == incarnation{9});
    CHECK_EQUAL(12U, grant.sequence);
    CHECK_TRUE(grant.lease == std::chrono::milliseconds{1500});
    CHECK_TRUE(grant.capacities.at(0).service == service_id{0});
    CHECK_TRUE(grant.capacities.at(0).rate == request_rate{40.5});
    CHECK_TRUE(grant.capacities.at(0).answer_bytes == link_rate{2000});
    CHECK_TRUE(grant.owner_hints.at(0).owner == host_id{0});
    CHECK_FALSE(grant.owner_hints.at(1).owner.has_value());
}

TEST(steering_codec, heartbeat_and_handover_round_trip)
{
    const auto model = example_model(false);
    steering::heartbeat beat;
    beat.incarnation_number = incarnation{4};
    beat.owned = {service_id{0}, service_id{1}};
    beat.denied = {service_id{1}};
    beat.acked_sequence = 77;
    const auto read = wire::decode_steering(model, wire::encode_steering(model, beat));
    const auto& got = std::get<steering::heartbeat>(read.message.value());
    CHECK_TRUE(got.owned == beat.owned && got.denied == beat.denied && got.unable.empty());
    CHECK_EQUAL(77U, got.acked_sequence);

    steering::handover over;
    over.service = service_id{1};
    over.grants = {{domain_id{1}, host_id{1}, incarnation{3}, example_grant().capacities.at(0),
                    std::chrono::milliseconds{20}}};
    over.busy = {{target_id{0}, 2}};
    const auto read_over = wire::decode_steering(model, wire::encode_steering(model, over));
    const auto& got_over = std::get<steering::handover>(read_over.message.value());
    CHECK_TRUE(got_over.grants.at(0).holder == host_id{1});
    CHECK_TRUE(got_over.grants.at(0).remaining == std::chrono::milliseconds{20});
    CHECK_EQUAL(2U, got_over.busy.at(0).count);
}

TEST(steering_codec, shift_claim_keeps_its_history_in_order)
{
    const auto model = example_model(false);
    steering::shift_claim claim;
    claim.service = service_id{1};
    claim.home = domain_id{1};
    claim.settled = request_rate{8};
    claim.history = {{5, 4}, {7, 0}};
    const auto read = wire::decode_steering(model, wire::encode_steering(model, claim));
    const auto& got = std::get<steering::shift_claim>(read.message.value());
    CHECK_EQUAL(2U, got.history.size());
    CHECK_EQUAL(5U, got.history.at(0).served);
    CHECK_EQUAL(4U, got.history.at(0).not_shifted);
    CHECK_EQUAL(7U, got.history.at(1).served);

    claim.history = {{1, 2}};
    CHECK_FALSE(wire::decode_steering(model, wire::encode_steering(model, claim)).well_formed);
}

TEST(steering_codec, unknown_rows_leave_the_message_out_but_are_well_formed)
{
    auto smaller = example_model(false);
    smaller.domains.pop_back();
    const auto read = wire::decode_steering(
        smaller, wire::encode_steering(example_model(false), example_grant()));
    CHECK_TRUE(read.well_formed);
    CHECK_FALSE(read.message.has_value());
}

TEST(steering_codec, numbers_that_make_no_sense_are_refused)
{
    const auto model = example_model(false);
    for (const double bad : {-1.0, HUGE_VAL, std::nan("")}) {
        auto grant = example_grant();
        grant.capacities.at(0).rate = request_rate{bad};
        CHECK_FALSE(wire::decode_steering(model, wire::encode_steering(model, grant)).well_formed);
    }
    CHECK_FALSE(wire::decode_steering(model, {}).well_formed);
}

TEST(steering_codec, random_damage_is_refused_or_read_safely)
{
    constexpr std::uint64_t seed = 4;
    std::mt19937_64 random{seed};
    const auto model = example_model(false);
    const bytes good = wire::encode_steering(model, example_grant());
    for (int round = 0; round < 20000; ++round) {
        bytes damaged = good;
        for (std::uint64_t hits = 1 + random() % 4; hits > 0; --hits) {
            damaged.at(random() % damaged.size()) = static_cast<std::uint8_t>(random());
        }
        const auto read = wire::decode_steering(model, damaged);
        CHECK_TRUE(read.well_formed || !read.message.has_value());
    }
}

TEST(steering_codec, a_shift_claim_keeps_its_slices)
{
    const steering::shift_claim claim{
        service_id{1}, domain_id{0}, request_rate{40.0}, request_rate{10.0}, {{7, 5}, {9, 9}}};
    const bytes payload = wire::encode_steering(example_model(false), claim);
    const auto read = wire::decode_steering(example_model(true), payload);
    const auto& got = std::get<steering::shift_claim>(read.message.value());
    CHECK_TRUE(got.service == service_id{0});
    CHECK_EQUAL(2U, got.history.size());
    CHECK_EQUAL(7U, got.history.at(0).served);
    CHECK_EQUAL(5U, got.history.at(0).not_shifted);
}
