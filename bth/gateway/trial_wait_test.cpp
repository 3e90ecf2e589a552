// Requests that wait for their trial, since targets crashed that ran them.
#include "bth/gateway/gateway.h"

#include "bth/gateway/testing/events.h"
#include "bth/shell/net.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

using namespace std::chrono_literals;
using namespace bth::gateway;
namespace asio = boost::asio;
namespace dispatch = bth::dispatch;

constexpr auto host_name = "shop.example";
constexpr auto path = "/read/a";

bth::fleet::update update_in_contact()
{
    bth::fleet::update out;
    out.in_contact = true;
    out.entry_count = 1;
    return out;
}

bth::route::configuration one_route()
{
    bth::route::route route;
    route.name = "route";
    route.host = host_name;
    route.path_prefix = "/read/";
    route.repeat = bth::route::repeatability::idempotent;
    route.timeout = 5s;
    route.objective = 1s;
    route.split = {{"orders", 1.0}};
    bth::route::configuration out;
    out.version = bth::route::config_version{1};
    out.routes = {route};
    return out;
}

std::shared_ptr<served_request> make_request()
{
    auto out = std::make_shared<served_request>();
    out->message.method(http::verb::get);
    out->message.target(path);
    out->message.set(http::field::host, host_name);
    out->started = bth::shell::monotonic_now();
    return out;
}

} // namespace

// clang-format off
TEST_GROUP(trial_wait)
{
    void setup() override
    {
        // The logging library keeps its loggers until the process ends.
        MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    }
    void teardown() override
    {
        MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    }
};
// clang-format on

TEST(trial_wait, request_that_another_host_cleared_waits_no_longer)
{
    asio::io_context context;
    field_names names;
    names.request_id = "X-Id";
    names.remaining_time_ms = "X-Time";
    names.object = "X-Object";
    const auto tested = std::make_shared<gateway>(
        context, gateway_settings{"host-d", "north", {{"north", "north"}}, {}}, names,
        testing::events());
    const auto fingerprint = dispatch::fingerprint_of({"", "GET", host_name, path, "", ""});
    auto crashed = update_in_contact();
    for (const auto* target : {"t1", "t2"}) {
        crashed.crashes.crashes.push_back({fingerprint, dispatch::make_target_key(target),
                                           dispatch::make_service_key("orders"), 0ms});
    }
    tested->apply_update(crashed, one_route());

    bool is_cleared = false;
    asio::steady_timer timer{context, 100ms};
    timer.async_wait([&](const boost::system::error_code&) {
        auto cleared = update_in_contact();
        cleared.crashes.completions.push_back({fingerprint, 0ms});
        tested->apply_update(cleared, std::nullopt);
        is_cleared = true;
    });
    bool has_waited = false;
    bth::duration waited{};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto request = make_request();
            const auto response = co_await tested->serve(request);
            has_waited = is_cleared;
            waited = bth::shell::monotonic_now() - request->started;
        },
        asio::detached);
    context.run();

    // No target is listed, so that the request is refused as soon as it needn't wait.
    CHECK(has_waited);
    CHECK(waited < dispatch::crash_ledger::settling_time);
}
