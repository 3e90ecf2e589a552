#include "bth/shell/program.h"

#include <csignal>
#include <iostream>
#include <utility>

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

stop_signal::stop_signal(boost::asio::io_context& context, std::function<void()> on_stop)
    : signals{context, SIGTERM, SIGINT}
{
    this->signals.async_wait(
        [on_stop = std::move(on_stop)](const boost::system::error_code& error, int) {
            if (!error) {
                on_stop();
            }
        });
}

} // namespace bth::shell
