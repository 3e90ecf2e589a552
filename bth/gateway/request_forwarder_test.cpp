#include "bth/gateway/request_forwarder.h"

#include "bth/gateway/testing/events.h"
#include "bth/shell/log.h"
#include "bth/shell/net.h"
#include "bth/wire/frame.h"

#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
namespace asio = boost::asio;
using bth::gateway::testing::events;

bth::endpoint free_endpoint(asio::io_context& context)
{
    const bth::endpoint any{{0x7f000001}, 0};
    auto acceptor = bth::shell::listen_on(context.get_executor(), any);
    return bth::shell::from_asio(acceptor->local_endpoint());
}

// An entry host that connects on demand, and replies to forwarded requests with `outcome` after
// `reply_delay`.
struct forwarding_host {
    forwarding_host(asio::io_context& context, bth::shell::event_log& events,
                    const std::string& name)
        : link{std::make_shared<bth::shell::peer_link>(
              context.get_executor(), bth::shell::peer_link_settings{name, bth::incarnation{1}})},
          forwarder{std::make_shared<request_forwarder>(
              context, this->link, [this](const std::string& host) { this->use(host); }, events,
              this->metrics,
              [this, &context](
                  std::shared_ptr<const handoff_request>,
                  std::shared_ptr<send_control> control) -> asio::awaitable<handoff_outcome> {
                  asio::steady_timer timer{context, this->reply_delay};
                  control->close = [&timer] {
                      timer.cancel();
                  };
                  boost::system::error_code ignored;
                  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                  control->close = nullptr;
                  this->was_cancelled = control->aborted();
                  co_return this->outcome;
              })}
    {
        this->outcome.at_target = 2;
        this->forwarder->start();
    }
    ~forwarding_host()
    {
        this->forwarder->stop();
        this->link->stop();
    }

    forwarding_host(const forwarding_host&) = delete;
    forwarding_host& operator=(const forwarding_host&) = delete;
    forwarding_host(forwarding_host&&) = delete;
    forwarding_host& operator=(forwarding_host&&) = delete;

    void use(const std::string& host)
    {
        ++this->uses;
        if (host == this->other.name) {
            this->link->set_peers({this->other});
        }
    }

    gateway_metrics metrics;
    std::shared_ptr<bth::shell::peer_link> link;
    std::shared_ptr<request_forwarder> forwarder;
    bth::shell::peer_address other;
    int uses{};
    std::chrono::milliseconds reply_delay{0};
    handoff_outcome outcome;
    bool was_cancelled{};
};

struct forward_result {
    bool ended{};
    std::optional<handoff_outcome> outcome;
    std::shared_ptr<request_forwarder::late_reply> late;
    bool tells_of_target{};
};

std::shared_ptr<forward_result> start_forward(asio::io_context& context, forwarding_host& from,
                                              const std::string& to, bool at_most_once = false,
                                              std::size_t bytes = 0)
{
    auto result = std::make_shared<forward_result>();
    asio::co_spawn(
        context,
        [forwarder = from.forwarder, to, result, at_most_once, bytes]() -> asio::awaitable<void> {
            handoff_request request;
            request.target = "t1";
            request.at_most_once = at_most_once;
            request.request_bytes.assign(bytes, 'x');
            auto control = std::make_shared<send_control>();
            auto reply = co_await forwarder->forward(to, std::move(request), std::move(control));
            result->outcome = std::move(reply.outcome);
            result->late = std::move(reply.late);
            result->tells_of_target = reply.tells_of_target;
            result->ended = true;
        },
        asio::detached);
    return result;
}

// Runs until `done`; the bound only stops a test that would never end.
template <class Done>
bool run_until(asio::io_context& context, Done done)
{
    constexpr std::chrono::seconds bound{20};
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!done() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(100ms);
    }
    return done();
}

// Forwards a request and runs until it has ended.
forward_result forward(asio::io_context& context, forwarding_host& from, const std::string& to)
{
    const auto result = start_forward(context, from, to);
    run_until(context, [&] { return result->ended; });
    return *result;
}

} // namespace

// clang-format off
TEST_GROUP(request_forwarder)
{
    void setup() override
    {
        // The logging library keeps its loggers until the process ends.
        MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
        events();
        log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    }
    void teardown() override
    {
        MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    }
};
// clang-format on

TEST(request_forwarder, host_is_connected_when_the_first_request_is_forwarded_to_it)
{
    asio::io_context context;
    forwarding_host caller{context, events(), "a"};
    forwarding_host owner{context, events(), "b"};
    const auto where = free_endpoint(context);
    CHECK_TRUE(owner.link->listen(where).has_value());
    caller.other = {"b", where, true};
    CHECK_FALSE(caller.link->connected("b"));
    CHECK_TRUE(caller.forwarder->is_usable("b"));
    const auto first = forward(context, caller, "b");
    CHECK_TRUE(first.outcome.has_value());
    LONGS_EQUAL(2, first.outcome->at_target);
    CHECK_TRUE(caller.link->connected("b"));
    CHECK_TRUE(forward(context, caller, "b").outcome.has_value());
    // Each message keeps the connection on both sides.
    CHECK_TRUE(caller.uses >= 4);
    CHECK_TRUE(owner.uses >= 2);
}

