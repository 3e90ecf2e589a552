#include "bth/shell/program.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

#include <boost/asio/signal_set.hpp>

namespace bth::shell {

int fail_start(const std::string& program, const std::string& message)
{
    const bool has_line_end = !message.empty() && message.back() == '\n';
    std::cerr << program << ": " << message << (has_line_end ? "" : "\n") << std::flush;
    return exit_failure;
}

void announce_ready()
{
    std::cout << "ready" << std::endl;
}

void on_stop_signal(boost::asio::io_context& context, std::function<void()> on_stop)
{
    auto signals = std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait(
        [signals, on_stop = std::move(on_stop)](const boost::system::error_code& error, int) {
            if (!error) {
                on_stop();
            }
        });
}

} // namespace bth::shell
