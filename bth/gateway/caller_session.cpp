#include "bth/gateway/caller_session.h"

#include "bth/shell/net.h"

#include <array>
#include <chrono>
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

// Requests of one connection that are under way together; the next is read after an answer.
constexpr std::size_t most_pending = 16;
// How often a connection looks whether it has been idle for too long.
constexpr std::chrono::seconds watch_interval{3};
// Limits before a configuration says otherwise.
constexpr std::uint32_t usual_header_bytes = 16384;
constexpr std::uint64_t usual_body_bytes = 1024ULL * 1024;
constexpr std::chrono::seconds usual_header_timeout{5};
constexpr std::chrono::seconds usual_idle_timeout{15};
// After the last answer the caller is given so long to close first, so that it gets all bytes.
constexpr std::chrono::milliseconds linger_limit{1000};

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, std::shared_ptr<gateway> path)
    : socket{std::move(socket)}, path{std::move(path)}, room{this->socket.get_executor()},
      idle_timer{this->socket.get_executor()}, last_active{shell::monotonic_now()}
{
    ++this->path->callers;
}

caller_session::~caller_session()
{
    --this->path->callers;
}

void caller_session::start()
{
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this()] { return self->read_all(); },
        asio::detached);
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this()] { return self->watch(); },
        asio::detached);
}

void caller_session::close_if_idle()
{
    if (this->queue.empty() && !this->reading_request) {
        this->drop();
    }
}

// Closes the connection and gives up all that is under way for it.
void caller_session::drop()
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    for (const auto& each : this->queue) {
        if (!each->made) {
            each->request->control->caller_gone = true;
            each->request->control->abort();
        }
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->room.cancel();
    this->idle_timer.cancel();
}

asio::awaitable<void> caller_session::read_all()
{
    bool more = true;
    while (more && !this->closed && !this->read_closed) {
        if (this->queue.size() >= most_pending) {
            boost::system::error_code ignored;
            this->room.expires_at(std::chrono::steady_clock::time_point::max());
            co_await this->room.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        more = co_await this->read_one();
    }
}

// Reads one request and begins to serve it. False if nothing more can be read.
asio::awaitable<bool> caller_session::read_one()
{
    http::request_parser<http::string_body> parser;
    const bool configured = this->path->is_configured();
    const auto& limits = this->path->limits();
    parser.header_limit(configured ? static_cast<std::uint32_t>(limits.header_bytes)
                                   : usual_header_bytes);
    parser.body_limit(configured ? limits.body_bytes : usual_body_bytes);
    boost::system::error_code error;
    co_await http::async_read_header(this->socket, this->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->reading_request = true;
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->socket, asio::buffer(go_on),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        co_await http::async_read(this->socket, this->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    this->reading_request = false;
    if (this->closed || this->read_closed) {
        // What came behind the last answer was not read as far as the caller is concerned.
        this->drop();
        co_return false;
    }
    if (error == http::error::header_limit) {
        this->answer_bad_request(
            static_cast<unsigned>(http::status::request_header_fields_too_large), "header_limit");
        co_return false;
    }
    if (error == http::error::body_limit) {
        this->answer_bad_request(static_cast<unsigned>(http::status::payload_too_large),
                                 "request_too_large");
        co_return false;
    }
    const bool malformed =
        error.category() == make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message;
    if (error && malformed) {
        this->answer_bad_request(static_cast<unsigned>(http::status::bad_request), "bad_request");
        co_return false;
    }
    if (error) {
        // The caller has left.
        this->drop();
        co_return false;
    }
    this->last_active = shell::monotonic_now();
    auto one = std::make_shared<pending>();
    one->caller_closes = !parser.keep_alive();
    one->request = std::make_shared<served_request>();
    one->request->begun = this->last_active;
    one->request->head = parser.release();
    this->queue.push_back(one);
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this(), one] { return self->serve(one); },
        asio::detached);
    if (one->caller_closes) {
        co_return co_await this->wait_for_end();
    }
    co_return true;
}

// Notices when the caller leaves after its last request.
asio::awaitable<bool> caller_session::wait_for_end()
{
    std::array<char, 256> passed_over{};
    boost::system::error_code error;
    while (!error && !this->closed) {
        co_await this->socket.async_read_some(asio::buffer(passed_over),
                                              asio::redirect_error(asio::use_awaitable, error));
    }
    this->drop();
    co_return false;
}

// Answers what can't be understood, after the answers to the requests before it.
void caller_session::answer_bad_request(unsigned status, std::string_view reason)
{
    this->path->metrics.count_refusal(refusal_reason::bad_request, 0);
    this->path->events->write(
        shell::event{"bad_request"}.with("status", status).with("reason", reason));
    auto one = std::make_shared<pending>();
    one->request = std::make_shared<served_request>();
    one->made = make_plain(status, reason, true);
    this->queue.push_back(one);
    asio::co_spawn(
        this->socket.get_executor(), [self = shared_from_this()] { return self->write_ready(); },
        asio::detached);
}

asio::awaitable<void> caller_session::serve(std::shared_ptr<pending> one)
{
    const auto self = shared_from_this();
    one->made = co_await this->path->serve(one->request);
    co_await this->write_ready();
}

// Writes the answers whose turn has come.
asio::awaitable<void> caller_session::write_ready()
{
    const auto self = shared_from_this();
    if (this->writing) {
        co_return;
    }
    this->writing = true;
    while (!this->closed && !this->queue.empty() && this->queue.front()->made) {
        const auto one = this->queue.front();
        const bool last = this->queue.size() == 1;
        const bool stops = this->path->stopping && last && !this->reading_request;
        const bool closes = one->made->closes || one->caller_closes || stops;
        const auto bytes = serialize(*one->made, closes);
        boost::system::error_code error;
        co_await asio::async_write(this->socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        this->queue.pop_front();
        this->last_active = shell::monotonic_now();
        this->room.cancel();
        if (error) {
            this->drop();
        }
        else if (closes) {
            co_await this->linger();
        }
    }
    this->writing = false;
}

// Says that nothing more comes, and waits for the caller to close, so that no answer is lost to a
// reset.
asio::awaitable<void> caller_session::linger()
{
    this->read_closed = true;
    boost::system::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    this->idle_timer.expires_after(linger_limit);
    this->idle_timer.async_wait([self = shared_from_this()](const auto& ended) {
        if (!ended) {
            self->drop();
        }
    });
    co_return;
}

// Closes the connection when it has been idle, or slow to send a header, for too long.
asio::awaitable<void> caller_session::watch()
{
    std::optional<time_point> amid_since;
    while (!this->closed && !this->read_closed) {
        boost::system::error_code ended;
        this->idle_timer.expires_after(watch_interval);
        co_await this->idle_timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
        if (this->closed || this->read_closed) {
            co_return;
        }
        const bool configured = this->path->is_configured();
        const auto& limits = this->path->limits();
        const bool amid_header = this->buffer.size() > 0 || this->reading_request;
        const auto now = shell::monotonic_now();
        if (!amid_header) {
            amid_since.reset();
        }
        else if (!amid_since) {
            amid_since = now;
        }
        const duration idle_limit = configured ? limits.idle_timeout : duration{usual_idle_timeout};
        const duration header_limit =
            configured ? limits.header_timeout : duration{usual_header_timeout};
        const bool idle = !amid_header && now - this->last_active >= idle_limit;
        const bool slow = amid_since && now - *amid_since >= header_limit;
        if (this->queue.empty() && (idle || slow)) {
            this->drop();
        }
    }
}

} // namespace bth::gateway
