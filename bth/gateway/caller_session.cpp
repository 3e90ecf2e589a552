#include "bth/gateway/caller_session.h"

#include "bth/shell/net.h"
#include "bth/shell/transfer_codings.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace bth::gateway {

namespace {

namespace asio = boost::asio;

// Requests of one connection in flight at a time; the next one is read after a response is written.
constexpr std::size_t max_pipelined_requests = 16;
constexpr std::chrono::seconds timeout_check_interval{3};
// Room for what is parsed at once beside a head of the allowed size, such as the end of a body.
constexpr std::size_t buffer_slack = 1024;
// After this time the memory of other requests may be free again.
constexpr std::chrono::milliseconds memory_retry_time{500};
// Limits in force until the first configuration arrives.
constexpr std::uint32_t default_header_bytes = 16384;
constexpr std::uint64_t default_body_bytes = 1024ULL * 1024;
constexpr std::chrono::seconds default_header_timeout{5};
constexpr std::chrono::seconds default_idle_timeout{15};
// Time after the last response for the caller to close the connection first, so that it receives
// all bytes.
constexpr std::chrono::milliseconds lingering_close_timeout{1000};

// Returns the memory that a string takes while bytes are appended to it. Of what was reserved
// for a length that the sender stated, only the written part takes memory.
std::size_t memory_of(const std::string& text)
{
    return std::min(text.capacity(), 2 * text.size());
}

std::string_view name_of(connection_end why)
{
    switch (why) {
    case connection_end::caller_gone:
        return "caller_gone";
    case connection_end::idle:
        return "idle";
    case connection_end::linger_expired:
        return "linger_expired";
    case connection_end::write_failed:
        return "write_failed";
    case connection_end::exit:
        return "exit";
    }
    return "unknown";
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket,
                               std::shared_ptr<gateway> request_gateway)
    : socket{std::move(socket)}, request_gateway{std::move(request_gateway)},
      capacity_signal{this->socket.get_executor()}, timer{this->socket.get_executor()},
      last_activity{shell::monotonic_now()}
{
    ++this->request_gateway->callers;
}

caller_session::~caller_session()
{
    --this->request_gateway->callers;
}

void caller_session::start()
{
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this()] { return self->read_requests(); },
        asio::detached);
    asio::co_spawn(
        this->socket.get_executor(),
        [self = shared_from_this()] { return self->enforce_timeouts(); }, asio::detached);
}

void caller_session::finish()
{
    if (this->closed || this->read_closed || this->reading_request) {
        return;
    }
    if (this->queue.empty()) {
        this->abort_connection(connection_end::idle);
        return;
    }
    if (this->writing && this->queue.size() == 1) {
        // The response that is being written may not have announced the close.
        return;
    }
    this->read_closed = true;
}

// Logs the requests that end without a complete response although their caller waits for it.
void caller_session::report_cut_requests(connection_end why)
{
    if (why == connection_end::caller_gone) {
        return;
    }
    for (const auto& pipelined : this->queue) {
        this->request_gateway->metrics.count_cut_request();
        this->request_gateway->events->write(
            shell::event{"request_cut"}
                .with("request", this->request_gateway->request_id(pipelined->request->message))
                .with("why", name_of(why))
                .with("connection_closing", this->read_closed)
                .with("response_ready", pipelined->response.has_value())
                .with("stopping", this->request_gateway->is_stopping())
                .with("age_ms", shell::monotonic_now() - pipelined->request->started));
    }
}

// Closes the connection and cancels its requests in flight.
void caller_session::abort_connection(connection_end why)
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    this->report_cut_requests(why);
    for (const auto& pipelined : this->queue) {
        if (!pipelined->response) {
            pipelined->request->control->caller_disconnected = true;
            pipelined->request->control->abort();
        }
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->capacity_signal.cancel();
    this->timer.cancel();
}

asio::awaitable<void> caller_session::read_requests()
{
    bool keep_reading = true;
    while (keep_reading && !this->closed && !this->read_closed) {
        if (this->queue.size() >= max_pipelined_requests) {
            co_await this->await_capacity();
            continue;
        }
        keep_reading = co_await this->read_request();
    }
    if (keep_reading && !this->closed) {
        co_await this->wait_for_disconnect();
    }
}

