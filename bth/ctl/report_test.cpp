#include "bth/ctl/confirmation.h"
#include "bth/ctl/report.h"

#include <sstream>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using bth::ctl::call_result;
using bth::ctl::exit_code;
using bth::ctl::output_form;

// clang-format off
TEST_GROUP(report) {};
TEST_GROUP(confirmation) {};
// clang-format on

namespace {

call_result answered(std::string body)
{
    call_result out;
    out.response.emplace();
    out.response->body() = std::move(body);
    return out;
}

exit_code code_of(const call_result& result)
{
    std::ostringstream out;
    return report_edit(out, result, "id-1", output_form::text);
}

} // namespace

TEST(report, each_outcome_has_its_exit_code)
{
    CHECK_TRUE(code_of(answered(R"({"outcome":"accepted"})")) == exit_code::ok);
    CHECK_TRUE(code_of(answered(R"({"outcome":"version_conflict"})")) == exit_code::not_accepted);
    CHECK_TRUE(code_of(answered(R"({"outcome":"id_reused"})")) == exit_code::not_accepted);
    CHECK_TRUE(code_of(answered(R"({"outcome":"text_refused"})")) == exit_code::findings);
    CHECK_TRUE(code_of(answered(R"({"outcome":"too_old"})")) == exit_code::unknown);
    CHECK_TRUE(code_of(answered("<html>")) == exit_code::unknown);
    CHECK_TRUE(code_of(call_result{}) == exit_code::unavailable);
    call_result lost;
    lost.unknown = true;
    CHECK_TRUE(code_of(lost) == exit_code::unknown);
}

TEST(report, json_is_the_answer_word_for_word)
{
    const std::string body = "{\"answer\":\"accepted as 4\",\"outcome\":\"accepted\"}\n";
    std::ostringstream out;
    report_edit(out, answered(body), "id-1", output_form::json);
    STRCMP_EQUAL(body.c_str(), out.str().c_str());
}

TEST(report, the_loser_of_a_race_reads_who_won_and_what_changed)
{
    std::ostringstream out;
    report_edit(out, answered(R"({"outcome":"version_conflict","answer":"not accepted: x","changes":
        [{"version":5,"edit_id":"e","author":"ben","omitted_rows":2,"rows":
        [{"change":"added","section":"drains","name":"host:a","after":"{}"}]}]})"),
                "id-1", output_form::text);
    STRCMP_EQUAL("not accepted: x\n"
                 "  version 5, edit e by ben:\n"
                 "    added drains host:a\n"
                 "      after {}\n"
                 "    and 2 more rows\n",
                 out.str().c_str());
}

TEST(confirmation, hosts_behind_the_version_are_listed)
{
    const std::string status = R"({"confirmations": {"a": 5, "b": 4, "c": null}})";
    const auto missing = bth::ctl::unconfirmed(status, bth::revision{5});
    CHECK_TRUE(missing.known);
    UNSIGNED_LONGS_EQUAL(2, missing.hosts.size());
    STRCMP_EQUAL("b", missing.hosts.at(0).c_str());
    CHECK_FALSE(bth::ctl::unconfirmed(R"({"confirmations": null})", bth::revision{5}).known);
    CHECK_FALSE(bth::ctl::unconfirmed("", bth::revision{5}).known);
}
