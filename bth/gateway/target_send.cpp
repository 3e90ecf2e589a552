#include "bth/gateway/target_send.h"

#include "bth/shell/net.h"

#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace bth::gateway {

namespace {

namespace asio = boost::asio;
using dispatch::send_outcome;

// How long a target keeps an idle connection if it doesn't say.
constexpr std::chrono::seconds usual_idle_limit{4};
// Answers to earlier requests that may come first on a connection.
constexpr int most_strays = 3;
constexpr std::uint64_t answer_limit_bytes = 64ULL * 1024 * 1024;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::uint32_t> read_number(std::string_view& text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == ',')) {
        text.remove_prefix(1);
    }
    std::uint32_t value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

std::optional<dispatch::load_report> read_load(std::string_view text)
{
    const auto running = read_number(text);
    const auto waiting = read_number(text);
    const auto slots = read_number(text);
    if (!running || !waiting || !slots) {
        return std::nullopt;
    }
    return dispatch::load_report{*running, *waiting, *slots};
}

duration read_idle_limit(const target_answer& from)
{
    const auto text = view(from[http::field::keep_alive]);
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return usual_idle_limit;
    }
    auto rest = text.substr(at + std::string_view{"timeout="}.size());
    const auto seconds = read_number(rest);
    return seconds ? duration{std::chrono::seconds{*seconds}} : duration{usual_idle_limit};
}

asio::awaitable<bool> connect(target_connection& made, std::shared_ptr<send_control> control,
                              endpoint where, duration most)
{
    asio::steady_timer limit{co_await asio::this_coro::executor, most};
    limit.async_wait([control](const boost::system::error_code& error) {
        if (!error) {
            control->abort();
        }
    });
    boost::system::error_code error;
    co_await made.socket.async_connect(shell::to_asio(where),
                                       asio::redirect_error(asio::use_awaitable, error));
    limit.cancel();
    if (error || !made.socket.is_open()) {
        co_return false;
    }
    made.socket.set_option(asio::ip::tcp::no_delay{true}, error);
    co_return true;
}

// Whether an answer is to the request with this id. A refusal to run may come without an id.
bool is_answer_to(const target_answer& got, const send_order& order)
{
    const auto id = view(got[order.names->request_id]);
    return id == order.request_id || (id.empty() && got.result_int() / 100 != 2);
}

bool says_not_run(const target_answer& got, const field_names& names)
{
    return got.result() == http::status::misdirected_request ||
           got.find(names.not_run) != got.end();
}

// Whether a success is the target's own whole answer.
bool is_sound(const target_answer& got, const field_names& names)
{
    const bool success = got.result_int() / 100 == 2;
    return !success || (got.find(names.receipt) != got.end() &&
                        got.find(http::field::content_encoding) == got.end());
}

send_result judge(target_answer got, const send_order& order)
{
    send_result out;
    out.arrived = true;
    out.load = read_load(view(got[order.names->load]));
    if (says_not_run(got, *order.names)) {
        out.outcome = got.result() == http::status::misdirected_request ? send_outcome::misdirected
                                                                        : send_outcome::shed;
        return out;
    }
    out.may_have_run = true;
    if (!is_sound(got, *order.names)) {
        out.outcome = send_outcome::broken;
        return out;
    }
    out.outcome = got.result_int() / 100 == 5 ? send_outcome::failed : send_outcome::answered;
    out.got = pass_on(std::move(got), order.to_head);
    return out;
}

// Reads answers until the one to this request; others that come first belong to earlier requests.
asio::awaitable<std::optional<target_answer>> read_answer(target_connection& from,
                                                          const send_order& order, bool& reusable)
{
    for (int stray = 0; stray <= most_strays; ++stray) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(answer_limit_bytes);
        parser.skip(order.to_head);
        boost::system::error_code error;
        co_await http::async_read(from.socket, from.buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return std::nullopt;
        }
        reusable = reusable && parser.keep_alive() && !parser.need_eof();
        auto got = parser.release();
        if (is_answer_to(got, order)) {
            reusable = reusable && from.buffer.size() == 0;
            co_return got;
        }
        reusable = false;
    }
    co_return std::nullopt;
}

} // namespace

void send_control::abort()
{
    if (this->close) {
        this->close();
    }
}

send_result given_up(const send_control& control, bool sent)
{
    send_result out;
    out.may_have_run = sent;
    out.arrived = sent;
    if (control.caller_gone) {
        out.outcome = send_outcome::abandoned;
    }
    else if (control.out_of_time) {
        out.outcome = send_outcome::timed_out;
    }
    else {
        out.outcome = sent ? send_outcome::broken : send_outcome::not_reached;
    }
    return out;
}

asio::awaitable<send_result> send_to(target_pool& pool, std::shared_ptr<send_control> control,
                                     send_order order)
{
    const auto close_by = [&control](target_connection& each) {
        control->close = [socket = &each.socket] {
            boost::system::error_code ignored;
            socket->close(ignored);
        };
    };
    auto held = pool.take(order.target, shell::monotonic_now(), order.most_idle);
    if (!held) {
        held = std::make_unique<target_connection>(co_await asio::this_coro::executor);
        close_by(*held);
        const bool connected = co_await connect(*held, control, order.where, order.connect_limit);
        control->close = nullptr;
        if (!connected || control->aborted()) {
            co_return given_up(*control, false);
        }
    }
    close_by(*held);
    boost::system::error_code error;
    co_await asio::async_write(held->socket, asio::buffer(order.bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control->close = nullptr;
        co_return given_up(*control, true);
    }
    bool reusable = true;
    auto got = co_await read_answer(*held, order, reusable);
    control->close = nullptr;
    if (!got) {
        co_return given_up(*control, true);
    }
    if (reusable) {
        held->idle_limit = read_idle_limit(*got);
        pool.put(order.target, std::move(held), shell::monotonic_now());
    }
    co_return judge(std::move(*got), order);
}

} // namespace bth::gateway
