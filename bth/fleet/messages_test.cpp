#include "bth/fleet/messages.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::fleet;
using bth::incarnation;
using bth::ipv4_address;
using bth::route::config_version;

const entry_host host{"10.1.0.1", {ipv4_address{0x0a010001}, 80}, "north", true, 20ms};
const bth::dispatch::target_facts facts{"a", "orders", {ipv4_address{1}, 2}, "north", 3, true, 4ms};

} // namespace

TEST_GROUP(fleet_messages){};

TEST(fleet_messages, a_report_comes_back_whole)
{
    const auto again = decode(encode(
        report{host, config_version{7}, agreed_index{8}, catalog_revision{9}, incarnation{10}}));
    const auto& got = std::get<report>(*again);
    CHECK_TRUE(got.host == host);
    LONGS_EQUAL(7, got.version.value());
    LONGS_EQUAL(8, got.index.value());
    LONGS_EQUAL(9, got.targets.value());
    LONGS_EQUAL(10, got.serving_life.value());
}

TEST(fleet_messages, an_update_comes_back_whole)
{
    update sent;
    sent.life = incarnation{3};
    sent.in_contact = true;
    sent.version = config_version{4};
    sent.index = agreed_index{5};
    sent.text = "text";
    sent.evacuated = {"north"};
    sent.targets = {true, catalog_revision{6}, {facts}, {"b"}};
    sent.control_hosts = {{"10.1.0.2", "north"}};
    sent.entry_count = 9;
    sent.entry_rank = 8;
    const auto again = decode(encode(sent));
    const auto& got = std::get<update>(*again);
    CHECK_TRUE(got.in_contact);
    STRCMP_EQUAL("text", got.text.c_str());
    CHECK_TRUE(got.evacuated == sent.evacuated);
    CHECK_TRUE(got.targets == sent.targets);
    CHECK_TRUE(got.control_hosts == sent.control_hosts);
    LONGS_EQUAL(9, got.entry_count);
    LONGS_EQUAL(8, got.entry_rank);
}

TEST(fleet_messages, no_evacuation_and_no_word_on_evacuations_differ)
{
    update none;
    none.evacuated.emplace();
    CHECK_TRUE(std::get<update>(*decode(encode(none))).evacuated.has_value());
    CHECK_FALSE(std::get<update>(*decode(encode(update{}))).evacuated.has_value());
}

TEST(fleet_messages, a_relay_comes_back_whole)
{
    const auto again =
        decode(encode(relay{{"10.1.0.2", "north"}, {host}, 30ms, 77, std::vector{facts}}));
    const auto& got = std::get<relay>(*again);
    CHECK_TRUE(got.entry_hosts.front() == host);
    CHECK(got.list_age == 30ms);
    LONGS_EQUAL(77, got.list_digest);
    CHECK_TRUE(got.list->front() == facts);
}

TEST(fleet_messages, bytes_that_are_cut_or_damaged_are_refused)
{
    const auto bytes = encode(report{host, {}, {}, {}, {}});
    for (std::size_t size = 0; size < bytes.size(); size += 7) {
        decode(std::string_view{bytes}.substr(0, size));
    }
    CHECK_FALSE(decode("").has_value());
    CHECK_FALSE(decode("damaged bytes, and quite a lot of them").has_value());
}