TEST(request_forwarder,
     request_to_a_host_that_cannot_be_connected_is_given_back_and_the_host_avoided)
{
    asio::io_context context;
    forwarding_host caller{context, events(), "a"};
    caller.other = {"b", free_endpoint(context), true};
    const auto result = forward(context, caller, "b");
    CHECK_TRUE(result.ended);
    CHECK_FALSE(result.outcome.has_value());
    CHECK_FALSE(caller.forwarder->is_usable("b"));
    CHECK_TRUE(caller.forwarder->is_usable("c"));
}

// A host that goes on forwarding requests must not take all memory of the host that serves them.
TEST(request_forwarder, requests_that_take_too_much_memory_together_are_declined)
{
    asio::io_context context;
    forwarding_host caller{context, events(), "a"};
    forwarding_host owner{context, events(), "b"};
    const auto where = free_endpoint(context);
    CHECK_TRUE(owner.link->listen(where).has_value());
    caller.other = {"b", where, true};
    owner.reply_delay = 2s;
    constexpr std::size_t request_bytes = 1536UL * 1024;
    constexpr std::size_t accepted = bth::shell::receive_limits{}.shared / request_bytes;
    for (std::size_t i = 0; i < accepted; ++i) {
        const auto result = start_forward(context, caller, "b", false, request_bytes);
        CHECK_TRUE(run_until(context, [&] {
            return result->ended || owner.forwarder->forwarded_in_flight() == i + 1;
        }));
        CHECK_FALSE(result->ended);
    }
    const auto large = start_forward(context, caller, "b", false, request_bytes);
    CHECK_TRUE(run_until(context, [&] { return large->ended; }));
    CHECK_TRUE(large->outcome.has_value());
    CHECK_TRUE(large->outcome->declined == decline_reason::full);
    CHECK_FALSE(large->outcome->result.may_have_run);
    const auto small = start_forward(context, caller, "b");
    CHECK_TRUE(run_until(context, [&] { return small->ended; }));
    CHECK_TRUE(small->outcome->declined == decline_reason::none);
}

TEST(request_forwarder, second_connection_between_two_hosts_ends_no_request)
{
    asio::io_context context;
    forwarding_host owner{context, events(), "a"};
    forwarding_host caller{context, events(), "b"};
    const auto at_owner = free_endpoint(context);
    CHECK_TRUE(owner.link->listen(at_owner).has_value());
    const auto at_caller = free_endpoint(context);
    CHECK_TRUE(caller.link->listen(at_caller).has_value());
    caller.other = {"a", at_owner, true};
    owner.reply_delay = 200ms;
    const auto result = start_forward(context, caller, "a");
    CHECK_TRUE(run_until(context, [&] { return owner.forwarder->forwarded_in_flight() == 1; }));
    // The owner was about to connect as well.
    asio::ip::tcp::socket second{context};
    second.connect(bth::shell::to_asio(at_caller));
    asio::write(second, asio::buffer(bth::wire::encode_hello("a", bth::incarnation{1})));
    CHECK_TRUE(run_until(context, [&] { return result->ended; }));
    CHECK_TRUE(result->outcome.has_value());
    LONGS_EQUAL(2, result->outcome->at_target);
    CHECK_FALSE(owner.was_cancelled);
}

// The other host has both connections, and sends over the one that stays.
TEST(request_forwarder, loss_of_one_of_two_connections_ends_no_request)
{
    asio::io_context context;
    forwarding_host caller{context, events(), "a"};
    const auto at_caller = free_endpoint(context);
    CHECK_TRUE(caller.link->listen(at_caller).has_value());
    asio::ip::tcp::acceptor owner{context, {asio::ip::address_v4::loopback(), 0}};
    caller.other = {"b", bth::shell::from_asio(owner.local_endpoint()), true};
    asio::ip::tcp::socket first{context};
    bool accepted = false;
    owner.async_accept(first, [&](const boost::system::error_code& error) { accepted = !error; });
    const auto result = start_forward(context, caller, "b", true);
    CHECK_TRUE(run_until(context, [&] { return accepted; }));
    const auto hello = bth::wire::encode_hello("b", bth::incarnation{1});
    asio::write(first, asio::buffer(hello));
    CHECK_TRUE(run_until(context, [&] { return caller.link->connected("b"); }));
    asio::ip::tcp::socket second{context};
    second.connect(bth::shell::to_asio(at_caller));
    asio::write(second, asio::buffer(hello));
    const auto run_for = [&](std::chrono::milliseconds time) {
        const auto started_at = std::chrono::steady_clock::now();
        run_until(context, [&] { return std::chrono::steady_clock::now() - started_at > time; });
    };
    run_for(200ms);
    first.close();
    run_for(200ms);
    CHECK_FALSE(result->ended);
    handoff_outcome outcome;
    outcome.id = 1;
    outcome.at_target = 2;
    const auto payload = encode_handoff(handoff_message{outcome});
    asio::write(second,
                asio::buffer(bth::wire::encode_frame(
                    bth::wire::frame_kind::stream,
                    {reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()})));
    CHECK_TRUE(run_until(context, [&] { return result->ended; }));
    LONGS_EQUAL(2, result->outcome->at_target);
}

