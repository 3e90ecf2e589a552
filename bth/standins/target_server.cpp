#include "bth/standins/target_server.h"

#include "bth/shell/simple_http.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <json/value.h>
#include <json/writer.h>

namespace bth::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using shell::http_request;
using shell::http_response;
using shell::make_response;
using namespace asio::experimental::awaitable_operators; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t body_limit = 64ULL * 1024 * 1024;
constexpr std::uint32_t high_report_in_flight = 1000;

std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool is_turn(std::uint64_t count, std::uint32_t every)
{
    return every != 0 && count % every == 0;
}

// The last part of a request's path, without its query.
std::string check_of(const http_request& request)
{
    const std::string path{request.target()};
    const std::string without_query = path.substr(0, path.find('?'));
    return without_query.substr(without_query.rfind('/') + 1);
}

} // namespace

// One connection to a stand-in target.
class target_session : public std::enable_shared_from_this<target_session> {
public:
    target_session(asio::ip::tcp::socket socket, std::shared_ptr<target_server> owner)
        : stream{std::move(socket)}, owner{std::move(owner)}
    {}

    void start()
    {
        asio::co_spawn(
            this->stream.get_executor(), [self = shared_from_this()] { return self->run(); },
            asio::detached);
    }

private:
    asio::awaitable<void> run()
    {
        target_counts& counts = this->owner->counts;
        ++counts.connections;
        counts.most_connections = std::max(counts.most_connections, counts.connections);
        bool open = true;
        while (open) {
            open = co_await this->serve_one();
        }
        --counts.connections;
    }

    // Serves one request; false ends the connection.
    asio::awaitable<bool> serve_one()
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit);
        boost::system::error_code error;
        co_await http::async_read(this->stream, this->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        const http_request request = parser.release();
        if (request.target() == "/load" || request.target() == "/runs" ||
            request.target() == "/behaviour") {
            co_return co_await this->send(request, this->answer_side_request(request));
        }
        co_return co_await this->serve_work(request);
    }

    http_response answer_side_request(const http_request& request)
    {
        if (request.target() == "/load") {
            if (this->owner->settings.how.report == report_policy::none) {
                return make_response(request, http::status::service_unavailable, "text/plain", "");
            }
            return make_response(request, http::status::ok, "application/json",
                                 this->owner->load_report());
        }
        if (request.target() == "/runs") {
            return make_response(request, http::status::ok, "application/json",
                                 this->owner->run_report());
        }
        findings found;
        const auto how = read_behaviour("behaviour", request.body(), found);
        if (!how) {
            return make_response(request, http::status::bad_request, "text/plain",
                                 to_string(found));
        }
        this->owner->settings.how = *how;
        return make_response(request, http::status::ok, "text/plain", "changed\n");
    }

    asio::awaitable<bool> serve_work(const http_request& request)
    {
        target_counts& counts = this->owner->counts;
        const behaviour& how = this->owner->settings.how;
        if (counts.in_flight >= this->owner->settings.slots) {
            ++counts.over_slots;
            if (how.overload != overload_policy::share_time) {
                ++counts.shed;
                co_return co_await this->send(
                    request, shed_response(request, how.overload == overload_policy::shed_marked));
            }
        }
        const std::string check = check_of(request);
        ++this->owner->runs[check];
        ++counts.in_flight;
        counts.most_in_flight = std::max(counts.most_in_flight, counts.in_flight);
        const bool waited = co_await this->wait_while_caller_stays(this->owner->time_of_next());
        --counts.in_flight;
        if (!waited) {
            ++counts.cancelled;
            co_return false;
        }
        ++counts.answered;
        co_return co_await this->answer(request, check);
    }

    static http_response shed_response(const http_request& request, bool marked)
    {
        auto response =
            make_response(request, http::status::service_unavailable, "text/plain", "busy\n");
        if (marked) {
            response.set("Bth-Not-Run", "1");
        }
        return response;
    }

    // Waits for the service time; false if the caller closed the connection before its end.
    asio::awaitable<bool> wait_while_caller_stays(std::chrono::microseconds time)
    {
        asio::steady_timer timer{this->stream.get_executor(), time};
        const auto ended = co_await (timer.async_wait(asio::use_awaitable) ||
                                     this->stream.socket().async_wait(
                                         asio::ip::tcp::socket::wait_read, asio::use_awaitable));
        co_return ended.index() == 0;
    }

    asio::awaitable<bool> answer(const http_request& request, const std::string& check)
    {
        const behaviour& how = this->owner->settings.how;
        const std::uint64_t number = this->owner->counts.answered;
        if (is_turn(number, how.late_every)) {
            asio::steady_timer timer{this->stream.get_executor(), how.late_by};
            co_await timer.async_wait(asio::use_awaitable);
        }
        const bool fails = is_turn(number, how.fail_every);
        std::string body = this->owner->settings.service + ' ' + check + '\n';
        body.resize(std::max<std::size_t>(body.size(), this->owner->settings.answer_bytes), '.');
        auto response =
            make_response(request, fails ? http::status::internal_server_error : http::status::ok,
                          "text/plain", body);
        if (is_turn(number, how.cut_every)) {
            co_return co_await this->send_half(request, std::move(response));
        }
        co_return co_await this->send(request, std::move(response));
    }

    asio::awaitable<bool> send(const http_request& request, http_response response)
    {
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        boost::system::error_code error;
        co_await http::async_write(this->stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && request.keep_alive();
    }

    // Sends a whole header and half of the body, and then closes.
    asio::awaitable<bool> send_half(const http_request& request, http_response response)
    {
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        const std::string half = response.body().substr(0, response.body().size() / 2);
        http::response_serializer<http::string_body> serializer{response};
        boost::system::error_code error;
        co_await http::async_write_header(this->stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(this->stream, asio::buffer(half),
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return false;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::shared_ptr<target_server> owner;
};

target_server::target_server(asio::ip::tcp::acceptor acceptor, target_settings settings)
    : acceptor{std::move(acceptor)}, settings{std::move(settings)}
{}

void target_server::start()
{
    asio::co_spawn(
        this->acceptor.get_executor(), [self = shared_from_this()] { return self->accept_all(); },
        asio::detached);
}

void target_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> target_server::accept_all()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            socket.set_option(asio::ip::tcp::no_delay{true}, error);
            std::make_shared<target_session>(std::move(socket), shared_from_this())->start();
        }
    }
}

