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
constexpr duration max_timeout = std::chrono::hours{1};
// Limits of lingering_close(), which reads the body of a refused request so that the caller can
// read its response.
constexpr std::size_t max_lingering_bytes = std::size_t{1024} * 1024;
constexpr std::chrono::seconds max_lingering_time{1};

std::string_view to_std_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

// Whether the peer has closed its side or the connection is broken.
bool is_disconnected(asio::ip::tcp::socket& socket)
{
    char byte{};
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool is_well_formed(const request_head& head)
{
    return head.count(http::field::host) == 1 && head.target().starts_with('/') &&
           head.method() != http::verb::connect;
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket,
                               std::shared_ptr<caller_server> given_server)
    : server{std::move(given_server)}, stream{std::move(socket)}
{
    this->server->sessions.insert(this);
}

caller_session::~caller_session()
{
    this->server->sessions.erase(this);
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
            co_await self->refuse_locally(refusal_reason::too_many_connections);
            co_await self->lingering_close();
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
    bool usable = true;
    while (usable) {
        usable = co_await this->serve_one();
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
    this->parser->header_limit(this->server->limits.header_bytes);
    this->parser->body_limit(this->server->limits.body_bytes);
    // Also bounds the extensions of a chunk and a trailer, which the parser's limits don't.
    this->buffer.max_size(std::max<std::size_t>(this->buffer.size(),
                                                this->server->limits.header_bytes + chunk_bytes));
    this->idle = true;
    this->stream.expires_after(this->server->limits.idle);
    boost::system::error_code error;
    co_await http::async_read_header(this->stream, this->buffer, *this->parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->idle = false;
    if (error) {
        co_return co_await this->handle_read_error(error);
    }
    this->stream.expires_never();
    this->store_head();
    co_return co_await this->serve_head();
}

asio::awaitable<bool> caller_session::handle_read_error(boost::system::error_code error)
{
    const bool too_large = error == http::error::header_limit || error == http::error::body_limit ||
                           error == http::error::buffer_overflow;
    const bool malformed =
        error.category() == make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message;
    if (too_large || malformed) {
        this->keep_alive = false;
        co_await this->refuse_locally(too_large ? refusal_reason::request_too_large
                                                : refusal_reason::bad_request);
        co_await this->lingering_close();
    }
    co_return false;
}

void caller_session::store_head()
{
    this->keep_alive = this->parser->keep_alive() && !this->server->services.driver.is_stopping();
    this->body_follows = !this->parser->is_done();
    this->current_head = this->parser->get().base();
    this->expects_continue =
        beast::iequals(this->current_head[http::field::expect], "100-continue");
}

asio::awaitable<bool> caller_session::serve_head()
{
    const auto configuration = this->server->services.driver.configuration();
    if (!is_well_formed(this->current_head)) {
        this->keep_alive = false;
        co_return co_await this->refuse_locally(refusal_reason::bad_request);
    }
    if (configuration == nullptr) {
        co_return co_await this->refuse_locally(refusal_reason::not_configured);
    }
    if (this->is_lookup(configuration.get())) {
        co_return co_await this->serve_lookup(*configuration);
    }
    const auto service =
        configuration->find_service(to_std_view(this->current_head[http::field::host]));
    if (!service) {
        co_return co_await this->refuse_locally(refusal_reason::unknown_service);
    }
    const auto timeout = this->timeout_of(configuration->model().at(*service));
    if (!timeout) {
        co_return co_await this->refuse_locally(refusal_reason::bad_request);
    }
    co_return co_await this->serve_request(*configuration, *service, *timeout);
}

bool caller_session::is_lookup(const configuration_index* configuration) const
{
    const auto path = to_std_view(this->current_head.target());
    return path.substr(0, path.find('?')) == "/lookup" &&
           !configuration->find_service(to_std_view(this->current_head[http::field::host]));
}

std::optional<duration> caller_session::timeout_of(const config::service& service) const
{
    const auto field = this->current_head.find(timeout_field);
    if (field == this->current_head.end()) {
        return service.default_timeout;
    }
    const auto requested_ms = parse_whole_number(to_std_view(field->value()));
    if (!requested_ms || *requested_ms == 0) {
        return std::nullopt;
    }
    const auto max_ms = std::chrono::duration_cast<std::chrono::milliseconds>(max_timeout).count();
    const auto limited_ms =
        std::min<std::uint64_t>(*requested_ms, static_cast<std::uint64_t>(max_ms));
    return std::chrono::milliseconds{static_cast<std::int64_t>(limited_ms)};
}

asio::awaitable<bool> caller_session::serve_lookup(const configuration_index& configuration)
{
    boost::system::error_code error;
    const auto remote = shell::from_asio(this->stream.socket().remote_endpoint(error));
    this->server->services.metrics.count_lookup();
    const std::string prefix =
        this->server->services.idempotency_records.prefix(shell::monotonic_now());
    auto response = handle_lookup(this->server->services.driver, configuration, remote.address,
                                  to_std_view(this->current_head.target()),
                                  to_std_view(this->current_head[class_key_field]), prefix);
    const bool sent = co_await this->send_response(std::move(response));
    if (!sent) {
        co_return false;
    }
    co_return co_await this->finish_exchange();
}

asio::awaitable<bool> caller_session::serve_request(const configuration_index& configuration,
                                                    service_id service, duration timeout)
{
    boost::system::error_code error;
    const auto remote = shell::from_asio(this->stream.socket().remote_endpoint(error));
    entry_services& services = this->server->services;
    steering::arrival request;
    request.id = services.driver.next_request_id();
    request.service = service;
    request.caller_class =
        configuration.class_for_key(to_std_view(this->current_head[class_key_field]));
    request.home = configuration.domain_of(remote.address);
    request.repeatable =
        configuration.is_repeatable(service, to_std_view(this->current_head.method_string()));
    request.deadline = shell::monotonic_now() + timeout;
    const request_attributes attributes{
        configuration.model().at(service).name, configuration.model().at(request.caller_class).name,
        configuration.model().at(request.home).name, request.repeatable};
    services.metrics.count_request();
    const bool may_run = co_await this->check_idempotency_key(request, attributes);
    if (!may_run) {
        co_return co_await this->finish_exchange();
    }
    strip_request_fields(this->current_head);
    this->commands = std::make_shared<request_commands>(services.executor);
    if (!this->body_follows) {
        this->watch_for_disconnect();
    }
    const serve_outcome outcome =
        co_await serve(services, *this, this->commands, request, attributes);
    this->commands.reset();
    if (this->keyed) {
        this->keyed->finish(shell::monotonic_now());
        this->keyed.reset();
    }
    if (outcome != serve_outcome::responded) {
        co_return false;
    }
    co_return co_await this->finish_exchange();
}

asio::awaitable<bool> caller_session::check_idempotency_key(const steering::arrival& request,
                                                            const request_attributes& attributes)
{
    const std::string key{to_std_view(this->current_head[idempotency_field])};
    if (request.repeatable || key.empty()) {
        co_return true;
    }
    const std::string identity = attributes.service + '\n' + attributes.caller_class + '\n' +
                                 std::string{to_std_view(this->current_head.method_string())} +
                                 '\n' + std::string{to_std_view(this->current_head.target())};
    entry_services& services = this->server->services;
    this->keyed.emplace(services.idempotency_records, key);
    const once::verdict key_decision = this->keyed->begin(identity, shell::monotonic_now());
    if (key_decision.action == once::decision::run) {
        co_return true;
    }
    this->keyed.reset();
    if (key_decision.action != once::decision::replay) {
        services.metrics.count_refusal(key_decision.reason);
    }
    const bool sent = co_await this->send_response(response_without_run(key_decision));
    this->keep_alive = this->keep_alive && sent;
    co_return false;
}

asio::awaitable<bool> caller_session::finish_exchange()
{
    if (this->parser->is_done()) {
        co_return this->keep_alive;
    }
    co_await this->lingering_close();
    co_return false;
}

asio::awaitable<bool> caller_session::refuse_locally(refusal_reason reason)
{
    constexpr duration default_retry_after = std::chrono::seconds{1};
    this->server->services.metrics.count_refusal(reason);
    const bool has_request = this->parser && this->parser->is_header_done();
    const bool sent =
        co_await this->refuse(refusal_command{reason, run_state::no, default_retry_after});
    if (!sent || !has_request) {
        co_return false;
    }
    co_return co_await this->finish_exchange();
}

asio::awaitable<bool> caller_session::refuse(const refusal_command& refusal)
{
    if (this->keyed) {
        this->keyed->record_refusal(refusal.run);
    }
    co_return co_await this->send_response(
        make_refusal_response(http_1_1, refusal.reason, refusal.run, refusal.retry_after));
}

asio::awaitable<bool> caller_session::send_response(full_response response)
{
    if (this->current_head.method() == http::verb::head) {
        response.body().clear();
    }
    const bool body_read = this->parser && this->parser->is_done();
    this->keep_alive = this->keep_alive && body_read;
    response.keep_alive(this->keep_alive);
    response.prepare_payload();
    this->stream.expires_after(this->server->limits.idle);
    boost::system::error_code error;
    co_await http::async_write(this->stream, response,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> caller_session::lingering_close()
{
    boost::system::error_code error;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    this->chunk.resize(chunk_bytes);
    this->stream.expires_after(max_lingering_time);
    std::size_t total = 0;
    while (!error && total < max_lingering_bytes) {
        total += co_await this->stream.async_read_some(
            asio::buffer(this->chunk), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<body_chunk> caller_session::read_body()
{
    boost::system::error_code error;
    this->stream.expires_after(this->server->limits.idle);
    if (std::exchange(this->expects_continue, false)) {
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(continue_response),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    this->chunk.resize(chunk_bytes);
    this->buffer.reserve(chunk_bytes);
    body_chunk out;
    while (!error && !this->parser->is_done() && out.bytes.empty()) {
        auto& body = this->parser->get().body();
        body.data = this->chunk.data();
        body.size = this->chunk.size();
        co_await http::async_read_some(this->stream, this->buffer, *this->parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        out.bytes = std::span{this->chunk}.first(this->chunk.size() - body.size);
    }
    this->stream.expires_never();
    out.failed = static_cast<bool>(error);
    out.last = this->parser->is_done();
    if (out.last) {
        this->watch_for_disconnect();
    }
    co_return out;
}

asio::awaitable<bool> caller_session::begin_response(response_start& start)
{
    if (this->keyed) {
        this->keyed->record_head(start.head);
    }
    this->response.emplace();
    this->response->base() = std::move(start.head);
    this->response->version(http_1_1);
    const auto status = this->response->result();
    const bool has_no_body = this->current_head.method() == http::verb::head ||
                             status == http::status::no_content ||
                             status == http::status::not_modified;
    if (!has_no_body && start.length) {
        this->response->content_length(*start.length);
    }
    if (!has_no_body && !start.length) {
        // A caller with HTTP/1.0 recognises the end of the response by the end of the connection.
        // It can tell an aborted response from a complete one, as abort_response() resets the
        // connection.
        const bool chunked = this->current_head.version() >= http_1_1;
        this->response->chunked(chunked);
        this->keep_alive = this->keep_alive && chunked;
    }
    this->keep_alive = this->keep_alive && this->parser->is_done();
    this->response->keep_alive(this->keep_alive);
    this->serializer.emplace(*this->response);
    return this->send_response_chunk(start.first);
}

asio::awaitable<bool> caller_session::send_response_chunk(const body_chunk& part)
{
    if (this->keyed) {
        this->keyed->record_body(part);
    }
    auto& body = this->response->body();
    body.data = part.bytes.empty() ? nullptr : part.bytes.data();
    body.size = part.bytes.size();
    body.more = !part.last;
    this->stream.expires_after(this->server->limits.idle);
    boost::system::error_code error;
    co_await http::async_write(this->stream, *this->serializer,
                               asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error || error == http::error::need_buffer;
}

void caller_session::abort_response()
{
    boost::system::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    this->stream.close();
}

void caller_session::watch_for_disconnect()
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
            if (!error && self->commands && is_disconnected(self->stream.socket())) {
                self->commands->stop(stop_cause::caller_disconnected);
            }
        });
}

} // namespace bth::entry
