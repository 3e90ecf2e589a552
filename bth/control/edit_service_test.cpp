#include "bth/control/edit_service.h"

#include "bth/control/local_proposer.h"
#include "bth/control/testing/sample_text.h"
#include "bth/shell/files.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <log4cplus/logger.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using boost::beast::http::verb;
using bth::revision;
using bth::control::edit;
using bth::control::proposal_failure;
using bth::control::proposal_failure_reason;
using bth::control::testing::sample_text;
using bth::shell::http_request;
using bth::shell::http_response;

// clang-format off
TEST_GROUP(edit_service) {};
TEST_GROUP(local_proposer)
{
    // The logging library keeps its loggers until the process ends, outside of the leak check.
    void setup() override
    {
        MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
        log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
        log4cplus::Logger::getInstance("control");
        MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    }
};
// clang-format on

namespace {

constexpr std::uint32_t ids_kept = 100;

// Decides by a book in memory, or fails as told.
struct fake_proposer {
    boost::asio::awaitable<tl::expected<bth::control::applied_edit, proposal_failure>>
    propose(edit one)
    {
        if (this->failure) {
            co_return tl::unexpected{*this->failure};
        }
        co_return this->book.apply(one);
    }

    boost::asio::awaitable<tl::expected<bth::control::accepted_text, proposal_failure>> read()
    {
        if (this->failure) {
            co_return tl::unexpected{*this->failure};
        }
        co_return bth::control::accepted_text{this->book.version(), this->book.text()};
    }

    bth::control::control_status status() const
    {
        bth::control::control_status out;
        out.host = "c1";
        out.role = "leader";
        out.version = this->book.version();
        out.members.push_back({"c1", "<leader>", out.version});
        return out;
    }

