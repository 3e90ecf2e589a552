// Targets whose answers have no end. They run as coroutines beside the code under test.
#include "bth/gateway/target_send.h"

#include "bth/shell/net.h"
#include "bth/shell/receive_budget.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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

const std::string answer_start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n";

// A target that answers each request with `first` and then repeats `rest` until its caller closes.
struct endless_target {
    explicit endless_target(asio::io_context& context)
        : acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
    {}

    tcp::acceptor acceptor;
    std::string first;
    std::string rest;
    // The pause before each part.
    std::chrono::milliseconds pause{0};
    std::size_t written{};
    std::size_t closed{};
    // Called after each part.
    std::function<void()> on_written{[] {
    }};
};

asio::awaitable<void> write_endlessly(std::shared_ptr<endless_target> target, tcp::socket socket)
{
    std::array<char, 4096> request{};
    boost::system::error_code error;
    co_await socket.async_read_some(asio::buffer(request),
                                    asio::redirect_error(asio::use_awaitable, error));
    target->written += co_await asio::async_write(socket, asio::buffer(target->first),
                                                  asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer{socket.get_executor()};
    while (!error) {
        if (target->pause > 0ms) {
            timer.expires_after(target->pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        target->written += co_await asio::async_write(
            socket, asio::buffer(target->rest), asio::redirect_error(asio::use_awaitable, error));
        target->on_written();
    }
    ++target->closed;
}

asio::awaitable<void> accept_all(std::shared_ptr<endless_target> target)
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await target->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(target->acceptor.get_executor(), write_endlessly(target, std::move(socket)),
                       asio::detached);
    }
}

struct attempts_result {
    std::vector<send_result> results;
    std::chrono::milliseconds longest{};
    std::size_t bytes_sent{};
    // The most bytes of responses that were held at a time.
    std::size_t most_held{};
    std::size_t connections_closed{};
};

// Sends `count` requests at once, each with a deadline of 1.5 s.
attempts_result send_to_endless_target(const std::string& first, const std::string& rest,
                                       std::size_t count = 1, std::chrono::milliseconds pause = 0ms)
{
    asio::io_context context;
    const auto target = std::make_shared<endless_target>(context);
    target->first = first;
    target->rest = rest;
    target->pause = pause;
    asio::co_spawn(context, accept_all(target), asio::detached);
    target_connection_pool pool;
    field_names names;
    names.request_id = "X-Id";
    names.receipt = "X-Receipt";
    names.not_run = "X-Not-Run";
    names.load = "X-Load";
    names.leaving = "X-Leaving";
    names.limit = "X-Limit";
    attempts_result out;
    target->on_written = [&] {
        out.most_held = std::max(out.most_held, pool.responses().bytes());
    };
    const auto attempt = [&]() -> asio::awaitable<void> {
        const auto control = std::make_shared<send_control>();
        asio::steady_timer deadline{context, 1500ms};
        deadline.async_wait([control](const boost::system::error_code& error) {
            if (!error) {
                control->deadline_passed = true;
                control->abort();
            }
        });
        const auto started = std::chrono::steady_clock::now();
        target_request request{"t",   {{0x7f000001}, target->acceptor.local_endpoint().port()},
                               "1",   "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n",
                               false, 1s,
                               1s,    &names,
                               {}};
        auto result = co_await send_to_target(pool, control, std::move(request));
        deadline.cancel();
        out.longest = std::max(out.longest, std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::steady_clock::now() - started));
        out.results.push_back(std::move(result));
        if (out.results.size() == count) {
            target->acceptor.close();
        }
    };
    for (std::size_t i = 0; i < count; ++i) {
        asio::co_spawn(context, attempt, asio::detached);
    }
    context.run();
    out.bytes_sent = target->written;
    out.connections_closed = target->closed;
    return out;
}

constexpr std::size_t mebibyte = 1024UL * 1024;
const std::string block(64UL * 1024, 'x');

void check_bounded(const attempts_result& seen, std::size_t count, std::size_t max_bytes)
{
    LONGS_EQUAL(count, seen.results.size());
    for (const auto& each : seen.results) {
        CHECK_TRUE(each.outcome != send_outcome::answered);
        CHECK_FALSE(each.response.has_value());
        CHECK_TRUE(each.may_have_run);
    }
    CHECK_TRUE(seen.longest < 2500ms);
    LONGS_EQUAL(count, seen.connections_closed);
    // One more part of each may arrive before it is given up.
    CHECK_COMPARE(seen.most_held, <=, bth::shell::receive_limits{}.shared + count * mebibyte);
    // Socket buffers of the system hold some MiB of what was written.
    CHECK_COMPARE(seen.bytes_sent, <, max_bytes + count * 8 * mebibyte);
}

} // namespace

// clang-format off
TEST_GROUP(endless_answer) {};
TEST_GROUP(target_send) {};
// clang-format on

