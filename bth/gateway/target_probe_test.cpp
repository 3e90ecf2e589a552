#include "bth/gateway/target_send.h"

#include <chrono>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
