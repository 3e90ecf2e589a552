// Shared by attempts at targets and at other entry hosts: the guard that stops an attempt, and the
// outcome that is reported to the steering core for a failed one.
//
//   const attempt_guard guard{executor, commands, deadline, [&] { connection->close(); }};
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

// Calls `on_stop` when the deadline passes or the request is stopped, until it is destroyed.
class attempt_guard {
public:
    attempt_guard(const boost::asio::any_io_executor& executor,
                  const std::shared_ptr<request_commands>& commands, time_point deadline,
                  std::function<void()> on_stop)
        : commands{commands}, timer{executor}
    {
        this->commands->interrupt_attempt = std::move(on_stop);
        this->timer.expires_at(std::chrono::steady_clock::time_point{
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                deadline.time_since_epoch())});
        // A timer handler that is already queued when the attempt ends must not stop the next
        // attempt of the request; the weak pointer detects this.
        this->timer.async_wait([weak = std::weak_ptr{this->lifetime_token},
                                commands](const boost::system::error_code& error) {
            if (!error && !weak.expired()) {
                commands->stop(stop_cause::deadline);
            }
        });
    }
    attempt_guard(const attempt_guard&) = delete;
    attempt_guard& operator=(const attempt_guard&) = delete;
    ~attempt_guard() { this->commands->interrupt_attempt = nullptr; }

private:
    std::shared_ptr<request_commands> commands;
    // The timer handler holds a weak pointer to this, which expires when the guard is destroyed.
    std::shared_ptr<bool> lifetime_token{std::make_shared<bool>(true)};
    boost::asio::steady_timer timer;
};

// Returns the outcome of an attempt that ended without a complete response. `cause` says why the
// attempt was stopped, if it was; `may_have_been_sent`, whether any byte of the request may have
// reached the other side.
inline steering::attempt_outcome outcome_of_failed_attempt(std::optional<stop_cause> cause,
                                                           bool may_have_been_sent)
{
    if (cause == stop_cause::caller_disconnected || cause == stop_cause::core) {
        return steering::attempt_outcome::cancelled;
    }
    if (!may_have_been_sent) {
        return steering::attempt_outcome::connect_failed;
    }
    return cause == stop_cause::deadline ? steering::attempt_outcome::timed_out
                                         : steering::attempt_outcome::broken;
}

} // namespace bth::entry