TEST(endless_answer, head_without_end_is_given_up)
{
    const std::string field = "X-More: " + std::string(1000, 'y') + "\r\n";
    check_bounded(send_to_endless_target(answer_start, field), 1, mebibyte);
    check_bounded(send_to_endless_target("HTTP/1.1 200 OK\r\nX-Long: ", block), 1, mebibyte);
}

TEST(endless_answer, bytes_that_are_no_answer_are_given_up)
{
    check_bounded(send_to_endless_target("", block), 1, mebibyte);
    check_bounded(send_to_endless_target("", std::string(4096, '\0')), 1, mebibyte);
    check_bounded(send_to_endless_target("", "\r\n"), 1, mebibyte);
}

// A body that is given up makes room for the others, so that they are read a little further: by 1/8
// of the total for the first one, 1/7 for the second, and so on.
TEST(endless_answer, bodies_without_end_take_bounded_memory_together)
{
    constexpr std::size_t max_read = bth::shell::receive_limits{}.shared * 11 / 4;
    check_bounded(send_to_endless_target(answer_start + "\r\n", block, 8), 8, max_read);
    const auto chunk = "10000\r\n" + block + "\r\n";
    check_bounded(
        send_to_endless_target(answer_start + "Transfer-Encoding: chunked\r\n\r\n", chunk, 8), 8,
        max_read);
    check_bounded(
        send_to_endless_target(answer_start + "Content-Length: 99999999999\r\n\r\n", block, 8), 8,
        max_read);
}

TEST(endless_answer, chunk_extensions_and_trailers_without_end_are_given_up)
{
    const auto chunked = answer_start + "Transfer-Encoding: chunked\r\n\r\n";
    check_bounded(send_to_endless_target(chunked + "5;", block), 1, 2 * mebibyte);
    check_bounded(send_to_endless_target(chunked + "0\r\n", "X-More: yyyyyyyyyyyyyyyyy\r\n"), 1,
                  2 * mebibyte);
}

TEST(endless_answer, answers_to_other_requests_without_end_are_given_up)
{
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nno";
    check_bounded(send_to_endless_target("", other), 1, mebibyte);
}

TEST(endless_answer, trickle_ends_at_the_deadline)
{
    const auto seen = send_to_endless_target(answer_start + "\r\n", "z", 1, 10ms);
    check_bounded(seen, 1, mebibyte);
    CHECK_TRUE(seen.results.front().outcome == send_outcome::timed_out);
}

// The connection and the end of its time limit are found in the same turn of the event loop.
TEST(target_send, connection_made_while_the_process_stood_still_is_used)
{
    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    target_connection_pool pool;
    field_names names;
    names.request_id = "X-Id";
    names.receipt = "X-Receipt";
    std::optional<send_result> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            target_request request{"t",   {{0x7f000001}, acceptor.local_endpoint().port()},
                                   "1",   "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n",
                                   false, 1s,
                                   20ms,  &names,
                                   {}};
            result =
                co_await send_to_target(pool, std::make_shared<send_control>(), std::move(request));
        },
        asio::detached);
    context.run_one_for(1s);
    tcp::socket target{context};
    acceptor.accept(target);
    std::this_thread::sleep_for(50ms);
    context.run_for(50ms);
    CHECK_FALSE(result.has_value());
    asio::write(target, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Receipt: r\r\n"
                                                 "Content-Length: 0\r\n\r\n"}));
    context.restart();
    context.run_for(200ms);
    CHECK_TRUE(result.has_value());
    CHECK_TRUE(result->outcome == send_outcome::answered);
}

// Behind a cut, a request that the caller had got 504 for ran seconds later.
TEST(target_send, request_that_is_given_up_does_not_reach_its_target_later)
{
    asio::io_context context;
    tcp::acceptor acceptor{context};
    acceptor.open(tcp::v4());
    // The connection takes less than the request, so that the rest waits in the kernel.
    acceptor.set_option(asio::socket_base::receive_buffer_size{4096});
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    target_connection_pool pool;
    field_names names;
    names.request_id = "X-Id";
    const std::string head = "POST / HTTP/1.1\r\nX-Id: 1\r\nContent-Length: 200000\r\n\r\n";
    const auto size = head.size() + 200000;
    const auto control = std::make_shared<send_control>();
    std::optional<send_result> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            target_request request{"t",   {{0x7f000001}, acceptor.local_endpoint().port()},
                                   "1",   head + std::string(200000, 'b'),
                                   false, 1s,
                                   1s,    &names,
                                   {}};
            result = co_await send_to_target(pool, control, std::move(request));
        },
        asio::detached);
    context.run_for(100ms);
    tcp::socket target{context};
    acceptor.accept(target);
    control->deadline_passed = true;
    control->abort();
    context.restart();
    context.run_for(100ms);
    CHECK_TRUE(result.has_value());
    CHECK_TRUE(result->outcome == send_outcome::timed_out);
    std::vector<char> received(size);
    boost::system::error_code error;
    const auto count = asio::read(target, asio::buffer(received), error);
    CHECK_TRUE(error);
    CHECK_TRUE(count < size);
}
