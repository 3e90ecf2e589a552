// Targets whose answers are cut, or that answer a request once more.
#include "bth/gateway/target_send.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
namespace asio = boost::asio;
using asio::ip::tcp;
using bth::dispatch::send_outcome;

enum class connection_end : std::uint8_t { close, reset };

// Answers each request, on whatever connection, with the next of `answers`, and ends the connection
// of the last one.
struct scripted_target {
    scripted_target(asio::io_context& context, std::vector<std::string> given_answers,
                    connection_end given_end)
        : acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}},
          answers{std::move(given_answers)}, end{given_end}
    {}

    tcp::acceptor acceptor;
    std::vector<std::string> answers;
    connection_end end;
    std::size_t next{};
    std::size_t connections{};
};

asio::awaitable<void> answer_all(std::shared_ptr<scripted_target> target, tcp::socket socket)
{
    std::array<char, 4096> request{};
    boost::system::error_code error;
    while (target->next < target->answers.size()) {
        co_await socket.async_read_some(asio::buffer(request),
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        co_await asio::async_write(socket, asio::buffer(target->answers.at(target->next++)),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (target->end == connection_end::reset) {
        socket.set_option(asio::socket_base::linger{true, 0}, error);
        // The destructor of the socket would take the option back.
        socket.close(error);
    }
}

asio::awaitable<void> accept_all(std::shared_ptr<scripted_target> target)
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await target->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        ++target->connections;
        asio::co_spawn(target->acceptor.get_executor(), answer_all(target, std::move(socket)),
                       asio::detached);
    }
}

struct attempts {
    std::vector<send_result> results;
    std::size_t connections{};
};

// Answers the requests of all connections like scripted_target. Before each answer but the first
// one, it writes the answer before that once more, on the connection where it wrote that.
struct repeating_target {
    repeating_target(asio::io_context& context, std::vector<std::string> given_answers)
        : acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}, answers{std::move(
                                                                                     given_answers)}
    {}

    tcp::acceptor acceptor;
    std::vector<std::string> answers;
    std::size_t next{};
    // The connection of the last answer.
    std::shared_ptr<tcp::socket> last;
    std::size_t connections{};
};

