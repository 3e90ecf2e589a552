#include "bth/standins/load_caller.h"

#include "bth/shell/net.h"
#include "bth/shell/simple_http.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <json/reader.h>
#include <json/value.h>

namespace bth::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds lookup_limit{2};
constexpr std::uint64_t body_limit = 64ULL * 1024 * 1024;
// The last part of the address that callers of a block send from.
constexpr std::uint32_t caller_address_offset = 5;

template <class Id, class Find>
std::vector<Id> chosen_rows(const std::vector<std::string>& names, std::size_t rows, Find find)
{
    std::vector<Id> out;
    for (const std::string& name : names) {
        if (const auto id = find(name)) {
            out.push_back(*id);
        }
    }
    for (std::size_t index = 0; names.empty() && index < rows; ++index) {
        out.push_back(Id::from_index(index));
    }
    return out;
}

std::optional<ipv4_address> caller_address(const config::model& model, domain_id home)
{
    for (const auto& row : model.client_blocks) {
        if (row.domain == home) {
            return ipv4_address{row.block.address.bits + caller_address_offset};
        }
    }
    return std::nullopt;
}

// The seconds of "Cache-Control: max-age=N"; 0 without one.
std::chrono::seconds max_age_of(const shell::http_response& response)
{
    const std::string value{response[http::field::cache_control]};
    const std::string key = "max-age=";
    const auto found = value.find(key);
    if (found == std::string::npos) {
        return std::chrono::seconds{0};
    }
    return std::chrono::seconds{std::strtol(value.c_str() + found + key.size(), nullptr, 10)};
}

std::vector<endpoint> hosts_of(const std::string& body)
{
    std::vector<endpoint> hosts;
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    if (!reader->parse(body.data(), body.data() + body.size(), &root, nullptr) ||
        !root.isObject() || !root["hosts"].isArray()) {
        return hosts;
    }
    for (const auto& row : root["hosts"]) {
        if (const auto where = parse_endpoint(row.asString())) {
            hosts.push_back(*where);
        }
    }
    return hosts;
}

bool is_refusal(const shell::http_response& response)
{
    return response.find("Bth-Reason") != response.end();
}

call_outcome outcome_of(const shell::http_response& response, const std::string& own_start)
{
    if (is_refusal(response)) {
        return response["Bth-Run"] == "no" ? call_outcome::refused_not_run
                                           : call_outcome::refused_unknown;
    }
    if (response.result() != http::status::ok) {
        return call_outcome::target_error;
    }
    const bool own = response.body().compare(0, own_start.size(), own_start) == 0;
    return own ? call_outcome::served : call_outcome::wrong_answer;
}

} // namespace

load_callers::load_callers(asio::any_io_executor executor, const config::model& model,
                           load_plan plan)
    : executor{std::move(executor)}, model{model}, plan{std::move(plan)}, random{this->plan.seed}
{
    this->domains =
        chosen_rows<domain_id>(this->plan.domains, model.domains.size(),
                               [&](const auto& name) { return config::find_domain(model, name); });
    this->services =
        chosen_rows<service_id>(this->plan.services, model.services.size(), [&](const auto& name) {
            return config::find_service(model, name);
        });
    if (this->plan.lookup_at.empty()) {
        for (const auto& host : model.hosts) {
            this->plan.lookup_at.push_back(host.http);
        }
    }
}

void load_callers::start(std::function<void()> at_end)
{
    this->on_end = std::move(at_end);
    asio::co_spawn(
        this->executor, [self = shared_from_this()] { return self->begin_all(); }, asio::detached);
}

asio::awaitable<void> load_callers::begin_all()
{
    boost::random::exponential_distribution<double> gap{this->plan.requests_per_second};
    std::chrono::duration<double> elapsed{0};
    asio::steady_timer timer{this->executor};
    const auto timer_start = std::chrono::steady_clock::now();
    while (elapsed < this->plan.length) {
        elapsed += std::chrono::duration<double>{gap(this->random)};
        timer.expires_at(timer_start + std::chrono::duration_cast<duration>(elapsed));
        co_await timer.async_wait(asio::use_awaitable);
        ++this->open;
        asio::co_spawn(
            this->executor,
            [self = shared_from_this(), what = this->draw_call()] { return self->make_call(what); },
            asio::detached);
    }
    this->all_begun = true;
    ++this->open;
    this->end_one();
}

load_callers::call load_callers::draw_call()
{
    const auto pick = [&](std::size_t count) {
        return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(this->random);
    };
    std::vector<double> weights;
    for (const auto& row : this->plan.classes) {
        weights.push_back(row.weight);
    }
    call what;
    what.number = this->begun++;
    what.home = this->domains.at(pick(this->domains.size()));
    what.service = this->services.at(pick(this->services.size()));
    what.class_index = boost::random::discrete_distribution<std::size_t>{weights}(this->random);
    what.is_post = boost::random::uniform_01<double>{}(this->random) < this->plan.post_share;
    return what;
}

