#include "bth/gateway/target_send.h"

#include "bth/shell/net.h"
#include "bth/shell/response_head.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <string>
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

// g++ 12 reports false mismatches of new and delete for the coroutine frames that Asio allocates
// when it inlines their allocation.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

namespace asio = boost::asio;
using dispatch::send_outcome;

// Idle timeout of a target's connections if its response doesn't state one.
constexpr std::chrono::seconds default_idle_timeout{4};
// Maximum number of responses to earlier requests that are skipped on a connection. If one more
// arrives, the attempt fails and the connection is closed.
constexpr int max_stale_responses = 3;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Removes leading blanks and commas and one number from `text`, and returns the number.
std::optional<std::uint32_t> parse_number(std::string_view& text)
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

// Parses "RUNNING, WAITING, SLOTS": the numbers of running and waiting requests, and of slots.
std::optional<dispatch::load_report> parse_load(std::string_view text)
{
    const auto running_requests = parse_number(text);
    const auto waiting_requests = parse_number(text);
    const auto slots = parse_number(text);
    if (!running_requests || !waiting_requests || !slots) {
        return std::nullopt;
    }
    return dispatch::load_report{*running_requests, *waiting_requests, *slots};
}

// Returns the timeout that the Keep-Alive field states, or the default.
duration parse_idle_timeout(const target_response& from)
{
    const auto text = view(from[http::field::keep_alive]);
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return default_idle_timeout;
    }
    auto rest = text.substr(at + std::string_view{"timeout="}.size());
    const auto seconds = parse_number(rest);
    return seconds ? duration{std::chrono::seconds{*seconds}} : duration{default_idle_timeout};
}

// Lets `control` end what is done on the connection. A request that was given up must not reach the
// target later.
void set_close_handler(send_control& control, target_connection& connection)
{
    control.close = [socket = &connection.socket] {
        shell::reset(*socket);
    };
}

// Connects. Aborts the attempt through `control` if that takes longer than `timeout`.
asio::awaitable<boost::system::error_code> connect(target_connection& connection,
                                                   std::shared_ptr<send_control> control,
                                                   endpoint address, duration timeout)
{
    // cancel() doesn't reach a timer whose handler is queued already.
    const auto is_connecting = std::make_shared<bool>(true);
    asio::steady_timer timer{co_await asio::this_coro::executor, timeout};
    timer.async_wait([control, is_connecting](const boost::system::error_code& error) {
        if (!error && *is_connecting) {
            control->abort();
        }
    });
    boost::system::error_code error;
    co_await connection.socket.async_connect(shell::to_asio(address),
                                             asio::redirect_error(asio::use_awaitable, error));
    *is_connecting = false;
    timer.cancel();
    if (!error && !connection.socket.is_open()) {
        error = asio::error::operation_aborted;
    }
    if (!error) {
        boost::system::error_code ignored;
        connection.socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    }
    co_return error;
}

// Returns whether a response belongs to the request. A refusal to run the request may lack the
// request id; any response without an id except 2xx counts as one, but only to the first request on
// a connection: behind others, a faulty target may have written an earlier refusal once more.
bool matches_request(const target_response& response, const target_request& request,
                     bool is_first_on_connection)
{
    const auto id = view(response[request.header_names->request_id]);
    if (id.empty()) {
        return is_first_on_connection &&
               (request.request_id.empty() || response.result_int() / 100 != 2);
    }
    return id == request.request_id;
}

target_reachability reachability_of(const boost::system::error_code& connect_error)
{
    if (!connect_error) {
        return target_reachability::accepts;
    }
    if (connect_error == asio::error::connection_refused) {
        return target_reachability::refuses;
    }
    // connect() aborts a connection that takes too long.
    return connect_error == asio::error::operation_aborted ||
                   connect_error == asio::error::timed_out
               ? target_reachability::silent
               : target_reachability::unknown;
}

bool states_not_run(const target_response& response, const field_names& names)
{
    return response.result() == http::status::misdirected_request ||
           response.find(names.not_run) != response.end();
}

// Returns whether a success (2xx) is the complete response of the target itself: it has the receipt
// and no content encoding. Other responses are not checked.
bool is_intact(const target_response& response, const field_names& names)
{
    const bool success = response.result_int() / 100 == 2;
    return !success || (response.find(names.receipt) != response.end() &&
                        response.find(http::field::content_encoding) == response.end());
}

target_signals signals_of(const target_response& response, const field_names& names)
{
    // Another target has the address, and speaks of itself.
    if (response.result() == http::status::misdirected_request) {
        return {};
    }
    return read_target_signals({view(response[names.leaving]),
                                view(response[http::field::retry_after]),
                                view(response[names.limit])},
                               response.result() == http::status::service_unavailable);
}

