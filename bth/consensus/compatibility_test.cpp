// Reads what the build 69769cd wrote, which recorded no failure domains; kept by its own encoder.
#include "bth/consensus/codec.h"

#include <fstream>
#include <iterator>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::consensus;

std::string read_kept(const std::string& name)
{
    std::ifstream file{"compatibility/69769cd/consensus_" + name + ".bin", std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

void check_members(const configuration& members)
{
    const configuration expected{
        {{"10.0.0.1", bth::incarnation{1}}, {"10.0.0.2", bth::incarnation{1}}},
        {{"10.0.0.3", bth::incarnation{77}}}};
    CHECK_TRUE(members == expected);
    CHECK_TRUE(members.domains.empty());
}

} // namespace

// clang-format off
TEST_GROUP(consensus_compatibility) {};
// clang-format on

TEST(consensus_compatibility, log_and_snapshot_without_domains_are_read)
{
    const auto batch = decode_batch(read_kept("batch"));
    CHECK_TRUE(batch.has_value());
    check_members(batch->entries.at(1).members);
    const auto taken = decode_snapshot(read_kept("snapshot"));
    CHECK_TRUE(taken.has_value());
    check_members(taken->members);
    // Members without a domain are written as before, byte by byte.
    CHECK_TRUE(encode(*batch) == read_kept("batch"));
    CHECK_TRUE(encode(*taken) == read_kept("snapshot"));
}

TEST(consensus_compatibility, messages_without_domains_are_read)
{
    const auto append = decode_envelope(read_kept("append"));
    CHECK_TRUE(append.has_value());
    check_members(std::get<append_request>(append->body).entries.at(1).members);
    const auto install = decode_envelope(read_kept("install"));
    CHECK_TRUE(install.has_value());
    check_members(std::get<snapshot_request>(install->body).members);
    const auto join = decode_envelope(read_kept("join"));
    CHECK_TRUE(join.has_value());
    STRCMP_EQUAL("", std::get<join_request>(join->body).domain.c_str());
}
