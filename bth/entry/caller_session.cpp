#include "bth/entry/caller_session.h"

#include "bth/entry/lookup.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace bth::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;
constexpr unsigned http_1_1 = 11;
constexpr duration most_timeout = std::chrono::hours{1};
// How much of a refused body is read, and for how long, so that the caller can read its answer.
constexpr std::size_t linger_bytes = std::size_t{1024} * 1024;
constexpr std::chrono::seconds linger_time{1};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

// Whether the peer has closed its side or the connection is broken.
bool is_gone(asio::ip::tcp::socket& socket)
{
    char byte{};
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool is_well_formed(const request_head& head)
{
    return head.count(http::field::host) == 1 && head.target().starts_with('/') &&
           head.method() != http::verb::connect;
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, std::shared_ptr<caller_server> from)
    : owner{std::move(from)}, stream{std::move(socket)}
{
    this->owner->sessions.insert(this);
}

caller_session::~caller_session()
{
    this->owner->sessions.erase(this);
}

void caller_session::start()
{
    asio::co_spawn(
        this->stream.get_executor(), [self = shared_from_this()] { return self->run(); },
        asio::detached);
}

void caller_session::start_refused()
{
    asio::co_spawn(
        this->stream.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->refuse_here(refusal_reason::too_many_connections);
            co_await self->linger();
        },
        asio::detached);
}

void caller_session::close_idle()
{
    if (this->idle) {
        this->stream.close();
    }
}

asio::awaitable<void> caller_session::run()
{
    bool more = true;
    while (more) {
        more = co_await this->serve_one();
    }
    this->stream.close();
}

