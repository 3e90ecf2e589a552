// Polls the targets of this host's failure domain for their load and the platform for its list of
// targets and hosts, and passes the reports to the steering core. A poll without a well-formed
// response yields no report; the core does not treat a missing report as a sign of health.
//
//   auto poller = std::make_shared<report_poller>(executor, driver, settings);
//   poller->start();
#pragma once

#include "bth/base/endpoint.h"
#include "bth/entry/driver.h"
#include "bth/entry/settings.h"
#include "bth/shell/log.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace bth::entry {

// Parses the JSON body that `target` returned for GET /load. Returns nothing if it is malformed.
std::optional<steering::load_report> parse_load_report(target_id target, std::string text);
// Parses the JSON body that the platform returned for GET /list. Returns nothing if it is
// malformed. Names that are not in the model are skipped.
std::optional<steering::platform_list> parse_platform_list(const config::model& model,
                                                           std::string text);

class report_poller : public std::enable_shared_from_this<report_poller> {
public:
    report_poller(boost::asio::any_io_executor executor, steering_driver& driver,
                  const entry_settings& settings);

    // Starts polling in the background, once per settings.poll_interval.
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> poll_target(std::string name, endpoint address);
    boost::asio::awaitable<void> poll_platform(endpoint address);
    // Returns the body of a response with status 200, or nothing.
    boost::asio::awaitable<std::optional<std::string>> fetch(endpoint address, const char* path);
    void poll_targets();

    boost::asio::any_io_executor executor;
    steering_driver& driver;
    std::string host;
    std::optional<endpoint> platform;
    std::chrono::milliseconds interval;
    // Targets that have not responded to the current poll, by name; "" stands for the platform.
    // They are not polled again until the poll has ended.
    std::set<std::string> polls_in_flight;
    log4cplus::Logger log{log4cplus::Logger::getInstance("entry.polling")};
};

} // namespace bth::entry
