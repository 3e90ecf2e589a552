// Asks the targets of the own failure domain for their load, and the platform for its list, again
// and again, and passes what they say to the steering core. An answer that doesn't come or makes no
// sense is passed over: the core takes silence for no good sign.
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

// What a target or the platform said, or nothing if it makes no sense. Names that the model doesn't
// have are left out.
std::optional<steering::load_report> read_load(target_id target, std::string text);
std::optional<steering::platform_list> read_platform(const config::model& model, std::string text);

class report_poller : public std::enable_shared_from_this<report_poller> {
public:
    report_poller(boost::asio::any_io_executor executor, steering_driver& driver,
                  const entry_settings& settings);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask_target(std::string name, endpoint where);
    boost::asio::awaitable<void> ask_platform(endpoint where);
    boost::asio::awaitable<std::optional<std::string>> get(endpoint where, const char* path);
    void ask_targets();

    boost::asio::any_io_executor executor;
    steering_driver& driver;
    std::string host;
    std::optional<endpoint> platform;
    std::chrono::milliseconds interval;
    // Those whose answer hasn't come yet.
    std::set<std::string> asked;
    log4cplus::Logger log{log4cplus::Logger::getInstance("entry.polling")};
};

} // namespace bth::entry