std::chrono::microseconds target_server::time_of_next() const
{
    double factor = 1.0;
    if (this->counts.answered < this->settings.how.cold_answers) {
        const double warmed = static_cast<double>(this->counts.answered) /
                              static_cast<double>(this->settings.how.cold_answers);
        factor = this->settings.how.cold_factor + (1.0 - this->settings.how.cold_factor) * warmed;
    }
    const double crowding = std::max(1.0, static_cast<double>(this->counts.in_flight) /
                                              static_cast<double>(this->settings.slots));
    const auto time = static_cast<double>(this->settings.service_time.count());
    return std::chrono::microseconds{static_cast<std::int64_t>(time * factor * crowding)};
}

std::string target_server::load_report()
{
    std::uint32_t in_flight = this->counts.in_flight;
    if (this->settings.how.report == report_policy::low ||
        this->settings.how.report == report_policy::stuck) {
        in_flight = 0;
    }
    if (this->settings.how.report == report_policy::high) {
        in_flight = high_report_in_flight;
    }
    Json::Value report;
    report["in_flight"] = in_flight;
    report["slots"] = this->settings.slots;
    report["leaving"] = this->settings.how.leaving;
    return write_json(report);
}

std::string target_server::run_report() const
{
    Json::Value report;
    report["name"] = this->settings.name;
    report["answered"] = Json::UInt64{this->counts.answered};
    report["shed"] = Json::UInt64{this->counts.shed};
    report["cancelled"] = Json::UInt64{this->counts.cancelled};
    report["over_slots"] = Json::UInt64{this->counts.over_slots};
    report["most_in_flight"] = this->counts.most_in_flight;
    report["most_connections"] = this->counts.most_connections;
    Json::Value& by_check = report["runs"];
    by_check = Json::Value{Json::objectValue};
    for (const auto& [check, count] : this->runs) {
        by_check[check] = count;
    }
    return write_json(report);
}

} // namespace bth::standins
