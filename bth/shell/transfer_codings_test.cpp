#include "bth/shell/transfer_codings.h"

#include <initializer_list>

#include <CppUTest/TestHarness.h>

namespace {

using bth::shell::transfer_codings;

transfer_codings codings_of(std::initializer_list<const char*> values)
{
    boost::beast::http::fields message;
    for (const auto* each : values) {
        message.insert(boost::beast::http::field::transfer_encoding, each);
    }
    return bth::shell::transfer_codings_of(message);
}

} // namespace

// clang-format off
TEST_GROUP(transfer_codings) {};
// clang-format on

// The body of a request that isn't framed as it seems was run as a request of its own.
TEST(transfer_codings, only_chunked_alone_tells_the_end_of_a_request)
{
    CHECK_TRUE(codings_of({}) == transfer_codings::readable);
    CHECK_TRUE(codings_of({"chunked"}) == transfer_codings::readable);
    CHECK_TRUE(codings_of({" Chunked "}) == transfer_codings::readable);
    for (const auto* each : {"gzip", "identity", "chunked, gzip", "xchunked", ""}) {
        CHECK_TRUE(codings_of({each}) == transfer_codings::no_length);
    }
    CHECK_TRUE(codings_of({"chunked", "gzip"}) == transfer_codings::no_length);
    CHECK_TRUE(codings_of({"gzip, chunked"}) == transfer_codings::unknown);
    CHECK_TRUE(codings_of({"gzip", "chunked"}) == transfer_codings::unknown);
    CHECK_TRUE(codings_of({"chunked, chunked"}) == transfer_codings::unknown);
}