std::string load_callers::check_of(const call& what) const
{
    return "c" + std::to_string(this->plan.seed) + "-" + std::to_string(what.number);
}

void load_callers::end_one()
{
    --this->open;
    if (this->all_begun && this->open == 0) {
        this->idle.clear();
        this->on_end();
    }
}

asio::awaitable<void> load_callers::make_call(call what)
{
    const time_point started = shell::monotonic_now();
    const std::string class_name = this->plan.classes.at(what.class_index).name;
    call_record record{class_name, call_outcome::failed, duration{}, "no entry host answered"};
    for (const endpoint& host : co_await this->hosts_for(what)) {
        record = co_await this->exchange(what, host);
        // Only a connection that could not be made leaves the request to the next host.
        if (record.reason != "connect") {
            break;
        }
    }
    record.caller_class = class_name;
    record.latency = shell::monotonic_now() - started;
    this->counted.add(record);
    this->end_one();
}

asio::awaitable<std::vector<endpoint>> load_callers::hosts_for(const call& what)
{
    cached_lookup& cached = this->lookups[{what.home, what.service}];
    if (shell::monotonic_now() < cached.valid_until) {
        co_return cached.hosts;
    }
    // The hosts known so far come first, then those that were given for a start.
    std::vector<endpoint> asked = cached.hosts;
    asked.insert(asked.end(), this->plan.lookup_at.begin(), this->plan.lookup_at.end());
    for (const endpoint& where : asked) {
        cached_lookup fresh;
        const bool found = co_await this->look_up(what, where, fresh);
        if (found) {
            this->lookups[{what.home, what.service}] = fresh;
            co_return fresh.hosts;
        }
    }
    co_return std::vector<endpoint>{};
}

asio::awaitable<bool> load_callers::look_up(const call& what, endpoint at, cached_lookup& out)
{
    const connection stream = co_await this->connect(what, at);
    if (!stream) {
        co_return false;
    }
    shell::http_request request{http::verb::get,
                                "/lookup?service=" + this->model.at(what.service).name, 11};
    request.set(http::field::host, to_string(at));
    request.keep_alive(false);
    boost::system::error_code error;
    stream->expires_after(lookup_limit);
    co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    shell::http_response response;
    if (!error) {
        co_await http::async_read(*stream, buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || response.result() != http::status::ok) {
        co_return false;
    }
    out.hosts = hosts_of(response.body());
    out.valid_until = shell::monotonic_now() + max_age_of(response);
    co_return !out.hosts.empty();
}

asio::awaitable<load_callers::connection> load_callers::connect(const call& what, endpoint host)
{
    auto stream = std::make_unique<beast::tcp_stream>(this->executor);
    boost::system::error_code error;
    stream->socket().open(asio::ip::tcp::v4(), error);
    if (const auto address = caller_address(this->model, what.home)) {
        stream->socket().bind(shell::to_asio({*address, 0}), error);
    }
    stream->expires_after(this->plan.timeout);
    co_await stream->async_connect(shell::to_asio(host),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    stream->socket().set_option(asio::ip::tcp::no_delay{true}, error);
    co_return stream;
}

asio::awaitable<call_record> load_callers::exchange(const call& what, endpoint host)
{
    auto& pool = this->idle[{what.home, host}];
    connection stream;
    if (!pool.empty()) {
        stream = std::move(pool.back());
        pool.pop_back();
    }
    else {
        stream = co_await this->connect(what, host);
    }
    call_record record{"", call_outcome::failed, duration{}, "connect"};
    if (!stream) {
        co_return record;
    }
    const std::string check = this->check_of(what);
    shell::http_request request{what.is_post ? http::verb::post : http::verb::get, "/item/" + check,
                                11};
    const config::service& service = this->model.at(what.service);
    request.set(http::field::host, service.name);
    request.set("Bth-Timeout-Ms", std::to_string(this->plan.timeout.count()));
    const std::string& key = this->plan.classes.at(what.class_index).key;
    if (!key.empty()) {
        request.set("Bth-Key", key);
    }
    if (what.is_post) {
        request.body() = std::string(service.request_bytes, 'x');
    }
    request.prepare_payload();
    boost::system::error_code error;
    stream->expires_after(this->plan.timeout);
    co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    if (!error) {
        co_await http::async_read(*stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        record.reason = error == beast::error::timeout ? "timeout" : "broken";
        co_return record;
    }
    const shell::http_response response = parser.release();
    record.outcome = outcome_of(response, service.name + ' ' + check + '\n');
    record.reason = std::string{response["Bth-Reason"]};
    if (response.keep_alive()) {
        stream->expires_never();
        this->idle[{what.home, host}].push_back(std::move(stream));
    }
    co_return record;
}

} // namespace bth::standins