// A host that gets no processor time for longer than its reply to a ping may take.
struct starved_host {
    starved_host()
    {
        const auto where = free_endpoint(this->other_process);
        CHECK_TRUE(this->owner.link->listen(where).has_value());
        this->caller.other = {"b", where, true};
    }

    template <class Done>
    bool run_both(Done done)
    {
        return run_until(this->context, [&] {
            this->other_process.restart();
            this->other_process.poll();
            return done();
        });
    }

    // Forwards a request and lets the other host stand still before it has read it.
    std::shared_ptr<forward_result> forward_beside_a_pause(bool at_most_once)
    {
        auto result = start_forward(this->context, this->caller, "b", at_most_once);
        CHECK_TRUE(this->run_both([&] { return this->owner.link->connected("a"); }));
        const auto paused_at = std::chrono::steady_clock::now();
        run_until(this->context,
                  [&] { return std::chrono::steady_clock::now() - paused_at > 1200ms; });
        CHECK_FALSE(this->caller.forwarder->is_usable("b"));
        return result;
    }

    asio::io_context context;
    asio::io_context other_process;
    forwarding_host caller{context, events(), "a"};
    forwarding_host owner{other_process, events(), "b"};
};

TEST(request_forwarder, request_that_may_run_once_waits_for_a_host_that_was_silent)
{
    starved_host hosts;
    const auto result = hosts.forward_beside_a_pause(true);
    CHECK_FALSE(result->ended);
    CHECK_TRUE(hosts.run_both([&] { return result->ended; }));
    CHECK_TRUE(result->outcome.has_value());
    LONGS_EQUAL(2, result->outcome->at_target);
}

TEST(request_forwarder, reply_of_a_host_that_was_silent_is_taken_while_the_request_is_open)
{
    starved_host hosts;
    const auto result = hosts.forward_beside_a_pause(false);
    CHECK_TRUE(result->ended);
    CHECK_TRUE(result->outcome->result.may_have_run);
    CHECK_FALSE(result->tells_of_target);
    CHECK_TRUE(result->late != nullptr);
    bool was_told = false;
    result->late->on_end([&] { was_told = true; });
    CHECK_TRUE(hosts.run_both([&] { return result->late->has_ended(); }));
    CHECK_TRUE(was_told);
    CHECK_TRUE(result->late->outcome().has_value());
    LONGS_EQUAL(2, result->late->outcome()->at_target);
}

TEST(request_forwarder, request_that_ended_elsewhere_is_cancelled_at_a_host_that_was_silent)
{
    starved_host hosts;
    hosts.owner.reply_delay = 10s;
    const auto result = hosts.forward_beside_a_pause(false);
    CHECK_TRUE(result->late != nullptr);
    result->late.reset();
    CHECK_TRUE(hosts.run_both([&] { return hosts.owner.was_cancelled; }));
    LONGS_EQUAL(0, hosts.owner.forwarder->forwarded_in_flight());
}

TEST(request_forwarder, request_that_only_the_other_host_ended_has_not_lost_its_caller)
{
    asio::io_context context;
    forwarding_host caller{context, events(), "a"};
    forwarding_host owner{context, events(), "b"};
    const auto where = free_endpoint(context);
    CHECK_TRUE(owner.link->listen(where).has_value());
    caller.other = {"b", where, true};
    owner.outcome.result.outcome = bth::dispatch::send_outcome::abandoned;
    owner.outcome.result.may_have_run = true;
    const auto result = forward(context, caller, "b");
    CHECK_TRUE(result.outcome.has_value());
    CHECK_TRUE(result.outcome->result.may_have_run);
    CHECK_TRUE(result.outcome->result.outcome == bth::dispatch::send_outcome::broken);
    // The target isn't to blame.
    CHECK_FALSE(result.tells_of_target);
    owner.outcome.result.outcome = bth::dispatch::send_outcome::answered;
    CHECK_TRUE(forward(context, caller, "b").tells_of_target);
}