asio::awaitable<void> answer_and_repeat(std::shared_ptr<repeating_target> target,
                                        std::shared_ptr<tcp::socket> socket)
{
    std::array<char, 4096> request{};
    boost::system::error_code error;
    while (true) {
        co_await socket->async_read_some(asio::buffer(request),
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error || target->next == target->answers.size()) {
            co_return;
        }
        if (target->last) {
            co_await asio::async_write(*target->last,
                                       asio::buffer(target->answers.at(target->next - 1)),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        target->last = socket;
        co_await asio::async_write(*socket, asio::buffer(target->answers.at(target->next++)),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> accept_all(std::shared_ptr<repeating_target> target)
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await target->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        ++target->connections;
        asio::co_spawn(target->acceptor.get_executor(),
                       answer_and_repeat(target, std::make_shared<tcp::socket>(std::move(socket))),
                       asio::detached);
    }
}

// Sends a request for each of `ids`, one after the other, each with a deadline of 5 s.
template <typename Target>
attempts send_in_turn(asio::io_context& context, const std::vector<std::string>& ids,
                      const std::shared_ptr<Target>& target)
{
    asio::co_spawn(context, accept_all(target), asio::detached);
    target_connection_pool pool;
    field_names names;
    names.request_id = "X-Id";
    names.receipt = "X-Receipt";
    names.not_run = "X-Not-Run";
    names.load = "X-Load";
    names.leaving = "X-Leaving";
    names.limit = "X-Limit";
    attempts out;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (const auto& id : ids) {
                const auto control = std::make_shared<send_control>();
                asio::steady_timer deadline{context, 5s};
                deadline.async_wait([control](const boost::system::error_code& error) {
                    if (!error) {
                        control->deadline_passed = true;
                        control->abort();
                    }
                });
                const std::string id_line = id.empty() ? "" : "X-Id: " + id + "\r\n";
                target_request request{
                    "t",   {{0x7f000001}, target->acceptor.local_endpoint().port()},
                    id,    "GET / HTTP/1.1\r\n" + id_line + "\r\n",
                    false, 1s,
                    1s,    &names,
                    {}};
                out.results.push_back(co_await send_to_target(pool, control, std::move(request)));
                deadline.cancel();
            }
            target->acceptor.close();
            pool.clear();
        },
        asio::detached);
    context.run();
    out.connections = target->connections;
    return out;
}

attempts send_in_turn(const std::vector<std::string>& ids, std::vector<std::string> answers,
                      connection_end end = connection_end::close)
{
    asio::io_context context;
    return send_in_turn(context, ids,
                        std::make_shared<scripted_target>(context, std::move(answers), end));
}

std::string answer_to(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Receipt: r\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal_of(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id +
           "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string refusal_without_id =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// clang-format off
TEST_GROUP(faulty_target) {};
// clang-format on

TEST(faulty_target, refusal_written_once_more_is_not_taken_for_that_of_the_next_request)
{
    for (const std::string status : {"503 Full", "429 Many", "421 Other", "400 Bad", "408 Late"}) {
        const auto again = "HTTP/1.1 " + status + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        const auto seen = send_in_turn({"1", "2"}, {again, again + answer_to("2", "two")});
        LONGS_EQUAL(1, seen.connections);
        LONGS_EQUAL(2, seen.results.size());
        const auto& second = seen.results.back();
        CHECK_TRUE(second.outcome == send_outcome::answered);
        CHECK_TRUE(second.may_have_run);
        STRCMP_EQUAL("two", second.response->body.c_str());
    }
}

// A payment that another host handed over twice was refused as not run though it ran: the copy of
// its first refusal has its id, so that it counted for the second attempt.
TEST(faulty_target, refusal_written_once_more_is_not_taken_for_that_of_a_later_attempt)
{
    asio::io_context context;
    const auto target = std::make_shared<repeating_target>(
        context, std::vector{refusal_of("1"), answer_to("1", "one")});
    const auto seen = send_in_turn(context, {"1", "1"}, target);
    LONGS_EQUAL(2, seen.results.size());
    CHECK_TRUE(seen.results.front().outcome == send_outcome::shed);
    const auto& second = seen.results.back();
    CHECK_TRUE(second.outcome == send_outcome::answered);
    CHECK_TRUE(second.may_have_run);
    STRCMP_EQUAL("one", second.response->body.c_str());
    LONGS_EQUAL(2, seen.connections);
}

// The same for a failure, after which a request may be sent again as well.
TEST(faulty_target, failure_written_once_more_is_not_taken_for_that_of_a_later_attempt)
{
    const std::string failure =
        "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nX-Receipt: r\r\nContent-Length: 0\r\n\r\n";
    asio::io_context context;
    const auto target =
        std::make_shared<repeating_target>(context, std::vector{failure, answer_to("1", "one")});
    const auto seen = send_in_turn(context, {"1", "1"}, target);
    CHECK_TRUE(seen.results.front().outcome == send_outcome::failed);
    CHECK_TRUE(seen.results.back().outcome == send_outcome::answered);
}

// Other requests go on using a connection behind a refusal: new connections are expensive.
TEST(faulty_target, connection_that_carried_refusals_is_kept_for_other_requests)
{
    std::vector<std::string> ids;
    std::vector<std::string> answers;
    for (std::size_t i = 0; i <= target_connection::max_unfinished_requests; ++i) {
        ids.push_back(std::to_string(i));
        answers.push_back(refusal_of(ids.back()));
    }
    const auto seen = send_in_turn(ids, answers);
    LONGS_EQUAL(2, seen.connections);
    for (const auto& each : seen.results) {
        CHECK_TRUE(each.outcome == send_outcome::shed);
    }
}

// An interim response without a request id was passed on as the final one, so that callers took
// each response of the connection for that to their request before.
TEST(faulty_target, interim_response_is_passed_over)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const auto seen = send_in_turn(
        {"1", "2"}, {interim + answer_to("1", "one"), interim + interim + answer_to("2", "two")});
    LONGS_EQUAL(1, seen.connections);
    LONGS_EQUAL(2, seen.results.size());
    STRCMP_EQUAL("one", seen.results.front().response->body.c_str());
    STRCMP_EQUAL("two", seen.results.back().response->body.c_str());
}

// What follows 101 isn't HTTP.
TEST(faulty_target, switch_of_protocols_is_no_answer)
{
    const auto seen =
        send_in_turn({"1"}, {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer_to("1", "one")});
    CHECK_TRUE(seen.results.front().outcome == send_outcome::broken);
    CHECK_TRUE(seen.results.front().may_have_run);
}

// A status of 000 was passed on without a length, and its body stood before the next answer.
TEST(faulty_target, head_that_is_no_response_is_no_answer)
{
    const std::string rest = "X-Id: 1\r\nX-Receipt: r\r\nContent-Length: 6\r\n\r\nerror\n";
    for (const auto& answer :
         {"HTTP/1.1 000 -\r\n" + rest, "HTTP/1.1 099 -\r\n" + rest, "HTTP/1.1 600 -\r\n" + rest,
          "HTTP/1.1 999 -\r\n" + rest, "HTTP/1.1 000 -\r\nX-Not-Run: 1\r\n" + rest,
          "HTTP/1.1 404 No\r\nTransfer-Encoding: gzip\r\n" + rest,
          "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nTransfer-Encoding: gzip\r\n" + rest,
          std::string{"HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\nTransfer-Encoding: chunked"
                      "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}}) {
        const auto seen = send_in_turn({"1", "2"}, {answer, answer_to("2", "two")});
        LONGS_EQUAL(2, seen.results.size());
        LONGS_EQUAL(2, seen.connections);
        const auto& first = seen.results.front();
        CHECK_TRUE_TEXT(first.outcome == send_outcome::broken, answer.c_str());
        CHECK_TRUE_TEXT(first.may_have_run, answer.c_str());
        CHECK_FALSE(first.response.has_value());
        STRCMP_EQUAL("two", seen.results.back().response->body.c_str());
    }
}

// Other systems passed on such a line, or a body that the name had changed.
TEST(faulty_target, field_name_with_a_blank_or_a_control_byte_is_no_answer)
{
    for (int byte = 0; byte <= 0x7f; byte = byte == 0x20 ? 0x7f : byte + 1) {
        const std::string each(1, static_cast<char>(byte));
        for (const auto& name :
             {each + "Content-Length", "Content" + each + "Length", "Content-Length" + each}) {
            const auto seen =
                send_in_turn({"1"}, {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n" + name +
                                     ": 2\r\nContent-Length: 4\r\n\r\nbody"});
            CHECK_TRUE_TEXT(seen.results.front().outcome == send_outcome::broken, name.c_str());
            CHECK_TRUE(seen.results.front().may_have_run);
        }
    }
}

// It would hold the attempt until its deadline.
TEST(faulty_target, body_behind_a_head_that_is_no_response_is_not_awaited)
{
    const auto started_at = std::chrono::steady_clock::now();
    // The target goes on with the connection, so that only the head tells.
    const auto seen =
        send_in_turn({"1", "2"}, {"HTTP/1.1 000 -\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\n",
                                  answer_to("2", "two")});
    CHECK_TRUE(seen.results.front().outcome == send_outcome::broken);
    CHECK_TRUE(std::chrono::steady_clock::now() - started_at < 4s);
}

// A field behind the last chunk made a request that had run one that had not, and a body without
// the target's receipt a success.
TEST(faulty_target, field_behind_the_body_is_no_part_of_the_head)
{
    const std::string body = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    const auto ran = send_in_turn({"1"}, {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n" + body +
                                          "X-Not-Run: 1\r\nX-Late: 1\r\n\r\n"})
                         .results.front();
    CHECK_TRUE(ran.outcome == send_outcome::answered);
    CHECK_TRUE(ran.may_have_run);
    STRCMP_EQUAL("X-Id: 1\r\nX-Receipt: r\r\n", ran.response->header_lines.c_str());
    STRCMP_EQUAL("body", ran.response->body.c_str());
    const auto without_receipt =
        send_in_turn({"1"}, {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + body + "X-Receipt: r\r\n\r\n"})
            .results.front();
    CHECK_TRUE(without_receipt.outcome == send_outcome::broken);
}

TEST(faulty_target, success_with_an_unknown_transfer_coding_is_no_answer)
{
    const auto seen = send_in_turn(
        {"1"}, {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\nTransfer-Encoding: gzip, chunked"
                "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"});
    CHECK_TRUE(seen.results.front().outcome == send_outcome::broken);
}

TEST(faulty_target, request_behind_a_refusal_written_once_more_may_have_run)
{
    const auto seen = send_in_turn({"1", "2"}, {answer_to("1", "one"), refusal_without_id});
    LONGS_EQUAL(1, seen.connections);
    const auto& second = seen.results.back();
    CHECK_TRUE(second.outcome == send_outcome::broken);
    CHECK_TRUE(second.may_have_run);
    CHECK_FALSE(second.response.has_value());
}

// Nothing but the connection tells whose answer it is.
TEST(faulty_target, request_without_id_has_a_connection_of_its_own)
{
    const std::string without_id =
        "HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\nbody";
    const auto seen = send_in_turn({"1", "", "", "4"}, {answer_to("1", "body"), without_id,
                                                        without_id, answer_to("4", "body")});
    LONGS_EQUAL(3, seen.connections);
    LONGS_EQUAL(4, seen.results.size());
    for (const auto& each : seen.results) {
        CHECK_TRUE(each.outcome == send_outcome::answered);
        STRCMP_EQUAL("body", each.response->body.c_str());
    }
}

TEST(faulty_target, refusal_without_id_counts_on_a_new_connection)
{
    const auto seen = send_in_turn({"1"}, {refusal_without_id});
    CHECK_TRUE(seen.results.front().outcome == send_outcome::shed);
    CHECK_FALSE(seen.results.front().may_have_run);
}

TEST(faulty_target, answer_cut_at_any_byte_is_no_answer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n";
    const std::vector<std::string> wholes{
        answer_to("1", "body"),
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        head + "Connection: close\r\nContent-Length: 0\r\n\r\n",
    };
    for (const auto& whole : wholes) {
        for (const auto end : {connection_end::close, connection_end::reset}) {
            for (std::size_t size = 0; size < whole.size(); ++size) {
                const auto seen = send_in_turn({"1"}, {whole.substr(0, size)}, end);
                const auto& result = seen.results.front();
                CHECK_TRUE(result.outcome == send_outcome::broken);
                CHECK_TRUE(result.may_have_run);
                CHECK_FALSE(result.response.has_value());
            }
        }
        CHECK_TRUE(send_in_turn({"1"}, {whole}).results.front().outcome == send_outcome::answered);
    }
}

// The body ends with the connection, so that only a cut head or a reset shows.
TEST(faulty_target, answer_without_length_is_no_answer_if_its_head_is_cut_or_its_end_is_a_reset)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n\r\n";
    const std::string whole = head + "body";
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        const auto reset = send_in_turn({"1"}, {whole.substr(0, size)}, connection_end::reset);
        CHECK_TRUE(reset.results.front().outcome == send_outcome::broken);
        const auto closed = send_in_turn({"1"}, {whole.substr(0, size)});
        const bool has_head = size >= head.size();
        CHECK_TRUE(closed.results.front().outcome ==
                   (has_head ? send_outcome::answered : send_outcome::broken));
    }
}