// Waits until a response has been written or the connection is closed.
asio::awaitable<void> caller_session::await_capacity()
{
    boost::system::error_code ignored;
    this->capacity_signal.expires_at(std::chrono::steady_clock::time_point::max());
    co_await this->capacity_signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Reads one request and starts to serve it. Returns false if no further request can be read.
asio::awaitable<bool> caller_session::read_request()
{
    http::request_parser<http::string_body> parser;
    const bool configured = this->request_gateway->is_configured();
    const auto& limits = this->request_gateway->caller_limits();
    const auto header_bytes =
        configured ? static_cast<std::uint32_t>(limits.header_bytes) : default_header_bytes;
    parser.header_limit(header_bytes);
    // Also bounds a trailer and the extensions of a chunk, which the parser's limits don't.
    this->buffer.max_size(std::max(this->buffer.size(), header_bytes + buffer_slack));
    auto memory =
        std::make_unique<shell::receive_budget::share>(this->request_gateway->request_memory());
    bool has_room = true;
    parser.body_limit(configured ? limits.body_bytes : default_body_bytes);
    boost::system::error_code error;
    co_await http::async_read_header(this->socket, this->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->reading_request = true;
    const auto codings =
        error ? shell::transfer_codings::readable : shell::transfer_codings_of(parser.get());
    if (codings != shell::transfer_codings::readable && !this->closed && !this->read_closed) {
        this->reading_request = false;
        const auto status = codings == shell::transfer_codings::unknown
                                ? http::status::not_implemented
                                : http::status::bad_request;
        this->send_error_response(static_cast<unsigned>(status), "transfer_encoding");
        co_return co_await this->wait_for_disconnect();
    }
    const bool expects_continue = !error && parser.get()[http::field::expect] == "100-continue";
    while (expects_continue && !this->queue.empty() && !this->closed && !this->read_closed) {
        // Written now, it could end up inside an earlier response.
        co_await this->await_capacity();
    }
    if (expects_continue && !this->closed && !this->read_closed) {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->socket, asio::buffer(continue_response),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    // Reading the head alone has turned that off.
    parser.eager(true);
    while (!error && has_room && !parser.is_done()) {
        co_await http::async_read_some(this->socket, this->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        has_room = memory->grow_to(memory_of(parser.get().body()));
    }
    this->reading_request = false;
    if (this->closed) {
        co_return false;
    }
    // Beast reports malformed input and exceeded limits as errors of its own category.
    const bool has_ended =
        error && (error == http::error::end_of_stream || error == http::error::partial_message ||
                  error.category() != make_error_code(http::error::bad_method).category());
    if (has_ended) {
        this->abort_connection(connection_end::caller_gone);
        co_return false;
    }
    if (this->read_closed) {
        // To the caller, a request behind the last response is unread, so it isn't served. That
        // response may still be on its way, so the connection isn't closed either.
        co_return co_await this->wait_for_disconnect();
    }
    if (!has_room) {
        memory.reset();
        this->refuse_for_memory();
        co_return co_await this->wait_for_disconnect();
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        this->send_error_response(
            static_cast<unsigned>(http::status::request_header_fields_too_large), "header_limit");
        co_return co_await this->wait_for_disconnect();
    }
    if (error == http::error::body_limit) {
        this->send_error_response(static_cast<unsigned>(http::status::payload_too_large),
                                  "request_too_large");
        co_return co_await this->wait_for_disconnect();
    }
    if (error) {
        this->send_error_response(static_cast<unsigned>(http::status::bad_request), "bad_request");
        co_return co_await this->wait_for_disconnect();
    }
    this->last_activity = shell::monotonic_now();
    auto pipelined = std::make_shared<pipelined_request>();
    pipelined->caller_requests_close = !parser.keep_alive();
    pipelined->request = std::make_shared<served_request>();
    pipelined->request->started = this->last_activity;
    pipelined->request->message = parser.release();
    pipelined->request->memory = std::move(memory);
    this->queue.push_back(pipelined);
    asio::co_spawn(
        this->socket.get_executor(),
        [self = shared_from_this(), pipelined] { return self->serve(pipelined); }, asio::detached);
    if (pipelined->caller_requests_close) {
        co_return co_await this->wait_for_disconnect();
    }
    co_return true;
}

// Discards input after the last request until the caller disconnects, which cancels requests in
// flight. Always returns false: no further request can be read.
asio::awaitable<bool> caller_session::wait_for_disconnect()
{
    std::array<char, 256> discarded{};
    boost::system::error_code error;
    while (!error && !this->closed) {
        co_await this->socket.async_read_some(asio::buffer(discarded),
                                              asio::redirect_error(asio::use_awaitable, error));
    }
    this->abort_connection(connection_end::caller_gone);
    co_return false;
}

// Refuses a request that wasn't read to its end since the requests of all callers together take
// too much memory.
void caller_session::refuse_for_memory()
{
    this->request_gateway->metrics.count_refusal(refusal_reason::too_many_connections, 0);
    this->request_gateway->events->write(shell::event{"request_memory_full"}.with(
        "held_bytes", this->request_gateway->request_memory().bytes()));
    auto response = make_refusal_response(
        {refusal_reason::too_many_connections, run_state::no, memory_retry_time});
    response.closes_connection = true;
    this->queue_last_response(std::move(response));
}

// Queues an error response to a malformed or oversized request behind the responses to earlier
// requests.
void caller_session::send_error_response(unsigned status, std::string_view reason)
{
    this->request_gateway->metrics.count_refusal(refusal_reason::bad_request, 0);
    this->request_gateway->events->write(
        shell::event{"bad_request"}.with("status", status).with("reason", reason));
    this->queue_last_response(make_error_response(status, reason, true));
}

void caller_session::queue_last_response(caller_response response)
{
    auto pipelined = std::make_shared<pipelined_request>();
    pipelined->request = std::make_shared<served_request>();
    pipelined->response = std::move(response);
    this->queue.push_back(pipelined);
    asio::co_spawn(
        this->socket.get_executor(),
        [self = shared_from_this()] { return self->write_responses(); }, asio::detached);
}

asio::awaitable<void> caller_session::serve(std::shared_ptr<pipelined_request> pipelined)
{
    const auto self = shared_from_this();
    pipelined->response = co_await this->request_gateway->serve(pipelined->request);
    co_await this->write_responses();
}

// Writes responses in request order, up to the first request that is still being served.
asio::awaitable<void> caller_session::write_responses()
{
    const auto self = shared_from_this();
    if (this->writing) {
        co_return;
    }
    this->writing = true;
    while (!this->closed && !this->queue.empty() && this->queue.front()->response) {
        const auto pipelined = this->queue.front();
        const bool is_last = this->queue.size() == 1;
        const bool closes_for_stop =
            this->request_gateway->is_stopping() && is_last && !this->reading_request;
        const bool closes = pipelined->response->closes_connection ||
                            pipelined->caller_requests_close || closes_for_stop ||
                            (this->read_closed && is_last);
        // From here on no request is served: its response would find the connection closed.
        this->read_closed = this->read_closed || closes;
        const bool is_head = pipelined->request->message.method() == http::verb::head;
        const auto bytes = serialize(*pipelined->response, closes, is_head);
        boost::system::error_code error;
        co_await asio::async_write(this->socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            this->abort_connection(connection_end::write_failed);
        }
        this->queue.pop_front();
        this->last_activity = shell::monotonic_now();
        this->capacity_signal.cancel();
        if (!error && closes) {
            co_await this->begin_lingering_close();
        }
    }
    this->writing = false;
}

// Closes the sending side and leaves time for the caller to close the connection, since closing it
// with unread input would reset it and could lose the response.
asio::awaitable<void> caller_session::begin_lingering_close()
{
    boost::system::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    this->timer.expires_after(lingering_close_timeout);
    this->timer.async_wait([self = shared_from_this()](const auto& wait_error) {
        if (!wait_error) {
            self->abort_connection(connection_end::linger_expired);
        }
    });
    co_return;
}

// Closes the connection if it is idle for too long or takes too long to send a request.
asio::awaitable<void> caller_session::enforce_timeouts()
{
    std::optional<time_point> receiving_since;
    while (!this->closed && !this->read_closed) {
        boost::system::error_code error;
        this->timer.expires_after(timeout_check_interval);
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (this->closed || this->read_closed) {
            co_return;
        }
        const bool configured = this->request_gateway->is_configured();
        const auto& limits = this->request_gateway->caller_limits();
        const bool receiving_request = this->buffer.size() > 0 || this->reading_request;
        const auto now = shell::monotonic_now();
        if (!receiving_request) {
            receiving_since.reset();
        }
        else if (!receiving_since) {
            receiving_since = now;
        }
        const duration idle_timeout =
            configured ? limits.idle_timeout : duration{default_idle_timeout};
        const duration header_timeout =
            configured ? limits.header_timeout : duration{default_header_timeout};
        const bool too_idle = !receiving_request && now - this->last_activity >= idle_timeout;
        const bool too_slow = receiving_since && now - *receiving_since >= header_timeout;
        if (this->queue.empty() && (too_idle || too_slow)) {
            this->abort_connection(connection_end::idle);
        }
    }
}

} // namespace bth::gateway
