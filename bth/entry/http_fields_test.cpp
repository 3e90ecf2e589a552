#include "bth/entry/http_fields.h"

#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using bth::entry::make_response_head;
using fields = std::vector<std::pair<std::string, std::string>>;

} // namespace

// clang-format off
TEST_GROUP(http_fields) {};
// clang-format on

// An entry host of an earlier build passes on what a target wrote.
TEST(http_fields, head_from_another_host_is_that_of_a_response)
{
    const auto head = make_response_head(204, {{"X-Name", "1"}, {"X-Name", "2"}});
    CHECK_TRUE(head.has_value());
    LONGS_EQUAL(204, head->result_int());
    LONGS_EQUAL(2, head->count("X-Name"));
    for (const unsigned status : {0U, 99U, 100U, 103U, 199U, 600U, 999U}) {
        CHECK_FALSE(make_response_head(status, {}).has_value());
    }
    for (const auto& each :
         {fields{{"X Name", "1"}}, fields{{"X-Name ", "1"}}, fields{{"", "1"}},
          fields{{"X-\x7f", "1"}}, fields{{"X-Name", "1\r\nX-Other: 2"}},
          fields{{"Transfer-Encoding", "gzip"}}, fields{{"Content-Length", "5, 5"}}}) {
        CHECK_FALSE(make_response_head(200, each).has_value());
    }
}