    bth::control::edit_book book;
    std::optional<proposal_failure> failure;
};

using service = bth::control::edit_service<fake_proposer>;

// Runs a coroutine that never waits for anything outside.
template <class Result>
Result result_of(boost::asio::awaitable<Result> work)
{
    boost::asio::io_context context;
    std::optional<Result> out;
    boost::asio::co_spawn(
        context, [&]() -> boost::asio::awaitable<void> { out.emplace(co_await std::move(work)); },
        boost::asio::detached);
    context.run();
    CHECK_TRUE(out.has_value());
    return std::move(*out);
}

http_response ask(const std::shared_ptr<service>& at, verb method, const std::string& path,
                  std::string body = {})
{
    http_request request{method, path, 11};
    request.body() = std::move(body);
    return result_of(at->handler()(std::move(request)));
}

edit text_edit(std::string id, std::uint64_t expected, int slots)
{
    return {std::move(id), revision{expected}, "ada", bth::control::text_change{sample_text(slots)},
            ids_kept};
}

http_response submit(const std::shared_ptr<service>& at, const edit& one)
{
    return ask(at, verb::post, "/edits", write_edit_request(one));
}

bool shows(const http_response& response, const std::string& part)
{
    return response.body().find(part) != std::string::npos;
}

// A folder of its own for each test.
struct scratch_folder {
    scratch_folder()
    {
        std::string pattern = "/tmp/bth-control-test-XXXXXX";
        this->path = ::mkdtemp(pattern.data());
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder() { std::filesystem::remove_all(this->path); }

    std::string path;
};

// A data folder whose snapshot can't be written until it is mended.
class broken_disk {
public:
    explicit broken_disk(const std::string& folder) : obstacle{folder + "/edits.snapshot.new"}
    {
        std::filesystem::create_directory(this->obstacle);
    }
    void mend() const { std::filesystem::remove(this->obstacle); }

private:
    std::string obstacle;
};

} // namespace

TEST(edit_service, edits_are_answered_with_status_and_body)
{
    fake_proposer decider;
    const auto at = std::make_shared<service>(decider, ids_kept);
    const auto accepted = submit(at, text_edit("a", 0, 3));
    UNSIGNED_LONGS_EQUAL(200, accepted.result_int());
    const auto again = submit(at, text_edit("a", 0, 3));
    STRCMP_EQUAL(accepted.body().c_str(), again.body().c_str());
    UNSIGNED_LONGS_EQUAL(409, submit(at, text_edit("b", 0, 4)).result_int());
    const edit bad{"c", revision{1}, "ada", bth::control::text_change{"{}"}, ids_kept};
    UNSIGNED_LONGS_EQUAL(422, submit(at, bad).result_int());
    UNSIGNED_LONGS_EQUAL(400, ask(at, verb::post, "/edits", "{").result_int());
    UNSIGNED_LONGS_EQUAL(404, ask(at, verb::get, "/edits").result_int());
    const auto text = ask(at, verb::get, "/text");
    STRCMP_EQUAL(sample_text(3).c_str(), text.body().c_str());
    STRCMP_EQUAL("1", std::string{text["Bth-Version"]}.c_str());
}

TEST(edit_service, no_decision_is_never_passed_off_as_one)
{
    fake_proposer decider;
    const auto at = std::make_shared<service>(decider, ids_kept);
    decider.failure = {proposal_failure_reason::no_quorum, bth::run_state::no, "no majority"};
    const auto refused = submit(at, text_edit("a", 0, 3));
    UNSIGNED_LONGS_EQUAL(503, refused.result_int());
    CHECK_TRUE(shows(refused, "not accepted: no majority"));
    UNSIGNED_LONGS_EQUAL(503, ask(at, verb::get, "/text").result_int());
    decider.failure->accepted = bth::run_state::unknown;
    const auto unknown = submit(at, text_edit("a", 0, 3));
    UNSIGNED_LONGS_EQUAL(504, unknown.result_int());
    CHECK_TRUE(shows(unknown, "unknown: resend with the same id"));
}

TEST(edit_service, each_outcome_has_its_counter)
{
    fake_proposer decider;
    const auto at = std::make_shared<service>(decider, ids_kept);
    submit(at, text_edit("a", 0, 3));
    submit(at, text_edit("a", 0, 3));
    submit(at, text_edit("a", 0, 5));
    submit(at, text_edit("b", 0, 4));
    ask(at, verb::post, "/edits", "{");
    decider.failure = {proposal_failure_reason::no_quorum, bth::run_state::unknown, ""};
    submit(at, text_edit("c", 1, 4));
    const auto page = ask(at, verb::get, "/metrics");
    for (const char* line :
         {"bth_control_edits_total{outcome=\"accepted\"} 1",
          "bth_control_edits_total{outcome=\"version_conflict\"} 1",
          "bth_control_edits_total{outcome=\"id_reused\"} 1",
          "bth_control_edits_total{outcome=\"text_refused\"} 0",
          "bth_control_edits_undecided_total{accepted=\"unknown\",reason=\"no_quorum\"} 1",
          "bth_control_edits_undecided_total{accepted=\"no\",reason=\"no_quorum\"} 0",
          "bth_control_edit_resends_total 1", "bth_control_bad_requests_total 1",
          "bth_control_version 1"}) {
        CHECK_TRUE_TEXT(shows(page, std::string{line} + "\n"), line);
    }
}

TEST(edit_service, status_is_shown_as_json_and_as_an_escaped_page)
{
    fake_proposer decider;
    const auto at = std::make_shared<service>(decider, ids_kept);
    CHECK_TRUE(shows(ask(at, verb::get, "/status?x=1"), "\"version\" : 0"));
    const auto page = ask(at, verb::get, "/");
    CHECK_TRUE(shows(page, "&lt;leader&gt;"));
    CHECK_FALSE(shows(page, "<leader>"));
}

TEST(local_proposer, answers_survive_a_restart)
{
    const scratch_folder folder;
    std::string first;
    {
        auto decider = bth::control::local_proposer::open("c1", folder.path);
        CHECK_TRUE(decider.has_value());
        first = result_of(decider->propose(text_edit("a", 0, 3)))->answer.body;
    }
    auto decider = bth::control::local_proposer::open("c1", folder.path);
    CHECK_TRUE(decider.has_value());
    const auto again = result_of(decider->propose(text_edit("a", 0, 3)));
    CHECK_TRUE(again->resend);
    STRCMP_EQUAL(first.c_str(), again->answer.body.c_str());
    UNSIGNED_LONGS_EQUAL(1, decider->status().version.value());
}

TEST(local_proposer, a_failed_save_is_unknown_and_once_the_disk_takes_writes_edits_go_on)
{
    const scratch_folder folder;
    auto decider = bth::control::local_proposer::open("c1", folder.path);
    CHECK_TRUE(decider.has_value());
    CHECK_TRUE(result_of(decider->propose(text_edit("a", 0, 3))).has_value());
    const broken_disk broken{folder.path};
    const auto lost = result_of(decider->propose(text_edit("b", 1, 4)));
    CHECK_FALSE(lost.has_value());
    CHECK_TRUE(lost.error().accepted == bth::run_state::unknown);
    STRCMP_EQUAL("stopped", decider->status().role.c_str());
    STRCMP_EQUAL("stopped", decider->status().members.front().role.c_str());
    STRCMP_EQUAL("", decider->status().leader.c_str());
    const auto again = result_of(decider->propose(text_edit("b", 1, 4)));
    CHECK_TRUE(again.error().accepted == bth::run_state::unknown);
    const auto other = result_of(decider->propose(text_edit("c", 1, 5)));
    CHECK_TRUE(other.error().accepted == bth::run_state::no);
    CHECK_FALSE(result_of(decider->read()).has_value());
    STRCMP_EQUAL("stopped", decider->status().role.c_str());
    broken.mend();
    const auto resent = result_of(decider->propose(text_edit("b", 1, 4)));
    CHECK_TRUE(resent.has_value());
    UNSIGNED_LONGS_EQUAL(2, resent->answer.version.value());
    STRCMP_EQUAL("leader", decider->status().role.c_str());
    UNSIGNED_LONGS_EQUAL(2, result_of(decider->read())->version.value());
    UNSIGNED_LONGS_EQUAL(2, decider->status().version.value());
}

TEST(local_proposer, an_edit_whose_save_failed_late_is_kept_once)
{
    const scratch_folder folder;
    auto decider = bth::control::local_proposer::open("c1", folder.path);
    CHECK_TRUE(result_of(decider->propose(text_edit("a", 0, 3))).has_value());
    const broken_disk broken{folder.path};
    CHECK_FALSE(result_of(decider->propose(text_edit("b", 1, 4))).has_value());
    // The disk holds the edit, as after a failed sync of the folder.
    broken.mend();
    bth::control::edit_book both;
    both.apply(text_edit("a", 0, 3));
    both.apply(text_edit("b", 1, 4));
    const auto bytes = both.snapshot();
    std::ofstream{folder.path + "/edits.snapshot", std::ios::binary}
        << std::string{bytes.begin(), bytes.end()};
    const auto resent = result_of(decider->propose(text_edit("b", 1, 4)));
    CHECK_TRUE(resent.has_value());
    CHECK_TRUE(resent->resend);
    UNSIGNED_LONGS_EQUAL(2, resent->answer.version.value());
    UNSIGNED_LONGS_EQUAL(2, result_of(decider->read())->version.value());
}

TEST(local_proposer, a_read_finds_the_first_edit_of_a_blank_folder_not_applied)
{
    const scratch_folder folder;
    auto decider = bth::control::local_proposer::open("c1", folder.path);
    const broken_disk broken{folder.path};
    CHECK_FALSE(result_of(decider->propose(text_edit("a", 0, 3))).has_value());
    broken.mend();
    const auto read = result_of(decider->read());
    CHECK_TRUE(read.has_value());
    UNSIGNED_LONGS_EQUAL(0, read->version.value());
    CHECK_FALSE(result_of(decider->propose(text_edit("b", 0, 4)))->resend);
    CHECK_TRUE(result_of(decider->propose(text_edit("a", 0, 3)))->answer.outcome ==
               bth::control::edit_outcome::version_conflict);
}

TEST(local_proposer, a_disk_that_holds_something_else_stays_refused_and_unchanged)
{
    for (const bool damaged : {false, true}) {
        const scratch_folder folder;
        auto decider = bth::control::local_proposer::open("c1", folder.path);
        CHECK_TRUE(result_of(decider->propose(text_edit("a", 0, 3))).has_value());
        const broken_disk broken{folder.path};
        CHECK_FALSE(result_of(decider->propose(text_edit("b", 1, 4))).has_value());
        broken.mend();
        bth::control::edit_book foreign;
        foreign.apply(text_edit("x", 0, 7));
        const auto bytes = damaged ? std::vector<std::uint8_t>{1, 2, 3} : foreign.snapshot();
        const std::string put{bytes.begin(), bytes.end()};
        std::ofstream{folder.path + "/edits.snapshot", std::ios::binary} << put;
        CHECK_FALSE(result_of(decider->propose(text_edit("c", 1, 5))).has_value());
        CHECK_FALSE(result_of(decider->read()).has_value());
        STRCMP_EQUAL("stopped", decider->status().role.c_str());
        CHECK_TRUE(bth::shell::read_file(folder.path + "/edits.snapshot").value() == put);
    }
}

TEST(local_proposer, a_folder_that_is_missing_taken_or_damaged_is_refused)
{
    const scratch_folder folder;
    CHECK_FALSE(bth::control::local_proposer::open("c1", folder.path + "/none").has_value());
    {
        const auto first = bth::control::local_proposer::open("c1", folder.path);
        CHECK_TRUE(first.has_value());
        CHECK_FALSE(bth::control::local_proposer::open("c1", folder.path).has_value());
    }
    const auto opened = bth::control::data_folder::open(folder.path);
    CHECK_TRUE(opened->replace_snapshot({1, 2, 3}).has_value());
    CHECK_FALSE(bth::control::local_proposer::open("c1", folder.path).has_value());
}
