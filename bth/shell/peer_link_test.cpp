#include "bth/shell/peer_link.h"

#include "bth/shell/log.h"
#include "bth/shell/net.h"

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

using bth::wire::frame_kind;

struct link_process {
    link_process(boost::asio::io_context& context, const std::string& name, std::uint64_t life)
        : link{std::make_shared<bth::shell::peer_link>(
              context.get_executor(), bth::shell::peer_link_settings{name, bth::incarnation{life}})}
    {
        this->link->on_frame(frame_kind::membership, [this](const bth::shell::peer_identity& from,
                                                            bth::wire::byte_view payload) {
            this->got.push_back(from.name + ":" + std::string{payload.begin(), payload.end()});
            return !payload.empty();
        });
        this->link->on_change(
            [this](const bth::shell::peer_identity&, bool connected, std::string_view) {
                ++(connected ? this->connects : this->losses);
            });
    }

    bool send(const std::string& to, const std::string& text) const
    {
        return this->link->send(to, frame_kind::membership,
                                {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    }

    std::shared_ptr<bth::shell::peer_link> link;
    std::vector<std::string> got;
    int connects{};
    int losses{};
};

// Runs until `done`; the bound only stops a test that would never end.
template <class Done>
bool run_until(boost::asio::io_context& context, Done done)
{
    constexpr std::chrono::seconds bound{20};
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!done() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds{100});
    }
    return done();
}

// A free port of the loopback interface, picked by the kernel.
bth::endpoint free_endpoint(boost::asio::io_context& context)
{
    const bth::endpoint any{{0x7f000001}, 0};
    auto acceptor = bth::shell::listen_on(context.get_executor(), any);
    return bth::shell::from_asio(acceptor->local_endpoint());
}

// A connection that a process dialled, as seen by the peer that accepted it.
class raw_connection {
public:
    raw_connection(boost::asio::io_context& context, const bth::endpoint& to,
                   const std::string& name, std::uint64_t life)
        : socket{context}
    {
        this->socket.connect(bth::shell::to_asio(to));
        boost::asio::write(this->socket, boost::asio::buffer(bth::wire::encode_hello(
                                             name, bth::incarnation{life})));
    }

    void send(const std::string& text)
    {
        boost::asio::write(this->socket,
                           boost::asio::buffer(bth::wire::encode_frame(
                               frame_kind::membership,
                               {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()})));
    }

    // Returns whether what has arrived and wasn't read before holds `text`.
    bool has_input_with(const std::string& text)
    {
        std::string input(this->socket.available(), '\0');
        boost::asio::read(this->socket, boost::asio::buffer(input));
        return input.find(text) != std::string::npos;
    }

private:
    boost::asio::ip::tcp::socket socket;
};

// The logging library keeps its loggers until the process ends; they are made outside of the leak
// check, which covers all else.
void make_loggers()
{
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    log4cplus::Logger::getInstance("shell.peer_link");
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

} // namespace

// clang-format off
TEST_GROUP(peer_link) {
    void setup() override { make_loggers(); }
    boost::asio::io_context context;
};
// clang-format on

TEST(peer_link, carries_frames_both_ways_over_one_connection)
{
    link_process a{context, "a", 1};
    link_process b{context, "b", 2};
    const auto at_a = free_endpoint(context);
    CHECK_TRUE(a.link->listen(at_a).has_value());
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    a.link->set_peers({{"a", at_a}, {"b", at_b}});
    b.link->set_peers({{"a", at_a}, {"b", at_b}});
    CHECK_TRUE(run_until(context, [&] { return a.connects == 1 && b.connects == 1; }));
    CHECK_TRUE(a.send("b", "one"));
    CHECK_TRUE(b.send("a", "two"));
    CHECK_TRUE(run_until(context, [&] { return !a.got.empty() && !b.got.empty(); }));
    CHECK_TRUE(b.got.front() == "a:one");
    CHECK_TRUE(a.got.front() == "b:two");
    CHECK_FALSE(a.send("c", "nobody"));
    a.link->stop();
    b.link->stop();
}

