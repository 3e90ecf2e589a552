#include "bth/base/endpoint.h"

#include <array>
#include <string_view>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(endpoint) {};
// clang-format on

TEST(endpoint, round_trips_the_usual_notation)
{
    for (const std::string_view text : {"0.0.0.0:0", "127.1.0.1:8080", "255.255.255.255:65535"}) {
        const auto parsed = bth::parse_endpoint(text);
        CHECK_TRUE(parsed.has_value());
        CHECK_TRUE(bth::to_string(*parsed) == text);
    }
}

TEST(endpoint, refuses_every_other_text)
{
    for (const std::string_view text : {"", "1.2.3:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536",
                                        "1.2.3.256:1", "01.2.3.4:1", "1.2.3.4:1 ", "a.b.c.d:1"}) {
        CHECK_FALSE(bth::parse_endpoint(text).has_value());
    }
}

TEST(endpoint, block_with_bits_behind_its_length_is_refused)
{
    CHECK_TRUE(bth::parse_ipv4_block("10.3.0.0/16").has_value());
    CHECK_TRUE(bth::parse_ipv4_block("0.0.0.0/0").has_value());
    CHECK_FALSE(bth::parse_ipv4_block("10.3.1.0/16").has_value());
    CHECK_FALSE(bth::parse_ipv4_block("10.3.0.0/33").has_value());
}

TEST(endpoint, block_contains_its_addresses_only)
{
    const auto block = bth::parse_ipv4_block("10.3.0.0/16").value();
    CHECK_TRUE(bth::contains(block, bth::parse_ipv4_address("10.3.255.1").value()));
    CHECK_FALSE(bth::contains(block, bth::parse_ipv4_address("10.4.0.0").value()));
}