asio::awaitable<bool> caller_session::serve_one()
{
    this->chunk = {};
    if (this->buffer.size() == 0) {
        this->buffer.shrink_to_fit();
    }
    this->parser.emplace();
    this->parser->header_limit(this->owner->limits.header_bytes);
    this->parser->body_limit(this->owner->limits.body_bytes);
    this->idle = true;
    this->stream.expires_after(this->owner->limits.idle);
    boost::system::error_code error;
    co_await http::async_read_header(this->stream, this->buffer, *this->parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->idle = false;
    if (error) {
        co_return co_await this->refuse_unread(error);
    }
    this->stream.expires_never();
    this->take_head();
    co_return co_await this->serve_head();
}

asio::awaitable<bool> caller_session::refuse_unread(boost::system::error_code error)
{
    const bool too_large = error == http::error::header_limit || error == http::error::body_limit ||
                           error == http::error::buffer_overflow;
    const bool malformed =
        error.category() == make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message;
    if (too_large || malformed) {
        this->keep_alive = false;
        co_await this->refuse_here(too_large ? refusal_reason::request_too_large
                                             : refusal_reason::bad_request);
        co_await this->linger();
    }
    co_return false;
}

void caller_session::take_head()
{
    this->keep_alive = this->parser->keep_alive() && !this->owner->services.driver.is_stopping();
    this->body_follows = !this->parser->is_done();
    this->own_head = this->parser->get().base();
    this->expects_continue = beast::iequals(this->own_head[http::field::expect], "100-continue");
}

asio::awaitable<bool> caller_session::serve_head()
{
    const auto site = this->owner->services.driver.site();
    if (!is_well_formed(this->own_head)) {
        this->keep_alive = false;
        co_return co_await this->refuse_here(refusal_reason::bad_request);
    }
    if (site == nullptr) {
        co_return co_await this->refuse_here(refusal_reason::not_configured);
    }
    if (this->is_lookup(site.get())) {
        co_return co_await this->serve_lookup(*site);
    }
    const auto service = site->service_named(view(this->own_head[http::field::host]));
    if (!service) {
        co_return co_await this->refuse_here(refusal_reason::unknown_service);
    }
    const auto timeout = this->timeout_of(site->model().at(*service));
    if (!timeout) {
        co_return co_await this->refuse_here(refusal_reason::bad_request);
    }
    co_return co_await this->serve_request(*site, *service, *timeout);
}

bool caller_session::is_lookup(const site_index* site) const
{
    const auto path = view(this->own_head.target());
    return path.substr(0, path.find('?')) == "/lookup" &&
           !site->service_named(view(this->own_head[http::field::host]));
}

std::optional<duration> caller_session::timeout_of(const config::service& service) const
{
    const auto field = this->own_head.find(timeout_field);
    if (field == this->own_head.end()) {
        return service.default_timeout;
    }
    const auto stated = whole_number(view(field->value()));
    if (!stated || *stated == 0) {
        return std::nullopt;
    }
    const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(most_timeout).count();
    const auto limited = std::min<std::uint64_t>(*stated, static_cast<std::uint64_t>(most));
    return std::chrono::milliseconds{static_cast<std::int64_t>(limited)};
}

asio::awaitable<bool> caller_session::serve_lookup(const site_index& site)
{
    boost::system::error_code error;
    const auto remote = shell::from_asio(this->stream.socket().remote_endpoint(error));
    this->owner->services.metrics.count_lookup();
    const std::string prefix = this->owner->services.records.prefix(shell::monotonic_now());
    auto response =
        answer_lookup(this->owner->services.driver, site, remote.address,
                      view(this->own_head.target()), view(this->own_head[key_field]), prefix);
    const bool sent = co_await this->send_whole(std::move(response));
    if (!sent) {
        co_return false;
    }
    co_return co_await this->end_exchange();
}

asio::awaitable<bool> caller_session::serve_request(const site_index& site, service_id service,
                                                    duration timeout)
{
    boost::system::error_code error;
    const auto remote = shell::from_asio(this->stream.socket().remote_endpoint(error));
    entry_services& services = this->owner->services;
    steering::arrival request;
    request.id = services.driver.next_request_id();
    request.service = service;
    request.caller_class = site.class_proved_by(view(this->own_head[key_field]));
    request.home = site.home_of(remote.address);
    request.repeatable = site.is_repeatable(service, view(this->own_head.method_string()));
    request.deadline = shell::monotonic_now() + timeout;
    const request_names names{site.model().at(service).name,
                              site.model().at(request.caller_class).name,
                              site.model().at(request.home).name, request.repeatable};
    services.metrics.count_arrival();
    const bool runs = co_await this->may_run(request, names);
    if (!runs) {
        co_return co_await this->end_exchange();
    }
    strip_request_fields(this->own_head);
    this->orders = std::make_shared<request_orders>(services.executor);
    if (!this->body_follows) {
        this->watch_caller();
    }
    const serve_end end = co_await serve(services, *this, this->orders, request, names);
    this->orders.reset();
    if (this->keyed) {
        this->keyed->end(shell::monotonic_now());
        this->keyed.reset();
    }
    if (end != serve_end::answered) {
        co_return false;
    }
    co_return co_await this->end_exchange();
}

asio::awaitable<bool> caller_session::may_run(const steering::arrival& request,
                                              const request_names& names)
{
    const std::string key{view(this->own_head[idempotency_field])};
    if (request.repeatable || key.empty()) {
        co_return true;
    }
    const std::string identity = names.service + '\n' + names.caller_class + '\n' +
                                 std::string{view(this->own_head.method_string())} + '\n' +
                                 std::string{view(this->own_head.target())};
    entry_services& services = this->owner->services;
    this->keyed.emplace(services.records, key);
    const once::verdict verdict = this->keyed->begin(identity, shell::monotonic_now());
    if (verdict.action == once::decision::run) {
        co_return true;
    }
    this->keyed.reset();
    if (verdict.action != once::decision::replay) {
        services.metrics.count_refusal(verdict.reason);
    }
    const bool sent = co_await this->send_whole(answer_without_run(verdict));
    this->keep_alive = this->keep_alive && sent;
    co_return false;
}

// Whether another request may follow on the connection.
asio::awaitable<bool> caller_session::end_exchange()
{
    if (this->parser->is_done()) {
        co_return this->keep_alive;
    }
    co_await this->linger();
    co_return false;
}

asio::awaitable<bool> caller_session::refuse_here(refusal_reason reason)
{
    constexpr duration usual_retry_after = std::chrono::seconds{1};
    this->owner->services.metrics.count_refusal(reason);
    const bool has_request = this->parser && this->parser->is_header_done();
    const bool sent =
        co_await this->refuse(refusal_order{reason, run_state::no, usual_retry_after});
    if (!sent || !has_request) {
        co_return false;
    }
    co_return co_await this->end_exchange();
}

asio::awaitable<bool> caller_session::refuse(const refusal_order& refusal)
{
    if (this->keyed) {
        this->keyed->take_refusal(refusal.run);
    }
    co_return co_await this->send_whole(
        make_refusal(http_1_1, refusal.reason, refusal.run, refusal.retry_after));
}

asio::awaitable<bool> caller_session::send_whole(whole_answer response)
{
    if (this->own_head.method() == http::verb::head) {
        response.body().clear();
    }
    const bool body_read = this->parser && this->parser->is_done();
    this->keep_alive = this->keep_alive && body_read;
    response.keep_alive(this->keep_alive);
    response.prepare_payload();
    this->stream.expires_after(this->owner->limits.idle);
    boost::system::error_code error;
    co_await http::async_write(this->stream, response,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> caller_session::linger()
{
    boost::system::error_code error;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    this->chunk.resize(chunk_bytes);
    this->stream.expires_after(linger_time);
    std::size_t total = 0;
    while (!error && total < linger_bytes) {
        total += co_await this->stream.async_read_some(
            asio::buffer(this->chunk), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<body_chunk> caller_session::read_body()
{
    boost::system::error_code error;
    this->stream.expires_after(this->owner->limits.idle);
    if (std::exchange(this->expects_continue, false)) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(go_on),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    this->chunk.resize(chunk_bytes);
    this->buffer.reserve(chunk_bytes);
    body_chunk out;
    while (!error && !this->parser->is_done() && out.bytes.empty()) {
        auto& into = this->parser->get().body();
        into.data = this->chunk.data();
        into.size = this->chunk.size();
        co_await http::async_read_some(this->stream, this->buffer, *this->parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        out.bytes = std::span{this->chunk}.first(this->chunk.size() - into.size);
    }
    this->stream.expires_never();
    out.failed = static_cast<bool>(error);
    out.last = this->parser->is_done();
    if (out.last) {
        this->watch_caller();
    }
    co_return out;
}

asio::awaitable<bool> caller_session::begin_answer(answer_start& start)
{
    if (this->keyed) {
        this->keyed->take_head(start.head);
    }
    this->answer.emplace();
    this->answer->base() = std::move(start.head);
    this->answer->version(http_1_1);
    const auto status = this->answer->result();
    const bool bodiless = this->own_head.method() == http::verb::head ||
                          status == http::status::no_content ||
                          status == http::status::not_modified;
    if (!bodiless && start.length) {
        this->answer->content_length(*start.length);
    }
    if (!bodiless && !start.length) {
        // A caller of HTTP/1.0 gets the end of the connection for the end of the answer; an answer
        // that is cut resets the connection.
        const bool chunks = this->own_head.version() >= http_1_1;
        this->answer->chunked(chunks);
        this->keep_alive = this->keep_alive && chunks;
    }
    this->keep_alive = this->keep_alive && this->parser->is_done();
    this->answer->keep_alive(this->keep_alive);
    this->serializer.emplace(*this->answer);
    return this->continue_answer(start.first);
}

asio::awaitable<bool> caller_session::continue_answer(const body_chunk& part)
{
    if (this->keyed) {
        this->keyed->take_part(part);
    }
    auto& body = this->answer->body();
    body.data = part.bytes.empty() ? nullptr : part.bytes.data();
    body.size = part.bytes.size();
    body.more = !part.last;
    this->stream.expires_after(this->owner->limits.idle);
    boost::system::error_code error;
    co_await http::async_write(this->stream, *this->serializer,
                               asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error || error == http::error::need_buffer;
}

void caller_session::cut_answer()
{
    boost::system::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    this->stream.close();
}

void caller_session::watch_caller()
{
    if (std::exchange(this->watching, true)) {
        return;
    }
    this->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->watching = false;
            if (!error && self->orders && is_gone(self->stream.socket())) {
                self->orders->stop(stop_cause::caller_gone);
            }
        });
}

} // namespace bth::entry
