#include "bth/shell/simple_http.h"

#include "bth/shell/net.h"
#include "bth/shell/response_head.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace bth::shell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Bytes that were received and not yet parsed. The parser's limits don't bound the extensions of a
// chunk, nor a trailer.
constexpr std::size_t max_unparsed_bytes = 64UL * 1024;
constexpr std::chrono::seconds idle_limit{30};

} // namespace

// One connection; it lives as long as its coroutine runs.
class http_server::session : public std::enable_shared_from_this<http_server::session> {
public:
    session(asio::ip::tcp::socket socket, http_handler handler, std::size_t max_body_bytes,
            std::shared_ptr<receive_budget> request_memory)
        : stream{std::move(socket)}, handler{std::move(handler)}, max_body_bytes{max_body_bytes},
          request_memory{std::move(request_memory)}
    {}

    void start()
    {
        asio::co_spawn(
            this->stream.get_executor(), [self = shared_from_this()] { return self->run(); },
            asio::detached);
    }

    void stop()
    {
        this->stopping = true;
        if (!this->busy) {
            this->stream.cancel();
        }
    }

private:
    asio::awaitable<void> run()
    {
        bool keep_alive = true;
        while (keep_alive && !this->stopping) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(this->max_body_bytes);
            parser.eager(true);
            receive_budget::share memory{*this->request_memory};
            boost::system::error_code error;
            this->stream.expires_after(idle_limit);
            while (!parser.is_done()) {
                co_await http::async_read_some(this->stream, this->buffer, parser,
                                               asio::redirect_error(asio::use_awaitable, error));
                const auto held = parser.get().body().size() + this->buffer.capacity();
                if (error || !memory.grow_to(held)) {
                    co_return;
                }
            }
            this->busy = true;
            keep_alive = parser.get().keep_alive();
            this->stream.expires_never();
            http_response response = co_await this->handler(parser.release());
            keep_alive = keep_alive && !this->stopping;
            response.keep_alive(keep_alive);
            response.prepare_payload();
            this->stream.expires_after(idle_limit);
            co_await http::async_write(this->stream, response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            this->busy = false;
        }
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    http_handler handler;
    std::size_t max_body_bytes;
    std::shared_ptr<receive_budget> request_memory;
    // Between the end of a request and the end of its answer.
    bool busy{};
    bool stopping{};
};

http_response make_response(const http_request& request, http::status status,
                            const std::string& media_type, std::string body)
{
    http_response response{status, request.version()};
    response.set(http::field::content_type, media_type);
    response.body() = std::move(body);
    return response;
}

http_server::http_server(asio::ip::tcp::acceptor acceptor, http_handler handler,
                         std::size_t max_body_bytes)
    : acceptor{std::move(acceptor)}, handler{std::move(handler)}, max_body_bytes{max_body_bytes},
      request_memory{std::make_shared<receive_budget>(
          receive_limits{max_body_bytes, max_body_bytes, receive_budget::small})}
{}

http_server::~http_server() = default;

void http_server::start()
{
    asio::co_spawn(
        this->acceptor.get_executor(), [self = shared_from_this()] { return self->accept_all(); },
        asio::detached);
}

void http_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& each : this->sessions) {
        if (const auto live = each.lock()) {
            live->stop();
        }
    }
}

asio::awaitable<void> http_server::accept_all()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            socket.set_option(asio::ip::tcp::no_delay{true}, error);
            std::erase_if(this->sessions, [](const auto& each) { return each.expired(); });
            const auto made = std::make_shared<session>(std::move(socket), this->handler,
                                                        this->max_body_bytes, this->request_memory);
            this->sessions.push_back(made);
            made->start();
        }
    }
}

asio::awaitable<tl::expected<http_response, http_call_failure>>
http_try(endpoint where, http_request request, duration limit, std::size_t max_body_bytes)
{
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    boost::system::error_code error;
    const auto fail = [&](const char* step, bool sent) {
        return tl::unexpected{http_call_failure{
            sent, "can't " + std::string{step} + " " + to_string(where) + ": " + error.message()}};
    };
    stream.expires_after(limit);
    co_await stream.async_connect(to_asio(where), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return fail("connect to", false);
    }
    request.version(11);
    request.keep_alive(false);
    if (request.find(http::field::host) == request.end()) {
        request.set(http::field::host, to_string(where));
    }
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return fail("send to", true);
    }
    beast::flat_buffer buffer{max_unparsed_bytes};
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        error = co_await read_response_head(stream, buffer, parser);
        const bool is_final = !error && !is_interim(parser.get().base());
        if (is_final) {
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            co_return fail("read the answer of", true);
        }
        if (is_final) {
            co_return parser.release();
        }
    }
    error = http::error::bad_status;
    co_return fail("read the answer of", true);
}

asio::awaitable<tl::expected<http_response, std::string>>
http_call(endpoint where, http_request request, duration limit, std::size_t max_body_bytes)
{
    auto answer = co_await http_try(where, std::move(request), limit, max_body_bytes);
    if (!answer) {
        co_return tl::unexpected{std::move(answer.error().message)};
    }
    co_return std::move(*answer);
}

} // namespace bth::shell