// Determines the outcome of the attempt from the target's response.
send_result evaluate_response(target_response response, const target_request& request)
{
    send_result out;
    out.may_have_arrived = true;
    out.signals = signals_of(response, *request.header_names);
    out.load = parse_load(view(response[request.header_names->load]));
    if (states_not_run(response, *request.header_names)) {
        out.outcome = response.result() == http::status::misdirected_request
                          ? send_outcome::misdirected
                          : send_outcome::shed;
        return out;
    }
    out.may_have_run = true;
    if (!is_intact(response, *request.header_names)) {
        out.outcome = send_outcome::broken;
        return out;
    }
    out.signals.has_no_limit = !out.signals.limit && !out.signals.has_unreadable_limit;
    out.outcome = response.result_int() / 100 == 5 ? send_outcome::failed : send_outcome::answered;
    out.response = make_relayed_response(std::move(response), request.is_head);
    return out;
}

// Replaces the remaining time that a request states, if it states one.
void set_remaining_time(std::string& request_bytes, const std::string& field, duration remaining)
{
    const std::string before_value = "\r\n" + field + ": ";
    const auto head_end = request_bytes.find("\r\n\r\n");
    const auto field_at = request_bytes.find(before_value);
    if (head_end == std::string::npos || field_at >= head_end) {
        return;
    }
    const auto value_at = field_at + before_value.size();
    const auto value_end = request_bytes.find("\r\n", value_at);
    const auto whole_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    request_bytes.replace(value_at, value_end - value_at,
                          std::to_string(std::max<std::int64_t>(whole_ms, 1)));
}

// What is known of a response that was not received completely.
struct partial_response {
    target_signals signals;
    bool is_too_long{};
    bool is_connection_lost{};
};

bool is_length_error(const boost::system::error_code& error)
{
    return error == http::error::body_limit || error == http::error::header_limit ||
           error == http::error::buffer_overflow;
}

// Returns whether the connection ended, as opposed to bytes that are no response.
bool is_connection_error(const boost::system::error_code& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message ||
           error.category() != make_error_code(http::error::end_of_stream).category();
}

struct head_reading {
    // Whether a head was read and is that of a response.
    bool is_valid{};
    // The head of a chunked response, to which the parser adds the fields behind the last chunk.
    std::optional<http::response_header<>> before_chunks;
};

// Reads one response. Returns an error also if its head isn't that of a response, as soon as that
// was read, and if all responses together take too much memory.
asio::awaitable<boost::system::error_code>
read_one(target_connection& connection, http::response_parser<http::string_body>& parser,
         head_reading& head, shell::receive_budget::share& memory, std::size_t max_body_bytes)
{
    parser.body_limit(max_body_bytes);
    auto error = co_await shell::read_response_head(connection.socket, connection.buffer, parser);
    head.is_valid = !error;
    if (head.is_valid && parser.chunked()) {
        head.before_chunks = parser.get().base();
    }
    parser.eager(true);
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(connection.socket, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (!memory.grow_to(parser.get().body().size() + connection.buffer.capacity())) {
            error = http::error::body_limit;
        }
    }
    co_return error;
}

