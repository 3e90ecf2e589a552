#include "bth/ctl/control_client.h"

#include "bth/control/edit_request.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::ctl {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr duration most_per_try = std::chrono::seconds{5};
constexpr duration pause_between_rounds = std::chrono::milliseconds{200};

// Whether the answer says that no decision was made.
bool undecided(const shell::http_response& response)
{
    return response.result() == http::status::service_unavailable ||
           response.result() == http::status::gateway_timeout;
}

// Notes a try that gave no answer that counts.
void note_failure(call_result& out, endpoint where, std::string message, bool unknown)
{
    out.unknown = out.unknown || unknown;
    const auto known = std::find_if(out.failed.begin(), out.failed.end(),
                                    [&](const failed_try& each) { return each.where == where; });
    if (known == out.failed.end()) {
        out.failed.push_back({where, std::move(message)});
    }
    else {
        known->message = std::move(message);
    }
}

// One round over all endpoints; true once an answer counts.
asio::awaitable<bool> try_each(const std::vector<endpoint>& endpoints,
                               const shell::http_request& request, time_point deadline,
                               call_result& out)
{
    for (const endpoint& where : endpoints) {
        const duration left = deadline - shell::monotonic_now();
        if (left <= duration::zero()) {
            co_return false;
        }
        auto answer = co_await shell::http_try(where, request, std::min(left, most_per_try));
        if (!answer) {
            note_failure(out, where, answer.error().message, answer.error().sent);
            continue;
        }
        if (undecided(*answer)) {
            const bool unknown = answer->result() == http::status::gateway_timeout;
            note_failure(out, where, answer->body(), unknown);
            continue;
        }
        out.response = std::move(*answer);
        co_return true;
    }
    co_return false;
}

asio::awaitable<void> call_in_turn(const std::vector<endpoint>& endpoints,
                                   const shell::http_request& request, duration limit,
                                   unsigned most_rounds, call_result& out)
{
    const time_point deadline = shell::monotonic_now() + limit;
    asio::steady_timer pause{co_await asio::this_coro::executor};
    for (unsigned round = 1; !co_await try_each(endpoints, request, deadline, out); ++round) {
        if (round == most_rounds || shell::monotonic_now() + pause_between_rounds >= deadline) {
            co_return;
        }
        pause.expires_after(pause_between_rounds);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

} // namespace

call_result control_client::submit(const control::edit& one) const
{
    shell::http_request request{http::verb::post, "/edits", 11};
    request.set(http::field::content_type, "application/json");
    request.body() = control::write_edit_request(one);
    return this->call(request);
}

call_result control_client::get(const std::string& path) const
{
    return this->call(shell::http_request{http::verb::get, path, 11});
}

call_result control_client::call(const shell::http_request& request) const
{
    asio::io_context context;
    call_result out;
    asio::co_spawn(context,
                   call_in_turn(this->endpoints, request, this->limit, this->most_rounds, out),
                   asio::detached);
    context.run();
    return out;
}

} // namespace bth::ctl