TEST(peer_link, connects_again_after_the_peer_was_restarted)
{
    link_process a{context, "a", 1};
    const auto at_b = free_endpoint(context);
    a.link->set_peers({{"b", at_b}});
    {
        link_process first{context, "b", 2};
        CHECK_TRUE(first.link->listen(at_b).has_value());
        CHECK_TRUE(run_until(context, [&] { return a.connects == 1; }));
        first.link->stop();
    }
    CHECK_TRUE(run_until(context, [&] { return a.losses == 1; }));
    link_process second{context, "b", 3};
    CHECK_TRUE(second.link->listen(at_b).has_value());
    CHECK_TRUE(run_until(context, [&] { return a.connects == 2; }));
    a.link->stop();
    second.link->stop();
}

TEST(peer_link, malformed_payload_closes_only_its_connection)
{
    link_process a{context, "a", 1};
    link_process b{context, "b", 2};
    link_process c{context, "c", 3};
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    a.link->set_peers({{"b", at_b}});
    c.link->set_peers({{"b", at_b}});
    CHECK_TRUE(run_until(context, [&] { return b.connects == 2; }));
    CHECK_TRUE(a.send("b", ""));
    CHECK_TRUE(run_until(context, [&] { return b.losses == 1; }));
    CHECK_TRUE(c.send("b", "still"));
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 2; }));
    CHECK_TRUE(b.got.back() == "c:still");
    CHECK_EQUAL(0, c.losses);
    a.link->stop();
    b.link->stop();
    c.link->stop();
}

TEST(peer_link, bytes_that_are_no_frame_close_the_connection)
{
    link_process b{context, "b", 2};
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    boost::asio::ip::tcp::socket socket{context};
    socket.connect(bth::shell::to_asio(at_b));
    boost::asio::write(socket, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
    bool closed = false;
    std::vector<char> buffer(1024);
    std::function<void()> read = [&] {
        socket.async_read_some(boost::asio::buffer(buffer),
                               [&](const boost::system::error_code& error, std::size_t) {
                                   closed = static_cast<bool>(error);
                                   if (!closed) {
                                       read();
                                   }
                               });
    };
    read();
    CHECK_TRUE(run_until(context, [&] { return closed; }));
    b.link->stop();
}

TEST(peer_link, connection_that_is_closed_before_its_hello_disturbs_nothing)
{
    link_process a{context, "a", 1};
    link_process b{context, "b", 2};
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    a.link->set_peers({{"b", at_b}});
    CHECK_TRUE(run_until(context, [&] { return a.connects == 1 && b.connects == 1; }));
    for (int i = 0; i < 20; ++i) {
        boost::asio::ip::tcp::socket socket{context};
        socket.connect(bth::shell::to_asio(at_b));
    }
    CHECK_TRUE(a.send("b", "first"));
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 1; }));
    CHECK_TRUE(b.send("a", "second"));
    CHECK_TRUE(run_until(context, [&] { return a.got.size() == 1; }));
    LONGS_EQUAL(1, a.connects + a.losses);
    LONGS_EQUAL(1, b.connects + b.losses);
    a.link->stop();
    b.link->stop();
}

TEST(peer_link, full_queue_refuses_and_takes_nothing)
{
    auto link = std::make_shared<bth::shell::peer_link>(
        context.get_executor(), bth::shell::peer_link_settings{"a", bth::incarnation{1}, 100});
    link_process b{context, "b", 2};
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    link->set_peers({{"b", at_b}});
    CHECK_TRUE(run_until(context, [&] { return link->connected("b"); }));
    const std::vector<std::uint8_t> large(101);
    CHECK_FALSE(link->send("b", frame_kind::membership, large));
    const std::vector<std::uint8_t> small(1, 'x');
    CHECK_TRUE(link->send("b", frame_kind::membership, small));
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 1; }));
    link->stop();
    b.link->stop();
}

