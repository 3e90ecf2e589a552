#include "bth/dispatch/request_fingerprint.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::dispatch;

const std::string long_body(1000000, 'x');

request_identity usual_request()
{
    return {"Bearer 10", "POST", "shop.example", "/pay/a?b=c", "7", long_body};
}

} // namespace

TEST_GROUP(request_fingerprint){};

TEST(request_fingerprint, is_the_same_for_a_request_that_comes_again)
{
    const std::string same_body = long_body;
    auto again = usual_request();
    again.body = same_body;
    CHECK(fingerprint_of(usual_request()) == fingerprint_of(again));
}

TEST(request_fingerprint, differs_by_each_part)
{
    const auto known = fingerprint_of(usual_request());
    auto other = usual_request();
    other.credentials = "Bearer 11";
    CHECK(fingerprint_of(other) != known);
    other = usual_request();
    other.method = "PUT";
    CHECK(fingerprint_of(other) != known);
    other = usual_request();
    other.path_and_query = "/pay/a?b=d";
    CHECK(fingerprint_of(other) != known);
    other = usual_request();
    other.object = "8";
    CHECK(fingerprint_of(other) != known);
    other = usual_request();
    std::string body = long_body;
    body.back() = 'y';
    other.body = body;
    CHECK(fingerprint_of(other) != known);
}

TEST(request_fingerprint, differs_if_bytes_move_from_one_part_to_the_next)
{
    auto other = usual_request();
    other.host = "shop.exampl";
    other.path_and_query = "e/pay/a?b=c";
    CHECK(fingerprint_of(other) != fingerprint_of(usual_request()));
}
