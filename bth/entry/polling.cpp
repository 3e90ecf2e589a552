#include "bth/entry/polling.h"

#include "bth/config/json_reader.h"
#include "bth/entry/http_fields.h"
#include "bth/shell/simple_http.h"

#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::entry {

namespace {

namespace asio = boost::asio;

constexpr duration response_timeout = std::chrono::seconds{1};
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();

// Returns the ids of the names that `find` knows.
template <class Id, class Find>
std::vector<Id> find_ids(const std::vector<std::string>& names, Find find)
{
    std::vector<Id> out;
    for (const std::string& name : names) {
        if (const std::optional<Id> id = find(name)) {
            out.push_back(*id);
        }
    }
    return out;
}

} // namespace

std::optional<steering::load_report> parse_load_report(target_id target, std::string text)
{
    findings found;
    const auto document = config::json_document::parse("load", std::move(text), found);
    if (!document) {
        return std::nullopt;
    }
    config::json_object object{document->root(), *document, found};
    steering::load_report report;
    report.target = target;
    report.in_flight =
        static_cast<std::uint32_t>(object.required_integer("in_flight", 0, max_count).value_or(0));
    report.slots =
        static_cast<std::uint32_t>(object.required_integer("slots", 0, max_count).value_or(0));
    report.leaving = object.boolean_or("leaving", false);
    return found.empty() ? std::optional{report} : std::nullopt;
}

std::optional<steering::platform_list> parse_platform_list(const config::model& model,
                                                           std::string text)
{
    findings found;
    const auto document = config::json_document::parse("list", std::move(text), found);
    if (!document) {
        return std::nullopt;
    }
    config::json_object object{document->root(), *document, found};
    const auto targets = [&](const char* key) {
        return find_ids<target_id>(object.strings(key), [&](const std::string& name) {
            return config::find_target(model, name);
        });
    };
    const auto hosts = [&](const char* key) {
        return find_ids<host_id>(object.strings(key), [&](const std::string& name) {
            return config::find_host(model, name);
        });
    };
    steering::platform_list list{targets("live_targets"), targets("leaving_targets"),
                                 hosts("live_hosts"), hosts("leaving_hosts")};
    return found.empty() ? std::optional{std::move(list)} : std::nullopt;
}

report_poller::report_poller(asio::any_io_executor executor, steering_driver& driver,
                             const entry_settings& settings)
    : executor{std::move(executor)}, driver{driver}, host{settings.host},
      platform{settings.platform}, interval{settings.poll_interval}
{}

void report_poller::start()
{
    asio::co_spawn(
        this->executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

asio::awaitable<void> report_poller::run()
{
    asio::steady_timer timer{this->executor};
    while (true) {
        this->poll_targets();
        if (this->platform && this->polls_in_flight.insert("").second) {
            asio::co_spawn(
                this->executor,
                [self = shared_from_this()] { return self->poll_platform(*self->platform); },
                asio::detached);
        }
        timer.expires_after(this->interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void report_poller::poll_targets()
{
    const auto configuration = this->driver.configuration();
    const auto self =
        configuration ? config::find_host(configuration->model(), this->host) : std::nullopt;
    if (!self) {
        return;
    }
    const domain_id own = configuration->model().at(*self).domain;
    for (const config::target& target : configuration->model().targets) {
        if (target.domain == own && this->polls_in_flight.insert(target.name).second) {
            asio::co_spawn(
                this->executor,
                [poller = shared_from_this(), name = target.name, address = target.http] {
                    return poller->poll_target(name, address);
                },
                asio::detached);
        }
    }
}

asio::awaitable<void> report_poller::poll_target(std::string name, endpoint address)
{
    auto text = co_await this->fetch(address, "/load");
    this->polls_in_flight.erase(name);
    const auto configuration = this->driver.configuration();
    const auto target = config::find_target(configuration->model(), name);
    const auto report =
        text && target ? parse_load_report(*target, std::move(*text)) : std::nullopt;
    if (!report) {
        LOG4CPLUS_DEBUG(this->log, "No valid load report from target " << name << ".");
        co_return;
    }
    this->driver.report(*report);
}

asio::awaitable<void> report_poller::poll_platform(endpoint address)
{
    auto text = co_await this->fetch(address, "/list");
    this->polls_in_flight.erase("");
    const auto configuration = this->driver.configuration();
    const auto list = text && configuration
                          ? parse_platform_list(configuration->model(), std::move(*text))
                          : std::nullopt;
    if (!list) {
        LOG4CPLUS_DEBUG(this->log, "No valid list from the platform.");
        co_return;
    }
    this->driver.platform(*list);
}

asio::awaitable<std::optional<std::string>> report_poller::fetch(endpoint address, const char* path)
{
    shell::http_request request{http::verb::get, path, 11};
    const auto response = co_await shell::http_call(address, std::move(request), response_timeout);
    if (!response || response->result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return response->body();
}

} // namespace bth::entry
