// What the tries of a request share: the timer that ends them, and how an end is told to the core.
#pragma once

#include "bth/entry/request_commands.h"
#include "bth/shell/net.h"
#include "bth/steering/events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace bth::entry {

// While it lives, the deadline or a stop of the request calls `on_stop`.
class try_guard {
public:
    try_guard(const boost::asio::any_io_executor& executor,
              const std::shared_ptr<request_commands>& commands, time_point deadline,
              std::function<void()> on_stop)
        : commands{commands}, timer{executor}
    {
        this->commands->interrupt_attempt = std::move(on_stop);
        this->timer.expires_at(std::chrono::steady_clock::time_point{
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                deadline.time_since_epoch())});
        // An expiry that is on its way when the try ends must not stop the next one.
        this->timer.async_wait([weak = std::weak_ptr{this->present},
                                commands](const boost::system::error_code& error) {
            if (!error && !weak.expired()) {
                commands->stop(stop_cause::deadline);
            }
        });
    }
    try_guard(const try_guard&) = delete;
    try_guard& operator=(const try_guard&) = delete;
    ~try_guard() { this->commands->interrupt_attempt = nullptr; }

private:
    std::shared_ptr<request_commands> commands;
    std::shared_ptr<bool> present{std::make_shared<bool>(true)};
    boost::asio::steady_timer timer;
};

// The outcome of a try that ended without an answer. `sent` tells whether any byte of the request
// may have reached the other side.
inline steering::try_outcome outcome_of_failure(std::optional<stop_cause> cause, bool sent)
{
    if (cause == stop_cause::caller_disconnected || cause == stop_cause::core) {
        return steering::try_outcome::cancelled;
    }
    if (!sent) {
        return steering::try_outcome::connect_failed;
    }
    return cause == stop_cause::deadline ? steering::try_outcome::timed_out
                                         : steering::try_outcome::broken;
}

} // namespace bth::entry