// Reads responses until the one to this request; those before it belong to earlier requests. Clears
// `reusable` if the connection can't be reused afterwards. Sets `partial` if the response was
// not received completely.
asio::awaitable<std::optional<target_response>>
read_response(target_connection& connection, const target_request& request,
              shell::receive_budget& budget, bool& reusable, partial_response& partial)
{
    const bool is_first = !std::exchange(connection.is_used, true);
    int stale_responses = 0;
    int interim_responses = 0;
    while (stale_responses <= max_stale_responses &&
           interim_responses <= shell::max_interim_responses) {
        http::response_parser<http::string_body> parser;
        parser.skip(request.is_head);
        shell::receive_budget::share memory{budget};
        head_reading head;
        const auto error =
            co_await read_one(connection, parser, head, memory, budget.limits().shared);
        if (error) {
            partial.is_too_long = is_length_error(error);
            partial.is_connection_lost = is_connection_error(error);
            if (head.is_valid && matches_request(parser.get(), request, is_first)) {
                partial.signals = signals_of(parser.get(), *request.header_names);
            }
            co_return std::nullopt;
        }
        if (shell::is_interim(parser.get().base())) {
            ++interim_responses;
            continue;
        }
        reusable = reusable && parser.keep_alive() && !parser.need_eof();
        auto response = parser.release();
        if (head.before_chunks) {
            response.base() = std::move(*head.before_chunks);
        }
        if (matches_request(response, request, is_first)) {
            reusable = reusable && connection.buffer.size() == 0;
            co_return response;
        }
        reusable = false;
        ++stale_responses;
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

send_result unanswered_result(const send_control& control, bool may_have_been_sent)
{
    send_result out;
    out.may_have_run = may_have_been_sent;
    out.may_have_arrived = may_have_been_sent;
    if (control.caller_disconnected || control.is_answered) {
        out.outcome = send_outcome::abandoned;
    }
    else if (control.deadline_passed) {
        out.outcome = send_outcome::timed_out;
    }
    else {
        out.outcome = may_have_been_sent ? send_outcome::broken : send_outcome::not_reached;
    }
    return out;
}

asio::awaitable<send_result> send_to_target(target_connection_pool& pool,
                                            std::shared_ptr<send_control> control,
                                            target_request request)
{
    std::optional<duration> connect_time;
    const auto with_connection = [&connect_time](send_result result) {
        result.connect_time = connect_time;
        result.connection_reused = !connect_time;
        return result;
    };
    std::unique_ptr<target_connection> connection;
    // Without an id, only a connection of its own tells which response belongs to the request.
    if (!request.request_id.empty()) {
        connection = pool.acquire(request.target_id, request.request_id, shell::monotonic_now(),
                                  request.max_idle_time);
    }
    if (!connection) {
        connection = std::make_unique<target_connection>(co_await asio::this_coro::executor);
        set_close_handler(*control, *connection);
        const auto started_at = shell::monotonic_now();
        const auto connect_error =
            co_await connect(*connection, control, request.address, request.connect_timeout);
        control->close = nullptr;
        const duration took = shell::monotonic_now() - started_at;
        if (connect_error || control->aborted()) {
            auto result = unanswered_result(*control, false);
            result.connect_timed_out = connect_error && took >= request.connect_timeout;
            co_return result;
        }
        connect_time = took;
    }
    if (request.admit_write && !request.admit_write()) {
        // A connection that was idle already is closed: nothing shows for how long the target still
        // keeps it.
        if (connect_time) {
            connection->idle_timeout = default_idle_timeout;
            pool.release(request.target_id, std::move(connection), shell::monotonic_now());
        }
        send_result result;
        result.outcome = send_outcome::withheld;
        co_return with_connection(std::move(result));
    }
    set_close_handler(*control, *connection);
    if (request.deadline) {
        set_remaining_time(request.request_bytes, request.header_names->remaining_time_ms,
                           *request.deadline - shell::monotonic_now());
    }
    boost::system::error_code error;
    co_await asio::async_write(connection->socket, asio::buffer(request.request_bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control->close = nullptr;
        shell::reset(connection->socket);
        auto result = unanswered_result(*control, true);
        result.is_connection_lost = true;
        co_return with_connection(std::move(result));
    }
    bool reusable = !request.request_id.empty();
    partial_response partial;
    auto response =
        co_await read_response(*connection, request, pool.responses(), reusable, partial);
    control->close = nullptr;
    if (!response) {
        shell::reset(connection->socket);
        auto result = unanswered_result(*control, true);
        result.signals = partial.signals;
        result.is_too_long = partial.is_too_long;
        result.is_connection_lost = partial.is_connection_lost;
        co_return with_connection(std::move(result));
    }
    const auto idle_timeout = parse_idle_timeout(*response);
    auto result = with_connection(evaluate_response(std::move(*response), request));
    if (reusable) {
        if (result.outcome != send_outcome::answered) {
            connection->add_unfinished(request.request_id);
        }
        connection->idle_timeout = idle_timeout;
        pool.release(request.target_id, std::move(connection), shell::monotonic_now());
    }
    co_return result;
}

asio::awaitable<target_reachability> probe_target(target_connection_pool& pool,
                                                  std::string target_id, endpoint address,
                                                  duration timeout, duration hold)
{
    auto connection = std::make_unique<target_connection>(co_await asio::this_coro::executor);
    const auto control = std::make_shared<send_control>();
    set_close_handler(*control, *connection);
    const auto error = co_await connect(*connection, control, address, timeout);
    control->close = nullptr;
    if (error) {
        co_return reachability_of(error);
    }
    if (hold > duration{}) {
        asio::steady_timer timer{co_await asio::this_coro::executor};
        timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(hold));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!is_open_and_silent(*connection)) {
            co_return target_reachability::unknown;
        }
    }
    connection->idle_timeout = default_idle_timeout;
    pool.release(target_id, std::move(connection), shell::monotonic_now());
    co_return target_reachability::accepts;
}

asio::awaitable<target_reachability> probe_process(endpoint address, duration timeout)
{
    target_connection connection{co_await asio::this_coro::executor};
    const auto control = std::make_shared<send_control>();
    set_close_handler(*control, connection);
    const auto error = co_await connect(connection, control, address, timeout);
    control->close = nullptr;
    co_return reachability_of(error);
}

} // namespace bth::gateway