// Two processes that connect to each other at the same time: each connection is in use by its own
// dialler when the other one arrives.
TEST(peer_link, second_connection_of_a_connected_peer_loses_nothing)
{
    link_process a{context, "a", 1};
    link_process b{context, "b", 2};
    const auto at_a = free_endpoint(context);
    CHECK_TRUE(a.link->listen(at_a).has_value());
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    b.link->set_peers({{"a", at_a, true}});
    CHECK_TRUE(run_until(context, [&] { return a.connects == 1 && b.connects == 1; }));
    raw_connection dialled_by_a{context, at_b, "a", 1};
    dialled_by_a.send("over the second");
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 1; }));
    CHECK_TRUE(a.send("b", "over the first"));
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 2; }));
    CHECK_TRUE(b.got.back() == "a:over the first");
    CHECK_EQUAL(0, b.losses);
    CHECK_EQUAL(1, b.connects);
    CHECK_EQUAL(0, a.losses);
    a.link->stop();
    b.link->stop();
}

// A process that is connected doesn't dial, so that one that does has lost the connection.
TEST(peer_link, peer_that_lost_the_connection_is_sent_nothing_over_it)
{
    link_process b{context, "b", 2};
    boost::asio::ip::tcp::acceptor old_listener{context,
                                                {boost::asio::ip::address_v4::loopback(), 0}};
    const auto at_a = bth::shell::from_asio(old_listener.local_endpoint());
    const auto at_b = free_endpoint(context);
    CHECK_TRUE(b.link->listen(at_b).has_value());
    b.link->set_peers({{"a", at_a, true}});
    boost::asio::ip::tcp::socket lost{context};
    bool accepted = false;
    old_listener.async_accept(lost,
                              [&](const boost::system::error_code& error) { accepted = !error; });
    CHECK_TRUE(run_until(context, [&] { return accepted; }));
    boost::asio::write(lost,
                       boost::asio::buffer(bth::wire::encode_hello("a", bth::incarnation{1})));
    CHECK_TRUE(run_until(context, [&] { return b.connects == 1; }));
    const auto connected_at = std::chrono::steady_clock::now();
    run_until(context, [&] {
        return std::chrono::steady_clock::now() - connected_at > std::chrono::milliseconds{1500};
    });
    raw_connection next{context, at_b, "a", 1};
    next.send("over the next");
    CHECK_TRUE(run_until(context, [&] { return b.got.size() == 1; }));
    CHECK_TRUE(b.send("a", "to the peer"));
    CHECK_TRUE(run_until(context, [&] { return b.link->queued_bytes("a") == 0; }));
    CHECK_TRUE(next.has_input_with("to the peer"));
    b.link->stop();
}

// Behind a full link the hello of a peer comes later than the next try to connect would begin.
TEST(peer_link, peer_that_says_hello_late_is_dialled_once)
{
    link_process b{context, "b", 2};
    boost::asio::ip::tcp::acceptor listener{context, {boost::asio::ip::address_v4::loopback(), 0}};
    b.link->set_peers({{"a", bth::shell::from_asio(listener.local_endpoint()), true}});
    std::vector<boost::asio::ip::tcp::socket> accepted;
    std::function<void()> accept = [&] {
        listener.async_accept([&](const boost::system::error_code& error, auto socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    CHECK_TRUE(run_until(context, [&] { return !accepted.empty(); }));
    const auto accepted_at = std::chrono::steady_clock::now();
    run_until(context, [&] {
        return std::chrono::steady_clock::now() - accepted_at > std::chrono::milliseconds{400};
    });
    CHECK_EQUAL(1U, accepted.size());
    boost::asio::write(accepted.front(),
                       boost::asio::buffer(bth::wire::encode_hello("a", bth::incarnation{1})));
    CHECK_TRUE(run_until(context, [&] { return b.connects == 1; }));
    CHECK_EQUAL(0, b.losses);
    b.link->stop();
}
