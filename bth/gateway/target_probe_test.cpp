#include "bth/gateway/target_send.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
namespace asio = boost::asio;
using asio::ip::tcp;

target_reachability probe(asio::io_context& context, target_connection_pool& pool,
                          std::uint16_t port, bth::duration hold = {})
{
    auto out = target_reachability::unknown;
    const auto run = [&]() -> asio::awaitable<void> {
        std::string target = "t";
        out = co_await probe_target(pool, std::move(target), {{0x7f000001}, port}, 500ms, hold);
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    context.restart();
    return out;
}

target_reachability probe_host(asio::io_context& context, std::uint16_t port)
{
    auto out = target_reachability::unknown;
    const auto run = [&]() -> asio::awaitable<void> {
        const bth::endpoint where{{0x7f000001}, port};
        out = co_await probe_process(where, 100ms);
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    context.restart();
    return out;
}

// Sends a request to a target that answers with `answer` and then closes the connection.
send_result send_to_closing_target(const std::string& answer)
{
    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    acceptor.async_accept([&answer](const auto& error, auto accepted) {
        CHECK_FALSE(error);
        const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        const auto request = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(asio::buffer(*request),
                                [&answer, socket, request](const auto&, std::size_t) {
                                    boost::system::error_code ignored;
                                    asio::write(*socket, asio::buffer(answer), ignored);
                                });
    });
    target_connection_pool pool;
    field_names names;
    names.request_id = "X-Id";
    send_result out;
    const auto run = [&]() -> asio::awaitable<void> {
        const auto control = std::make_shared<send_control>();
        target_request request{"t",   {{0x7f000001}, acceptor.local_endpoint().port()},
                               "1",   "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n",
                               false, 1s,
                               1s,    &names,
                               {}};
        out = co_await send_to_target(pool, control, std::move(request));
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    return out;
}

} // namespace

TEST_GROUP(target_probe){};

TEST(target_probe, tells_a_target_that_accepts_from_one_that_has_ended)
{
    asio::io_context context;
    target_connection_pool pool;
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    const auto port = acceptor.local_endpoint().port();
    CHECK(probe(context, pool, port) == target_reachability::accepts);
    LONGS_EQUAL(1, pool.size());
    acceptor.close();
    CHECK(probe(context, pool, port) == target_reachability::refuses);
    LONGS_EQUAL(1, pool.size());
}

TEST(target_probe, a_connection_that_is_reset_at_once_was_not_accepted)
{
    asio::io_context context;
    target_connection_pool pool;
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    acceptor.async_accept([](const auto& error, auto socket) {
        CHECK_FALSE(error);
        socket.close();
    });
    CHECK(probe(context, pool, acceptor.local_endpoint().port(), 30ms) ==
          target_reachability::unknown);
    LONGS_EQUAL(0, pool.size());
}

// The queue of a listener that accepts nothing is full, so that further connections hang.
TEST(target_probe, tells_silence_from_refusal)
{
    asio::io_context context;
    target_connection_pool pool;
    tcp::acceptor acceptor{context};
    acceptor.open(tcp::v4());
    acceptor.bind(tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    const auto port = acceptor.local_endpoint().port();
    CHECK(probe_host(context, port) == target_reachability::accepts);
    // Never run: the connections are only begun.
    asio::io_context waiting;
    std::vector<tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.emplace_back(waiting).async_connect(acceptor.local_endpoint(), [](const auto&) {});
    }
    CHECK(probe_host(context, port) == target_reachability::silent);
    CHECK(probe(context, pool, port) == target_reachability::silent);
    LONGS_EQUAL(0, pool.size());
    fillers.clear();
    acceptor.close();
    CHECK(probe_host(context, port) == target_reachability::refuses);
}

TEST(target_probe, a_connection_that_ends_differs_from_bytes_that_are_no_answer)
{
    const auto ended = send_to_closing_target("");
    CHECK(ended.outcome == bth::dispatch::send_outcome::broken);
    CHECK_TRUE(ended.is_connection_lost);
    CHECK_TRUE(ended.connect_time.has_value());
    CHECK_TRUE(send_to_closing_target("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nab")
                   .is_connection_lost);
    const auto no_answer = send_to_closing_target("no answer at all\r\n\r\n");
    CHECK(no_answer.outcome == bth::dispatch::send_outcome::broken);
    CHECK_FALSE(no_answer.is_connection_lost);
}
